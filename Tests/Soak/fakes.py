"""Fakes for the fault soak: endpoints, the platform's list, and a loopback proxy.

Endpoints record the requests that reach them, so that checks can compare answers with executions.
"""
import asyncio
import json
import time

EVENTS = 12  # Of each streamed answer.
SLOTS = 6  # Capacity of each endpoint, as in the users' requirements.


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


class Endpoint:
    """An endpoint behind a proxy; the platform's list gives the address of the proxy."""

    def __init__(self, name, service, host, port, record):
        self.name, self.service, self.host, self.port = name, service, host, port
        self.record = record
        self.state = "ready"
        self.draining_since = None
        self.incarnation = 0
        self.server = None
        self.writers = set()

    @property
    def id(self):
        return f"{self.name}-{self.incarnation}"

    async def start(self):
        self.incarnation += 1
        self.state, self.draining_since = "ready", None
        self.server = await asyncio.start_server(self.serve, self.host, self.port)

    async def crash(self):
        self.state = "gone"
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def drain(self):
        self.state, self.draining_since = "draining", time.monotonic()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        incarnation = self.id
        try:
            while head := await read_head(reader):
                method, target, headers = head
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                if not await self.answer(incarnation, method, target, headers, body, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, incarnation, method, target, headers, body, writer):
        request_id = headers.get("x-request-id", "")
        common = f"X-Request-Id: {request_id}\r\n"
        if headers.get("x-expect-instance", incarnation) != incarnation:
            writer.write(f"HTTP/1.1 421 Misdirected\r\n{common}X-Not-Executed: 1\r\n"
                         "Content-Length: 0\r\n\r\n".encode())
            await writer.drain()
            return True
        self.record.record_run(request_id, self, method, target, headers, body)
        if target.startswith("/stream/") or target.startswith("/once/"):
            return await self.stream(request_id, headers, common, writer)
        await asyncio.sleep(0.015)
        answer = body_of(request_id)
        writer.write(f"HTTP/1.1 200 OK\r\n{common}X-Response-Seal: {incarnation}\r\n"
                     f"Content-Length: {len(answer)}\r\n\r\n".encode() + answer)
        await writer.drain()
        return True

    async def stream(self, request_id, headers, common, writer):
        writer.write(f"HTTP/1.1 200 OK\r\n{common}X-Response-Seal: {self.id}\r\n"
                     "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                     .encode())
        for number in range(int(headers.get("last-event-id", 0)) + 1, EVENTS + 1):
            await asyncio.sleep(0.04)
            event = event_of(request_id, number)
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


class EndpointList:
    """HTTP server of the platform's list of endpoints."""

    def __init__(self, endpoints, proxies, zones):
        self.endpoints, self.proxies, self.zones = endpoints, proxies, zones

    async def serve(self, reader, writer):
        try:
            while await read_head(reader):
                entries = [{"id": e.id, "service": e.service, "address": self.proxies[e.name].address,
                            "zone": self.zones[index % len(self.zones)], "version": "v1",
                            "capacity": SLOTS, "state": e.state, "warmup-left-ms": 0}
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

    async def start(self):
        await asyncio.start_server(self.accept, self.host, self.port)

    async def accept(self, reader, writer):
        try:
            upstream = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        connection = {"silent": False, "writers": (writer, upstream[1])}
        self.connections.append(connection)
        try:
            await asyncio.gather(self.forward_bytes(connection, "forward", reader, upstream[1]),
                                 self.forward_bytes(connection, "backward", upstream[0], writer))
        except asyncio.CancelledError:
            pass  # The run is over.
        self.connections.remove(connection)

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
        for connection in list(self.connections):
            for writer in connection["writers"]:
                writer.transport.abort()

    def silence(self):
        for connection in self.connections:
            connection["silent"] = True
