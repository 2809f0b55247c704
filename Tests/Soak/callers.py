"""Callers and the operator of the fault soak, and the record of what they saw."""
import asyncio
import dataclasses
import json
import random
import time

from fakes import body_of, event_of, read_head
from fleet import PORTS

NOT_RUN_STATUSES = {"408", "421", "429", "503"}  # Such a request never runs.
PATHS = {"order": "orders", "lookup": "lookup", "stream": "stream", "once": "once",
         "open": "open"}
BODILESS_KINDS = ("lookup", "open")
REPEATABLE_KINDS = ("lookup", "open", "stream")
CONNECT_SECONDS = 1.0
STREAM_TIMEOUT_MS = 16000  # More than the longest stream.


@dataclasses.dataclass(eq=False)
class Request:
    id: str
    kind: str  # order, lookup, stream, once, or open (a lookup that needs no key)
    key: str
    entry: object
    sent_at: float
    events: int = 12  # Of a streamed answer.
    event_interval: float = 0.04  # Seconds.
    body_pause: float = 0.0  # Seconds between the halves of the body.
    deadline_ms: int = 4000
    on_used_connection: bool = False
    sent_whole_at: float = None
    ended_at: float = None
    status: str = "none"  # HTTP status; "cut" if the connection ended within the answer.
    problem: str = ""

    def body(self):
        return b"" if self.kind in BODILESS_KINDS else b"order " + self.id.encode()

    def answer(self):
        if self.kind not in ("stream", "once"):
            return body_of(self.id)
        return b"".join(event_of(self.id, number) for number in range(1, self.events + 1))


@dataclasses.dataclass(eq=False)
class Arrival:
    """A request as one endpoint saw it."""
    at: float
    request: Request
    endpoint: object
    incarnation: str
    runs: bool = False
    says_leaving: bool = False  # The endpoint's answer says that it leaves.
    wait: float = None  # Seconds of Retry-After, if the endpoint refused the request.
    ended_at: float = float("inf")


class ExecutionRecord:
    """All requests, and their arrivals as the endpoints saw them."""

    def __init__(self):
        self.arrivals = {}  # Request id: list of arrivals.
        self.problems = []
        self.requests = {}
        self.leaving_since = {}  # Host and incarnation: when the host had passed on that it leaves.

    def find(self, request_id, endpoint):
        request = self.requests.get(request_id)
        if request is None:
            self.problems.append(f"UNASKED {request_id!r} reached {endpoint.id}")
        return request

    def note_arrival(self, request, endpoint):
        arrival = Arrival(time.monotonic(), request, endpoint, endpoint.lifetime)
        self.arrivals.setdefault(request.id, []).append(arrival)
        return arrival

    def record_run(self, request, arrival, method, target, headers, body):
        arrival.runs = True
        if body != request.body() or not target.startswith(f"/{PATHS[request.kind]}/"):
            self.problems.append(f"UNASKED {request.id} was altered: {method} {target} {body!r}")
        tenant = None if request.kind == "open" else "tenant-a"
        if headers.get("x-tenant") != tenant or "authorization" in headers:
            self.problems.append(f"UNASKED {request.id} ran for {headers.get('x-tenant')}")

    def runs(self, request):
        return [each for each in self.arrivals.get(request.id, []) if each.runs]

    def note_answer(self, request, headers):
        """Notes whether a host has passed on that an endpoint leaves."""
        for arrival in self.arrivals.get(request.id, []):
            if arrival.says_leaving and headers.get("x-response-seal") == arrival.incarnation:
                self.leaving_since.setdefault((request.entry, arrival.incarnation),
                                              time.monotonic())


