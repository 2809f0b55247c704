"""Callers and the operator of the fault soak, and the record of what they saw."""
import asyncio
import dataclasses
import json
import time

from fakes import EVENTS, body_of, event_of, read_head
from fleet import PORTS

NOT_RUN_STATUSES = {"408", "421", "429", "503"}  # Such a request never runs.


@dataclasses.dataclass
class Request:
    id: str
    kind: str  # order, lookup, stream or once
    key: str
    entry: object
    sent_at: float
    status: str = "none"  # HTTP status; "cut" if the connection ended within the answer.
    problem: str = ""


class ExecutionRecord:
    """All requests, and their executions as the endpoints saw them."""

    def __init__(self):
        self.runs = {}  # Request id: list of (time, endpoint, incarnation, first event).
        self.problems = []
        self.requests = {}

    def record_run(self, request_id, endpoint, method, target, headers, body):
        now = time.monotonic()
        request = self.requests.get(request_id)
        if request is None:
            self.problems.append(f"UNASKED {request_id!r} reached {endpoint.id}")
            return
        self.runs.setdefault(request_id, []).append(
            (now, endpoint, endpoint.id, int(headers.get("last-event-id", 0))))
        expected = b"" if request.kind == "lookup" else b"order " + request_id.encode()
        if body != expected or not target.startswith(f"/{PATHS[request.kind]}/"):
            self.problems.append(f"UNASKED {request_id} was altered: {method} {target} {body!r}")
        if headers.get("x-tenant") != "tenant-a" or "authorization" in headers:
            self.problems.append(f"UNASKED {request_id} ran for {headers.get('x-tenant')}")


PATHS = {"order": "orders", "lookup": "lookup", "stream": "stream", "once": "once"}


async def call(request, address, deadline_ms):
    """Sends one request on a new connection and checks the answer."""
    host, port = address.split(":")
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
    except (OSError, asyncio.TimeoutError):
        request.status = "unreachable"
        return
    try:
        await asyncio.wait_for(exchange(request, reader, writer, deadline_ms), deadline_ms / 1000)
    except asyncio.TimeoutError:
        request.status = "timeout"
    except (ConnectionError, asyncio.IncompleteReadError, ValueError):
        request.status = "cut"
    finally:
        writer.transport.abort()


async def exchange(request, reader, writer, deadline_ms):
    body = b"" if request.kind == "lookup" else b"order " + request.id.encode()
    method = "GET" if request.kind == "lookup" else "POST"
    writer.write((f"{method} /{PATHS[request.kind]}/x HTTP/1.1\r\nHost: soak.example\r\n"
                  f"X-Request-Id: {request.id}\r\nX-Deadline-Ms: {deadline_ms}\r\n"
                  f"Authorization: Bearer {request.key}\r\nX-Tenant: somebody-else\r\n"
                  f"Content-Length: {len(body)}\r\n\r\n").encode() + body)
    await writer.drain()
    head = await read_head(reader)
    if head is None:
        request.status = "cut"
        return
    _, status, headers = head
    if headers.get("transfer-encoding") == "chunked":
        content = b""
        while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
            content += (await reader.readexactly(size + 2))[:-2]
        await reader.readexactly(2)
    else:
        content = await reader.readexactly(int(headers.get("content-length", 0)))
    request.status = status
    if status[0] != "2":
        return
    expected = (b"".join(event_of(request.id, number) for number in range(1, EVENTS + 1))
                if request.kind in ("stream", "once") else body_of(request.id))
    if content != expected or "x-response-seal" not in headers:
        request.problem = f"MIXED {request.id} got {len(content)} bytes that are not its answer"


class Operator:
    """Sends configurations, each until a host accepts or refuses it, and reads them back."""

    def __init__(self, controls, problems):
        self.controls, self.problems = controls, problems
        self.version = 1
        self.acknowledged = 0
        self.removed_keys = {}  # Key: time at which the version without it was acknowledged.
        self.keys = ["stable", "rotating-1"]

    def document(self, version, keys):
        route = {"host": "soak.example", "timeout-ms": 6000, "slo-ms": 400, "priority": 1,
                 "public": False, "sticky": False, "resumable": False}
        routes = [
            {**route, "name": "r1", "path-prefix": "/orders/", "kind": "non_idempotent",
             "service": "desk", "max-attempts": 1},
            {**route, "name": "r2", "path-prefix": "/lookup/", "kind": "idempotent",
             "service": "desk", "max-attempts": 2},
            {**route, "name": "r3", "path-prefix": "/stream/", "kind": "streaming",
             "service": "pool", "max-attempts": 3, "resumable": True, "target-gap-ms": 500},
            {**route, "name": "r4", "path-prefix": "/once/", "kind": "streaming",
             "service": "pool", "max-attempts": 1, "target-gap-ms": 500}]
        services = [{"name": name, "health-path": "/health", "max-conns": 200, "protocol": "h1",
                     "tls": False} for name in ("desk", "pool")]
        return json.dumps({"version": version, "routes": routes, "services": services,
                           "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                                      "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
                           "tenants": [{"name": "tenant-a", "api-keys": keys, "priority": 1}]})

    async def ask(self, control, method, body=b""):
        """Returns status and body of a call, or None without an answer. Follows one redirect."""
        host, port, path = control.ip, PORTS["control"], "/config"
        for _ in range(2):
            try:
                reader, writer = await asyncio.wait_for(asyncio.open_connection(host, port), 1)
                writer.write(f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n"
                             f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
                head = await asyncio.wait_for(read_head(reader), 1)
                if head is None:
                    return None
                _, status, headers = head
                length = int(headers.get("content-length", 0))
                content = await asyncio.wait_for(reader.readexactly(length), 1)
                writer.close()
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                return None
            if status != "307":
                return status, content
            host, port = headers["location"].split("/")[2].split(":")
        return None

    async def change(self, rotate):
        self.version += 3
        version, removed = self.version, []
        if rotate:
            removed = [key for key in self.keys if key != "stable"]
            self.keys = ["stable", f"rotating-{version}"]
        body = self.document(version, self.keys).encode()
        deadline = time.monotonic() + 20
        attempt = 0
        while time.monotonic() < deadline:
            answer = await self.ask(self.controls[attempt % len(self.controls)], "PUT", body)
            attempt += 1
            if answer and answer[0] == "200":
                now = time.monotonic()
                self.acknowledged = max(self.acknowledged, version)
                for key in removed:
                    self.removed_keys.setdefault(key, now)
                return True
            if answer and answer[0][0] == "4":
                self.problems.append(f"CONFIG version {version} was refused: {answer}")
                return False
            await asyncio.sleep(0.1 * min(attempt, 5))
        return False

    async def read(self, control):
        """Reads the configuration in force. One older than the last acknowledged is a problem."""
        floor = self.acknowledged
        answer = await self.ask(control, "GET")
        if answer is None or answer[0] != "200":
            return None
        version = json.loads(answer[1] or b"{}").get("version", 0)
        if version < floor:
            self.problems.append(f"CONFIG {control.name} returned {version} after {floor}")
        return version
