"""A control host is replaced as planned; once its successor has had sync-s, a disk is lost."""
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

import stage as staging  # noqa: E402

REGION_DELAY_SECONDS = 0.02  # One way, SYSTEM.md.
SYNC_SECONDS = staging.BOUNDS["sync-s"]
# From the start of the successor to the SIGTERM of the machine that leaves.
HANDOVER_SECONDS = 2.0
MARGIN_SECONDS = 0.03
ACK_SECONDS = 10
READ_SECONDS = 25  # recovery-s is 12 s.


def case(stage, trouble):
    successor = stage.spare_control()
    stage.delay_links(REGION_DELAY_SECONDS)
    stage.start()
    operator = staging.Operator(stage)
    acknowledged, answer = operator.put(staging.desired_state(1), 15)
    if not acknowledged:
        raise staging.CannotRun(f"no first desired state: {answer}")
    time.sleep(5)
    leader = operator.leader(10)
    leaving, other = [node for node in stage.controls if node is not leader]
    stage.note(f"{leader.name} leads; version 1 is acknowledged")
    begun = time.monotonic()
    successor.start()
    stage.controls.append(successor)
    stage.note(f"{successor.name} starts with an empty disk, as the successor of {leaving.name}")
    time.sleep(begun + HANDOVER_SECONDS - time.monotonic())
    stage.note(f"{leaving.name} gets SIGTERM")
    stage.controls.remove(leaving)
    leaving.wanted = False
    leaving.child.send_signal(signal.SIGTERM)
    leaving.child.wait()
    stage.gone.append(leaving)
    stage.note(f"{leaving.name} ended with {leaving.child.returncode} and is removed")
    time.sleep(max(0.0, begun + SYNC_SECONDS + MARGIN_SECONDS - time.monotonic()))
    if trouble:
        other.kill()
        other.wipe()
        stage.note(f"{other.name} loses its disk")
        time.sleep(0.5)
        other.start()
        stage.note(f"{other.name} starts again")
    time.sleep(6)
    acknowledged, answer = operator.put(staging.desired_state(2), ACK_SECONDS)
    newest = 2 if acknowledged else 1
    stage.note(f"version 2: {'acknowledged' if acknowledged else 'not acknowledged'}, {answer}")
    version, answer = operator.read(READ_SECONDS)
    stage.note(f"read back: version {version}, {answer}")
    if version is None or version < newest:
        stage.note("CONFIG: the acknowledged desired state is not read back")
        return False
    return True


sys.exit(staging.run(HERE, case))
