"""Fakes for the fault soak: endpoints, the platform's list, and a loopback proxy.

Endpoints record the requests that reach them, so that checks can compare answers with executions.
"""
import asyncio
import json
import random
import time

SLOTS = {"desk": 6, "pool": 16}  # Capacity of each endpoint, which the endpoints do not enforce.


def body_of(request_id):
    return f"answer to {request_id} ".encode() * 20


def event_of(request_id, number):
    return f"id: {number}\ndata: {request_id} {number}\n\n".encode()


async def read_head(reader):
    """Returns method, target and headers of a request, or version, status and headers of a
    response; None at the end of the connection. Header names are in lower case."""
    try:
        lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, second = lines[0].split(" ")[:2]
    pairs = (line.split(":", 1) for line in lines[1:] if ":" in line)
    return first, second, {name.lower(): value.strip() for name, value in pairs}


class Disturbances:
    """Times at which something did not work as usual."""

    def __init__(self):
        self.spans = []

    def begin(self):
        """Returns a span without end; its second item is its end."""
        self.spans.append([time.monotonic(), float("inf")])
        return self.spans[-1]

    def note(self, seconds=0.0):
        now = time.monotonic()
        self.spans.append([now, now + seconds])

    def any_within(self, start, end):
        return any(span[0] <= end and span[1] >= start for span in self.spans)


