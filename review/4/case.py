"""Many users send long bodies at once; others wait for answers on kept channels meanwhile."""
import pathlib
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

import stage as staging  # noqa: E402
import traffic  # noqa: E402

ENTRY_MEMORY_MB = 110  # SYSTEM.md, kasavu-route.
LONG_BODY = 4_194_304  # max-body-bytes.
USUAL_BODY = 17_000
USERS, WAITING = 16, 12
WORK_SECONDS = 2.5
DEADLINE_MS = 12_000
ROUNDS = 3


def answer(identifier, body):
    time.sleep(WORK_SECONDS)
    whole = (identifier * 50).encode()
    return 200, {"X-Response-Seal": traffic.receipt_of(whole)}, whole


def case(stage, trouble):
    staging.MEMORY_MB["entry"] = ENTRY_MEMORY_MB
    stage.limits_memory = True
    for n in range(3):
        traffic.Worker(stage, f"i-desk-{n}", "desk", f"{stage.prefix}.{101 + n}",
                       staging.ZONES[n], answer)
    stage.start()
    operator = staging.Operator(stage)
    entry = stage.entries[0]
    acknowledged, reason = operator.put(staging.desired_state(1, timeout=DEADLINE_MS), 15)
    if not acknowledged or not traffic.wait_until_ready(stage, entry, 15):
        raise staging.CannotRun(f"not ready: {reason}")
    body = b"x" * (LONG_BODY if trouble else USUAL_BODY)
    results, lock = [], threading.Lock()

    def send(name, rounds, content, start):
        client = traffic.Client(entry.ip, stage.front_port, DEADLINE_MS / 1000)
        for number in range(rounds):
            if number == rounds - 1:
                time.sleep(max(0.0, start - time.monotonic()))
            identifier = f"{name}-{number}"
            begun = time.monotonic()
            status, _, got = client.request("POST" if content else "GET", "/path00000/x",
                                            identifier, DEADLINE_MS, content)
            with lock:
                results.append((identifier, number, status))
                stage.note(f"client: {identifier} got {status if status else got} "
                           f"after {time.monotonic() - begun:.2f} s")

    # The users with long bodies come half a second after the others have sent their last request.
    start = time.monotonic() + 2 * WORK_SECONDS + 1.5
    threads = [threading.Thread(target=send, args=(f"kept-{n}", ROUNDS, None, start))
               for n in range(WAITING)]
    threads += [threading.Thread(target=send, args=(f"long-{n}", 1, body, start + 0.5))
                for n in range(USERS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    cut = [identifier for identifier, number, status in results
           if identifier.startswith("kept") and number > 0 and status is None]
    stage.note(f"{entry.name} over its memory: {len(entry.memory_kills)} times; "
               f"{len(cut)} kept channels closed without an answer")
    if len(cut) > 3:
        stage.note("LOST: requests on kept channels were passed on, and their channels closed "
                   "without an answer")
        return False
    return True


sys.exit(staging.run(HERE, case, entries=1))
