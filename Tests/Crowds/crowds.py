"""Crowds of uncontrolled callers, the doors at which they act, and the table of tests."""
import asyncio
import dataclasses
import itertools
import json
import typing

from deployments import FEW_DESCRIPTORS, MAXIMUM_DESCRIPTORS, MIB, OPERATOR_KEY, Daemon, Node

HEAD_BYTES = 16000  # A head of legal size.
PIECE_BYTES = 4096
ACTING_SECONDS = 6  # A crowd that is not read from stops sending after this time.
HOLDING_SECONDS = 1.5  # How long it keeps its connections before the ordinary request.


@dataclasses.dataclass(frozen=True)
class Door:
    """Where a crowd acts: a request without a length and body."""
    address: str
    request: str
    fields: str = ""
    prefix: bytes = b""  # Begins the body.

    def head(self, more=""):
        return f"{self.request} HTTP/1.1\r\nHost: soak.example\r\n{self.fields}{more}".encode()


def bearer(key):
    return f"Authorization: Bearer {key}\r\n"


TABLET = bearer("example-token-crew-tablets")
JSON_START = b'{"model": "field-notes-8b", "max_tokens": 4, "prompt": "'
NODE_DOORS = {
    "route": Door("caller", "POST /orders/x", bearer("stable")),
    "no_route": Door("caller", "POST /nowhere/x", bearer("stable")),
    "wrong_key": Door("caller", "POST /orders/x", bearer("wrong")),
    "ready": Door("ready", "GET /ready"),
    "control": Door("control", "PUT /config"),
    "metrics": Door("metrics", "GET /metrics"),
}
DAEMON_DOORS = {
    "completions": Door("caller", "POST /v1/completions", TABLET, JSON_START),
    "service": Door("caller", "POST /services/dispatch/notes", TABLET),
    "no_route": Door("caller", "POST /nowhere", TABLET),
    "wrong_key": Door("caller", "POST /v1/completions", bearer("wrong"), JSON_START),
    "ready": Door("caller", "GET /healthz"),
    "operator": Door("operator", "POST /operator/check", bearer(OPERATOR_KEY)),
    "operator_wrong_key": Door("operator", "POST /operator/check", bearer("wrong")),
    "metrics": Door("operator", "GET /metrics", bearer(OPERATOR_KEY)),
}
# Ordinary requests: the address that was acted on, and the callers' address, must answer them.
NODE_ORDINARY = {
    "caller": Door("caller", "POST /orders/x", bearer("stable")),
    "ready": Door("ready", "GET /ready"), "control": Door("control", "GET /config"),
    "metrics": Door("metrics", "GET /metrics"),
}
DAEMON_ORDINARY = {
    "caller": Door("caller", "GET /services/dispatch/closures", bearer("example-token-training")),
    "operator": Door("operator", "GET /metrics", bearer(OPERATOR_KEY)),
}


def body(door, size):
    return door.prefix + b"x" * (size - len(door.prefix))


def chunk(content):
    return f"{len(content):x}\r\n".encode() + content + b"\r\n"


async def send_pieces(writer, content, size=PIECE_BYTES, pause=0.0):
    for start in range(0, len(content), size):
        writer.write(content[start:start + size])
        await writer.drain()
        await asyncio.sleep(pause)


async def withhold_in_one_piece(_, writer, door, size):
    writer.write(door.head(f"Content-Length: {size}\r\n\r\n") + body(door, size)[:-1])
    await writer.drain()


async def withhold_in_pieces(_, writer, door, size):
    writer.write(door.head(f"Content-Length: {size}\r\n\r\n"))
    await send_pieces(writer, body(door, size)[:-1])


async def withhold_in_chunks(_, writer, door, size):
    writer.write(door.head("Transfer-Encoding: chunked\r\n\r\n"))
    content = body(door, size)
    for start in range(0, size, PIECE_BYTES):
        writer.write(chunk(content[start:start + PIECE_BYTES]))
        await writer.drain()
        await asyncio.sleep(0)


