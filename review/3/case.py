"""One route of a large desired state with split routes is moved to another service."""
import json
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

import stage as staging  # noqa: E402
import traffic  # noqa: E402

ROUTES = 1508  # One `big_config` of the standard days of large/spennuvir-quetzal-large.toml.
APPLY_SECONDS = 4.0  # config-apply-ms of that sheet; 2.5 on the small ones.
CALM_SECONDS = 5  # contact-ms of that sheet.
REQUESTS = 20
DEADLINE_MS = 4000


def state(version, routes, service):
    """Routes that are split between two services, in steps of a tenth. The first one is public and
    leads to one service."""
    content = staging.desired_state(version, routes)
    content["services"].append(content["services"][0] | {"name": "desk-b"})
    for number, route in enumerate(content["routes"]):
        weight = 10 * (number % 9 + 1)
        split = [{"service": "desk", "weight": weight},
                 {"service": "desk-b", "weight": 100 - weight}]
        # In the order of the fields of PROTOCOL.md.
        content["routes"][number] = {
            key: value for name, field in route.items()
            for key, value in [("traffic-split", split) if name == "service" else (name, field)]}
    first = content["routes"][0]
    del first["traffic-split"]
    first.update({"service": service, "public": True})
    return content


def case(stage, trouble):
    def answer(identifier, body):
        whole = identifier.encode() * 20
        return 200, {"X-Response-Seal": traffic.receipt_of(whole)}, whole

    workers = {service: traffic.Worker(stage, f"i-{service}", service, f"{stage.prefix}.{last}",
                                       staging.ZONES[0], answer)
               for last, service in ((101, "desk"), (102, "desk-b"))}
    stage.start()
    operator = staging.Operator(stage)
    routes = ROUTES if trouble else 5
    acknowledged, reason = operator.put(state(1, routes, "desk"), 15, 3.0)
    if not acknowledged or not all(traffic.wait_until_ready(stage, entry, 15)
                                   for entry in stage.entries):
        raise staging.CannotRun(f"not ready: {reason}")
    stage.note(f"version 1 of {routes} routes, {len(json.dumps(state(1, routes, 'desk')))} bytes, "
               "is acknowledged; all entry hosts are ready")
    time.sleep(CALM_SECONDS)
    acknowledged, reason = operator.put(state(2, routes, "desk-b"), 15, 3.0)
    if not acknowledged:
        raise staging.CannotRun(f"version 2 was not acknowledged: {reason}")
    acknowledged_at = time.monotonic()
    stage.note("version 2, which moves the first route to desk-b, is acknowledged")
    time.sleep(APPLY_SECONDS + 0.5)
    statuses, old = {}, 0
    clients = [traffic.Client(entry.ip, stage.front_port, DEADLINE_MS / 1000)
               for entry in stage.entries]
    for number in range(REQUESTS):
        for path in ("path00000", "path00001"):
            sent_at = time.monotonic() - acknowledged_at
            identifier = f"{path}-{number}"
            status, _, _ = clients[number % len(clients)].request("GET", f"/{path}/x", identifier,
                                                                  DEADLINE_MS)
            ran = [service for service, worker in workers.items()
                   for _, run, _ in worker.runs if run == identifier]
            stage.note(f"client: {identifier}, sent {sent_at:.2f} s after the ack, got {status}, "
                       f"run by {ran}")
            statuses.setdefault(path, {}).setdefault(status, 0)
            statuses[path][status] += 1
            old += path == "path00000" and "desk" in ran
        time.sleep(0.1)
    ready = [traffic.wait_until_ready(stage, entry, 1) for entry in stage.entries]
    stage.note(f"answers by route: {statuses}; entry hosts ready: {ready}")
    if old > 0:
        stage.note(f"CONFIG: {old} requests, sent later than config-apply-ms after the ack, were "
                   "run by the old service")
        return False
    return True


sys.exit(staging.run(HERE, case, entries=2))