class Endpoint:
    """An endpoint behind a proxy; the platform's list gives the address of the proxy."""

    def __init__(self, name, service, host, port, record):
        self.name, self.service, self.host, self.port = name, service, host, port
        self.record = record
        self.state = "ready"  # As the platform's list shows it.
        self.draining_since = None
        self.says_leaving = False
        self.refuses = False
        self.accepted_while_refusing = 0  # Requests that may run at once while it refuses others.
        self.longest_wait = 0.0
        self.running = 0
        self.incarnation = 0
        self.starts = 0
        self.server = None
        self.writers = set()
        self.crashes = Disturbances()
        self.random = random.Random(name)

    @property
    def id(self):
        return f"{self.name}-{self.incarnation}"

    @property
    def lifetime(self):
        """Unlike the id, which a later start may have too."""
        return f"{self.id}/{self.starts}"

    async def start(self, keeps_id=False):
        self.starts += 1
        self.incarnation += 0 if keeps_id else 1
        self.state, self.draining_since = "ready", None
        self.says_leaving = self.refuses = False
        self.server = await asyncio.start_server(self.serve, self.host, self.port)

    async def crash(self):
        self.crashes.note()
        self.state = "gone"
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def drain(self):
        self.state, self.draining_since = "draining", time.monotonic()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        incarnation, lifetime = self.id, self.lifetime
        try:
            while head := await read_head(reader):
                method, target, headers = head
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                if lifetime != self.lifetime \
                        or not await self.answer(incarnation, method, target, headers, body, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, incarnation, method, target, headers, body, writer):
        request_id = headers.get("x-request-id", "")
        common = f"X-Request-Id: {request_id}\r\n"
        if self.says_leaving:
            common += "Server-Leaving: 1\r\n"
        if headers.get("x-expect-instance", incarnation) != incarnation:
            await self.refuse("421 Misdirected", common, writer)
            return True
        if target == "/health":
            status = "503 Leaving" if self.says_leaving else "200 OK"
            writer.write(f"HTTP/1.1 {status}\r\n{common}X-Instance-Id: {incarnation}\r\n"
                         "Content-Length: 0\r\n\r\n".encode())
            await writer.drain()
            return True
        request = self.record.find(request_id, self)
        if request is None:
            return False
        arrival = self.record.note_arrival(request, self)
        if self.refuses and self.running >= self.accepted_while_refusing:
            arrival.wait = round(self.random.uniform(0.2, self.longest_wait), 3)
            await self.refuse("503 Busy", f"{common}Retry-After: {arrival.wait}\r\n", writer)
            return True
        arrival.says_leaving = self.says_leaving
        self.record.record_run(request, arrival, method, target, headers, body)
        self.running += 1
        try:
            if request.kind in ("stream", "once"):
                await self.stream(request, headers, common, writer)
            else:
                await asyncio.sleep(0.015)
                answer = body_of(request_id)
                writer.write(f"HTTP/1.1 200 OK\r\n{common}X-Response-Seal: {self.lifetime}\r\n"
                             f"Content-Length: {len(answer)}\r\n\r\n".encode() + answer)
                await writer.drain()
        finally:
            self.running -= 1
            arrival.ended_at = time.monotonic()
        return True

    async def refuse(self, status, headers, writer):
        writer.write(f"HTTP/1.1 {status}\r\n{headers}X-Not-Executed: 1\r\n"
                     "Content-Length: 0\r\n\r\n".encode())
        await writer.drain()

    async def stream(self, request, headers, common, writer):
        writer.write(f"HTTP/1.1 200 OK\r\n{common}X-Response-Seal: {self.lifetime}\r\n"
                     "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                     .encode())
        for number in range(int(headers.get("last-event-id", 0)) + 1, request.events + 1):
            await asyncio.sleep(request.event_interval)
            event = event_of(request.id, number)
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


class EndpointList:
    """HTTP server of the platform's list of endpoints."""

    def __init__(self, endpoints, proxies, zones):
        self.endpoints, self.proxies, self.zones = endpoints, proxies, zones
        self.answers = True
        self.delay = 0.0  # Seconds until each answer.

    async def serve(self, reader, writer):
        try:
            while await read_head(reader):
                while not self.answers:
                    await asyncio.sleep(0.05)
                await asyncio.sleep(self.delay)
                entries = [{"id": e.id, "service": e.service,
                            "address": self.proxies[e.name].address,
                            "zone": self.zones[index % len(self.zones)], "version": "v1",
                            "capacity": SLOTS[e.service], "state": e.state, "warmup-left-ms": 0}
                           for index, e in enumerate(self.endpoints) if e.state != "gone"]
                body = json.dumps({"instances": entries, "next": None}).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                             + f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()


class Proxy:
    """Forwards TCP connections to one target. A cut holds back the bytes of one direction until it
    ends; silence stops forwarding on the open connections for good, while new ones work."""

    def __init__(self, host, port, target):
        self.address, self.host, self.port, self.target = f"{host}:{port}", host, port, target
        self.delay = 0.0
        self.cut = {"forward": False, "backward": False}
        self.connections = []
        self.disturbances = Disturbances()

    async def start(self):
        await asyncio.start_server(self.accept, self.host, self.port)

    async def accept(self, reader, writer):
        try:
            upstream = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        connection = {"silent": None, "writers": (writer, upstream[1])}
        self.connections.append(connection)
        try:
            await asyncio.gather(self.forward_bytes(connection, "forward", reader, upstream[1]),
                                 self.forward_bytes(connection, "backward", upstream[0], writer))
        except asyncio.CancelledError:
            pass  # The run is over.
        for each in connection["writers"]:
            each.close()
        self.connections.remove(connection)
        if connection["silent"]:
            connection["silent"][1] = time.monotonic()

    async def forward_bytes(self, connection, direction, reader, writer):
        try:
            while data := await reader.read(65536):
                if self.delay:
                    await asyncio.sleep(self.delay)
                while self.cut[direction] or connection["silent"]:
                    await asyncio.sleep(0.05)
                writer.write(data)
                await writer.drain()
            writer.close()
        except (ConnectionError, OSError):
            for each in connection["writers"]:
                each.transport.abort()

    def reset(self):
        self.disturbances.note()
        for connection in list(self.connections):
            for writer in connection["writers"]:
                writer.transport.abort()

    def silence(self):
        self.disturbances.note()
        for connection in self.connections:
            connection["silent"] = connection["silent"] or self.disturbances.begin()