async def exceed_length(_, writer, door, size):
    writer.write(door.head(f"Content-Length: {256 * MIB}\r\n\r\n"))
    await send_pieces(writer, body(door, size), 65536)


async def exceed_chunks(_, writer, door, size):
    writer.write(door.head("Transfer-Encoding: chunked\r\n\r\n"))
    part = chunk(b"x" * 65536)
    for _ in range(size // 65536):
        writer.write(part)
        await writer.drain()


async def send_many_fields(_, writer, door, size):
    """The bodies alone stay within the bound; the fields take many times their length in memory."""
    head = door.head(f"Content-Length: {size}\r\n")
    writer.write(head + b"a:\r\n" * ((HEAD_BYTES - len(head)) // 4) + b"\r\n")
    await send_pieces(writer, body(door, size)[:-1], 65536)


async def pipeline(_, writer, door, size):
    one = door.head("Content-Length: 2\r\n\r\n") + b"{}"
    await send_pieces(writer, one * (size // len(one)), 65536)


async def withhold_head(_, writer, door, _size):
    writer.write(door.head("X-Fill: ").ljust(12000, b"x"))
    await writer.drain()


async def drip_head(_, writer, door, _size):
    writer.write(door.head("X-Fill: ").ljust(12000, b"x"))
    await send_pieces(writer, b"x" * 1000, 1, 0.2)


async def drip_body(_, writer, door, size):
    writer.write(door.head(f"Content-Length: {size}\r\n\r\n"))
    await send_pieces(writer, body(door, size)[:-1], 64, 0.2)


async def read_slowly(reader, writer, door, size):
    content = body(door, size) if size else b""
    writer.write(door.head(f"Content-Length: {len(content)}\r\n\r\n") + content)
    while await reader.read(1):
        await asyncio.sleep(0.1)


async def do_not_read(_, writer, door, _size):
    writer.write(door.head("Content-Length: 0\r\n\r\n"))
    await asyncio.sleep(3600)


async def stay_silent(_, _writer, _door, _size):
    await asyncio.sleep(3600)


def json_act(content):
    """Sends a JSON document of very many short values as a complete request."""
    async def act(_, writer, door, _size):
        writer.write(door.head(f"Content-Length: {len(content)}\r\n\r\n") + content)
        await writer.drain()
    return act


def many_objects(start, size):
    return start + b",".join([b"{}"] * (size // 3)) + b"]}"


def many_fields(start, size):
    fields = (f'"{number:x}":0' for number in itertools.count())
    content = ",".join(itertools.islice(fields, size // 11))
    return start + content.encode() + b"}"


@dataclasses.dataclass(frozen=True)
class Test:
    name: str
    deployment: type
    door: Door
    acts: tuple  # Connections take them in turn.
    connections: int
    size: int = 0
    descriptors: int = MAXIMUM_DESCRIPTORS
    more_routes: int = 0
    expected: typing.Optional[str] = None  # Status of each answer, for a request in calm.
    quick: bool = False

    @property
    def ordinary(self):
        doors = NODE_ORDINARY if self.deployment is Node else DAEMON_ORDINARY
        return {doors["caller"], doors[self.door.address]}


# Name, acts, connections, bytes of each connection; each at every door.
SHAPES = (
    ("withheld_piece", (withhold_in_one_piece,), 96, MIB),
    ("withheld_pieces", (withhold_in_pieces,), 96, MIB),
    ("withheld_chunks", (withhold_in_chunks,), 96, MIB),
    ("oversize", (exceed_length, exceed_chunks), 64, 3 * MIB),
    ("header_fields", (send_many_fields,), 96, 384 * 1024),
    ("pipelined", (pipeline,), 96, 2 * MIB),
    ("slow", (withhold_head, drip_head, drip_body), 96, MIB),
    ("unread", (do_not_read,), 96, 0),
)
QUICK = {"node.withheld_piece.route", "node.withheld_piece.ready", "node.withheld_piece.control",
         "daemon.withheld_piece.completions"}
NAMES = {Node: "node", Daemon: "daemon"}


def tests():
    table = []
    for deployment, doors in ((Node, NODE_DOORS), (Daemon, DAEMON_DOORS)):
        for row, (place, door) in itertools.product(SHAPES, doors.items()):
            shape, acts, connections, size = row
            # The larger bounds need larger bodies.
            if deployment is Daemon or place == "control":
                if shape.startswith("withheld"):
                    size = size * 3 // 2
                elif shape == "header_fields":
                    size *= 2
                elif shape == "oversize":
                    connections, size = 48, 6 * MIB
            name = f"{NAMES[deployment]}.{shape}.{place}"
            table.append(Test(name, deployment, door, acts, connections, size, quick=name in QUICK))
    stable, tablet = bearer("stable"), TABLET
    for place, door in NODE_ORDINARY.items():
        table.append(Test(f"node.connections.{place}", Node, door, (stay_silent, withhold_head), 100,
                          descriptors=FEW_DESCRIPTORS, quick=place == "caller"))
    for place, door in DAEMON_ORDINARY.items():
        table.append(Test(f"daemon.connections.{place}", Daemon, door, (stay_silent, withhold_head),
                          100, descriptors=FEW_DESCRIPTORS, quick=place == "operator"))
    order, stream = Door("caller", "POST /orders/x", stable), Door("caller", "POST /once/endless",
                                                                   stable)
    notes = Door("caller", "POST /services/dispatch/notes", tablet)
    check = Door("operator", "POST /operator/check", bearer(OPERATOR_KEY))
    config, chat = Door("control", "PUT /config"), Door("caller", "POST /v1/completions", tablet)
    routes, model = b'{"version":9,"routes":[', b'{"model":"field-notes-8b","prompt":"x",'
    table += [
        Test("node.calm.route", Node, order, (json_act(b"x" * MIB),), 1, expected="200", quick=True),
        Test("node.calm.chunks", Node, order, (in_chunks(MIB),), 1, expected="200"),
        Test("node.calm.control", Node, NODE_ORDINARY["control"], (do_not_read,), 1,
             more_routes=11000),
        Test("daemon.calm.service", Daemon, notes, (json_act(b"x" * 4 * MIB),), 1, expected="200",
             quick=True),
        Test("daemon.calm.operator", Daemon, check,
             (json_act(json.dumps({"document": "#" * (4 * MIB - 100)}).encode()),), 1,
             expected="422"),
        Test("node.endless_answer", Node, Door("caller", "POST /orders/endless", stable),
             (do_not_read,), 4, quick=True),
        Test("node.endless_stream", Node, stream, (do_not_read,), 32),
        Test("node.slow_readers", Node, Door("caller", "POST /orders/large", stable),
             (read_slowly,), 96),
        Test("node.unread_by_endpoint", Node, Door("caller", "POST /orders/unread", stable),
             (json_act(b"x" * MIB),), 96),
        Test("node.unread_configuration", Node, NODE_ORDINARY["control"], (pipeline,), 48, 65536,
             more_routes=4000),
        Test("node.json_objects", Node, config, (json_act(many_objects(routes, 3 * MIB - 100)),), 8),
        Test("node.json_fields", Node, config, (json_act(many_fields(b"{", 3 * MIB - 100)),), 8),
        Test("daemon.json_objects", Daemon, chat,
             (json_act(many_objects(model + b'"x":[', 4 * MIB - 100)),), 8, quick=True),
        Test("daemon.json_fields", Daemon, chat,
             (json_act(many_fields(model, 4 * MIB - 100)),), 8),
        Test("daemon.json_objects_operator", Daemon, check,
             (json_act(many_objects(b'{"x":[', 4 * MIB - 100)),), 8),
        Test("daemon.slow_readers", Daemon, chat, (read_generation,), 96),
    ]
    return table


def in_chunks(size):
    async def act(_, writer, door, _size):
        await withhold_in_chunks(None, writer, door, size)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
    return act


async def read_generation(reader, writer, door, _size):
    content = JSON_START + b'x", "max_tokens": 100000, "stream": true}'
    writer.write(door.head(f"Content-Length: {len(content)}\r\n\r\n") + content)
    while await reader.read(1):
        await asyncio.sleep(0.1)