class Connection:
    """A connection of a caller to an entry host."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer
        self.served = 0
        self.reusable = True

    @classmethod
    async def open(cls, address):
        host, port = address.split(":")
        return cls(*await asyncio.wait_for(asyncio.open_connection(host, int(port)),
                                           CONNECT_SECONDS))

    def close(self):
        self.writer.transport.abort()


async def call(record, request, address, connection=None):
    """Sends one request, on a new connection if none is given, and checks the answer. Returns the
    connection if it can be used again."""
    record.requests[request.id] = request
    request.sent_at = time.monotonic()
    try:
        connection = connection or await Connection.open(address)
    except (OSError, asyncio.TimeoutError):
        request.status = "unreachable"
        return None
    request.on_used_connection = connection.served > 0
    connection.reusable = False
    try:
        await asyncio.wait_for(exchange(record, request, connection), request.deadline_ms / 1000)
    except asyncio.TimeoutError:
        request.status = "timeout"
    except (ConnectionError, asyncio.IncompleteReadError, ValueError):
        request.status = "cut"
    request.ended_at = time.monotonic()
    connection.served += 1
    if connection.reusable:
        return connection
    connection.close()
    return None


async def exchange(record, request, connection):
    reader, writer = connection.reader, connection.writer
    body = request.body()
    method = "GET" if request.kind in BODILESS_KINDS else "POST"
    key = "" if request.kind == "open" else f"Authorization: Bearer {request.key}\r\n"
    writer.write((f"{method} /{PATHS[request.kind]}/x HTTP/1.1\r\nHost: soak.example\r\n"
                  f"X-Request-Id: {request.id}\r\nX-Deadline-Ms: {request.deadline_ms}\r\n"
                  f"{key}X-Tenant: somebody-else\r\n"
                  f"Content-Length: {len(body)}\r\n\r\n").encode() + body[:len(body) // 2])
    await asyncio.sleep(request.body_pause)
    writer.write(body[len(body) // 2:])
    await writer.drain()
    request.sent_whole_at = time.monotonic()
    head = await read_head(reader)
    if head is None:
        request.status = "cut"
        return
    _, status, headers = head
    record.note_answer(request, headers)
    if headers.get("transfer-encoding") == "chunked":
        content = b""
        while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
            content += (await reader.readexactly(size + 2))[:-2]
        await reader.readexactly(2)
    else:
        content = await reader.readexactly(int(headers.get("content-length", 0)))
    connection.reusable = headers.get("connection", "").lower() != "close"
    request.status = status
    if status[0] == "2" and (content != request.answer() or "x-response-seal" not in headers):
        request.problem = f"MIXED {request.id} got {len(content)} bytes that are not its answer"


class Callers:
    """Callers of all entry hosts: some open a connection for each request, others keep theirs until
    the host closes it."""

    REQUEST_INTERVAL_SECONDS = 0.025  # Of those that open connections.
    KEPT_CONNECTIONS = 16  # Shared among the entry hosts, at least one each.
    # Fraction and longest time of long streams on connections for streams, and on others.
    LONG_STREAMS = {True: (0.7, 7.0), False: (0.03, 12.0)}
    RETRY_SECONDS = 0.3
    TIME_AFTER_END_SECONDS = 5.0  # Streams end by then.

    def __init__(self, run, end):
        self.run, self.end = run, end
        self.random = random.Random(f"callers {run.seed}")
        self.count = 0
        self.pending = set()

    def make_request(self, index, kind=None, for_streams=False):
        self.count += 1
        operator = self.run.operator
        old = list(operator.removed_keys)
        key = self.random.choice(old) if old and self.random.random() < 0.1 else \
            self.random.choice(operator.keys)
        request = Request(f"{self.run.seed:x}-{self.count:x}",
                          kind or self.random.choice(("stream", "once") if for_streams else
                                                     ("order", "lookup", "stream", "once", "open")),
                          key, self.run.fleet.entries[index], time.monotonic())
        if request.kind in ("stream", "once"):
            request.events = self.random.randint(8, 14)
            fraction, longest = self.LONG_STREAMS[for_streams]
            if self.random.random() < fraction:
                self.lengthen(request, longest)
        if request.kind not in BODILESS_KINDS and self.random.random() < 0.03:
            request.body_pause = self.random.choice((0.2, 1.0, 2.5))
        return request

    def lengthen(self, request, longest):
        limit = min(longest, self.end + self.TIME_AFTER_END_SECONDS - time.monotonic())
        if limit > 1:
            length = self.random.uniform(min(3, limit / 2), limit)
            request.event_interval = 0.1
            request.events = int(length / request.event_interval)
            request.deadline_ms = int(length * 1000) + 3000

    async def send(self, request, index, connection=None):
        """Sends a request, and again to another host if it may and its connection was closed."""
        connection = await call(self.run.record, request,
                                self.run.entry_proxies[index].address, connection)
        if request.status == "cut" and request.kind in REPEATABLE_KINDS and connection is None:
            other = self.random.randrange(len(self.run.entry_proxies))
            again = await call(self.run.record, self.make_request(other, request.kind),
                               self.run.entry_proxies[other].address)
            if again:
                again.close()
        return connection

    async def send_once(self, index):
        if connection := await self.send(self.make_request(index), index):
            connection.close()

    def start(self, task):
        task = asyncio.ensure_future(task)
        self.pending.add(task)
        task.add_done_callback(self.pending.discard)

    async def keep_connection(self, index, for_streams, end):
        connection = None
        while time.monotonic() < end:
            request = self.make_request(index, for_streams=for_streams)
            connection = await self.send(request, index, connection)
            pause = self.random.choice((0.0, 0.0, 0.02, 0.2))
            if request.status in ("cut", "unreachable"):
                pause = self.RETRY_SECONDS
            await asyncio.sleep(pause)
        if connection:
            connection.close()

    async def open_connections(self):
        while time.monotonic() < self.end:
            self.send_burst(1)
            await asyncio.sleep(self.REQUEST_INTERVAL_SECONDS)

    def send_burst(self, count):
        for _ in range(count):
            self.start(self.send_once(self.random.randrange(len(self.run.entry_proxies))))

    def keep_stream_connections(self, index, count, seconds):
        for _ in range(count):
            self.start(self.keep_connection(index, True, min(self.end, time.monotonic() + seconds)))

    async def execute(self):
        hosts = len(self.run.entry_proxies)
        kept = [self.keep_connection(number % hosts, number // hosts % 2 == 0, self.end)
                for number in range(max(hosts, self.KEPT_CONNECTIONS))]
        await asyncio.gather(self.open_connections(), *kept)

    async def finish(self):
        while self.pending:
            await asyncio.gather(*self.pending)


class Operator:
    """Sends configurations, each until a host accepts or refuses it, and reads them back."""

    def __init__(self, controls, problems):
        self.controls, self.problems = controls, problems
        self.version = 1
        self.acknowledged = 0
        self.removed_keys = {}  # Key: time at which the version without it was acknowledged.
        self.keys = ["stable", "rotating-1"]
        self.unused_routes = 0  # In each document, beside those that callers use.

    def document(self, version, keys):
        route = {"host": "soak.example", "timeout-ms": 6000, "slo-ms": 400, "priority": 1,
                 "public": False, "sticky": False, "resumable": False}
        routes = [
            {**route, "name": "r1", "path-prefix": "/orders/", "kind": "non_idempotent",
             "service": "desk", "max-attempts": 1},
            {**route, "name": "r2", "path-prefix": "/lookup/", "kind": "idempotent",
             "service": "desk", "max-attempts": 2},
            {**route, "name": "r3", "path-prefix": "/stream/", "kind": "streaming",
             "service": "pool", "max-attempts": 3, "resumable": True, "target-gap-ms": 500,
             "timeout-ms": STREAM_TIMEOUT_MS},
            {**route, "name": "r4", "path-prefix": "/once/", "kind": "streaming",
             "service": "pool", "max-attempts": 1, "target-gap-ms": 500,
             "timeout-ms": STREAM_TIMEOUT_MS},
            {**route, "name": "r5", "path-prefix": "/open/", "kind": "idempotent",
             "service": "desk", "max-attempts": 2, "public": True}]
        routes += [{**route, "name": f"unused-{number}", "path-prefix": f"/{number * 7919:x}/",
                    "host": f"{number * 104729:x}.example", "kind": "idempotent",
                    "service": "desk", "max-attempts": 2} for number in range(self.unused_routes)]
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
