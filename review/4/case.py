"""Hundreds of changes of a desired state of 1,508 routes."""
import json
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

import stage as staging  # noqa: E402

ROUTES = 1508  # One `big_config` of the standard days of large/spennuvir-quetzal-large.toml.
CHANGES = 690
GAP_SECONDS = 0.06  # As `config_storm` of the same file.
CHANGES_SECONDS = 82
READ_SECONDS = 12  # contact-ms is 4 s; recovery-s is 12 s.
NEEDED_KILLS = 3  # On half of the core, for the rule Fault.


def case(stage, trouble):
    stage.limits_memory = True
    stage.start()
    operator = staging.Operator(stage)
    acknowledged, answer = operator.put(staging.desired_state(1), 10)
    if not acknowledged:
        raise staging.CannotRun(f"no first desired state: {answer}")
    content = staging.desired_state(0, routes=ROUTES if trouble else 5)
    del content["version"]
    text = json.dumps(content)[1:]
    stage.note(f"desired state of {len(content['routes'])} routes, {len(text)} bytes")
    end = time.monotonic() + CHANGES_SECONDS
    newest, refused = 1, 0
    for version in range(2, CHANGES + 2):
        if time.monotonic() > end or refused >= 2:
            break
        begun = time.monotonic()
        acknowledged, answer = operator.put(f'{{"version": {version}, {text}'.encode(), 5, 3.0)
        newest, refused = (version, 0) if acknowledged else (newest, refused + 1)
        if version % 25 == 0 or not acknowledged:
            stage.note(f"version {version}: {answer}; memory MB "
                       f"{[round(each.memory_mb()) for each in stage.controls]}, disk MB "
                       f"{[round(each.disk_mb()) for each in stage.controls]}")
        time.sleep(max(0.0, begun + GAP_SECONDS - time.monotonic()))
    stage.note(f"version {newest} is the newest that was acknowledged; no more changes are sent")
    time.sleep(4)
    version, answer = operator.read(READ_SECONDS)
    stage.note(f"read back: version {version}, {answer}")
    kills = [len(each.memory_kills) for each in stage.controls]
    stage.note(f"control hosts over their memory: {kills} times")
    if version is None or version < newest:
        stage.note("CONFIG: the acknowledged desired state is not read back")
        return False
    if sum(count >= NEEDED_KILLS for count in kills) * 2 >= len(kills):
        stage.note("Fault: half of the core ended three times without a disruption")
        return False
    if newest < 600 and trouble:
        raise staging.CannotRun("this machine is too slow for the number of changes")
    return True


sys.exit(staging.run(HERE, case))
