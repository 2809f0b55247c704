"""One control host loses its disk again and again, later another one loses its disk once."""
import pathlib
import random
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

import stage as staging  # noqa: E402

REGION_DELAY_SECONDS = 0.02  # One way, SYSTEM.md.
LOSSES = 75
# From the start of the process to the next loss of its disk.
SHORTEST_SECONDS, LONGEST_SECONDS = 0.52, 0.76
CALM_SECONDS = 7  # sync-s is 4 s, contact-ms 4 s.
ACK_SECONDS = 8  # ack-ms is 5 s.
READ_SECONDS = 16  # recovery-s is 12 s.


def lose_disk(node, stage):
    node.kill()
    node.wipe()
    node.start()
    stage.note(f"{node.name} lost its disk and started again")


def case(stage, trouble):
    stage.delay_links(REGION_DELAY_SECONDS)
    stage.start()
    operator = staging.Operator(stage)
    acknowledged, answer = operator.put(staging.desired_state(1), 15)
    if not acknowledged:
        raise staging.CannotRun(f"no first desired state: {answer}")
    time.sleep(5)
    leader = operator.leader(10)
    first, second = [node for node in stage.controls if node is not leader]
    stage.note(f"{leader.name} leads; version 1 is acknowledged")
    for _ in range(LOSSES if trouble else 0):
        lose_disk(first, stage)
        time.sleep(random.uniform(SHORTEST_SECONDS, LONGEST_SECONDS))
    time.sleep(CALM_SECONDS)
    acknowledged, answer = operator.put(staging.desired_state(2), ACK_SECONDS)
    newest = 2 if acknowledged else 1
    stage.note(f"version 2 in calm: {'acknowledged' if acknowledged else 'never acknowledged'}, "
               f"{answer}")
    lose_disk(second, stage)
    time.sleep(CALM_SECONDS)
    version, answer = operator.read(READ_SECONDS)
    stage.note(f"read back: version {version}, {answer}")
    if version is None or version < newest:
        stage.note("CONFIG: the acknowledged desired state is not read back")
        return False
    return True


sys.exit(staging.run(HERE, case))
