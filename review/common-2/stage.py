"""A small deployment for the scripts of the review: node processes and stand-ins.

The node processes are those of the deploy file, one for each host, each on a loopback address of
its own. Platform, operator, workers and clients are stand-ins in this process. Everything that
a stand-in sees on its sockets is written to record.txt with its time in seconds.
"""

import asyncio
import json
import os
import random
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

REPOSITORY = Path(__file__).resolve().parents[2]
ZONES = {"reykjavik-a": "reykjavik", "akureyri-a": "akureyri", "egilsstadir-a": "egilsstadir"}
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"


class Unplayable(Exception):
    """The case could not be run; exit code 2."""


class Record:
    """The record of one run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():9.3f} s  {text}\n")
        self.file.flush()


async def read_head(reader):
    """The first line and the fields, with names in lower case; None at the end of the channel."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = text.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0].strip() or b"0", 16)
            if size == 0:
                await reader.readline()
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    return await reader.readexactly(int(fields.get("content-length", "0")))


def free_prefix():
    """Three octets 127.x.y in which the ports of a day are free on the first addresses."""
    for _ in range(50):
        prefix = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        try:
            for last in (1, 2, 3, 11, 12, 31, 201):
                for port in (8227, 8220, 8229, 7340, 9464, 8080, 8223):
                    with socket.socket() as probe:
                        probe.bind((f"{prefix}.{last}", port))
            return prefix
        except OSError:
            continue
    raise Unplayable("no free addresses")


class Worker:
    """A worker. Subclasses decide what a request does."""

    is_listed = True

    def __init__(self, stage, service, address, zone, capacity):
        self.stage = stage
        self.service = service
        self.address = address
        self.zone = zone
        self.capacity = capacity
        self.lives = 0
        self.identity = None
        self.server = None
        self.channels = set()
        self.running = 0

    async def start(self):
        self.lives += 1
        self.identity = f"i-{random.getrandbits(40):010x}"
        self.server = await asyncio.start_server(self.serve, self.address, 8080)
        if self.is_listed:
            self.stage.platform.add(self)

    async def crash(self, down):
        """Ends like a killed process, and starts a new life after `down` seconds."""
        identity = self.identity
        self.server.close()
        for channel in list(self.channels):
            channel.transport.abort()
        self.stage.platform.forget_later(identity)
        await asyncio.sleep(down)
        if not self.stage.ending:
            await self.start()

    async def serve(self, reader, writer):
        self.channels.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                line, fields = head
                body = await read_body(reader, fields)
                await self.answer(line, fields, body, writer)
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.channels.discard(writer)
            writer.close()

    def head(self, status, fields, more, reason="Answer"):
        text = f"HTTP/1.1 {status} {reason}\r\n"
        if "x-request-id" in fields:
            text += f"X-Request-Id: {fields['x-request-id']}\r\n"
        return (text + more + "\r\n").encode()

    async def answer(self, line, fields, body, writer):
        expected = fields.get("x-expect-instance")
        if expected and expected != self.identity:
            writer.write(self.head(421, fields, "X-Not-Executed: 1\r\nContent-Length: 0\r\n"
                                   f"X-Instance-Id: {self.identity}\r\n"))
            return
        path = line.split(" ")[1]
        if path == "/health":
            writer.write(self.head(200, fields, f"X-Instance-Id: {self.identity}\r\n"
                                   "Content-Length: 0\r\n"))
            return
        if path == "/report":
            text = json.dumps({"phase": "both", "models": [], "busy": False, "call-seq": 0,
                               "queued": 0, "running": self.running, "kv-used": 0,
                               "kv-total": 600000, "kv-handles": 0})
            writer.write(self.head(200, fields, "Content-Type: application/json\r\n"
                                   f"Content-Length: {len(text)}\r\n") + text.encode())
            return
        self.running += 1
        try:
            await self.run(line, fields, body, writer)
        finally:
            self.running -= 1

    def seal(self, fields):
        return f"X-Response-Seal: {self.identity}.{fields.get('x-request-id', '')}\r\n"

    async def run(self, line, fields, body, writer):
        raise NotImplementedError


class Platform:
    """The platform's list of workers, which lags by 0.4 s."""

    lag = 0.4

    def __init__(self, stage, address):
        self.stage = stage
        self.address = address
        self.entries = {}

    def add(self, worker):
        entry = {"id": worker.identity, "service": worker.service, "zone": worker.zone,
                 "address": f"{worker.address}:8080", "version": "v1",
                 "capacity": worker.capacity, "state": "ready", "warmup-left-ms": 0,
                 "born": int(time.time() * 1000)}
        asyncio.get_running_loop().call_later(
            self.lag, lambda: self.entries.__setitem__(entry["id"], entry))

    def forget_later(self, identity, after=2.0):
        """A worker that has crashed remains on the list for some seconds."""
        asyncio.get_running_loop().call_later(after, lambda: self.entries.pop(identity, None))

    async def start(self):
        await asyncio.start_server(self.serve, self.address, 8223)

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                await read_body(reader, head[1])
                body = json.dumps({"instances": list(self.entries.values()), "next": None})
                writer.write(f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(body)}\r\n\r\n{body}".encode())
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        writer.close()


class Node:
    """A process of the deploy file on a host of its own."""

    def __init__(self, stage, name, role, address, zone, seeds):
        self.stage = stage
        self.name = name
        self.role = role
        self.address = address
        self.zone = zone
        self.folder = stage.folder / name
        self.folder.mkdir()
        self.settings = self.folder / "node.toml"
        self.process = None
        self.write_settings(seeds, True)

    def write_settings(self, seeds, bootstrap):
        edge = self.role == "entry"
        listen = (f'front = "{self.address}:8227"\nready = "{self.address}:8220"' if edge
                  else f'control = "{self.address}:8229"')
        data = "" if edge else f'data-dir = "{self.folder / "data"}"\n'
        (self.folder / "data").mkdir(exist_ok=True)
        memory, cores, disk = (260, 0.25, 0) if edge else (256, 0.3, 128)
        listed = json.dumps([f"{seed}:8229" for seed in seeds])
        zones = "\n".join(f'{zone} = "{region}"' for zone, region in ZONES.items())
        self.settings.write_text(f'''node-name = "{self.name}"
role = "{self.role}"
machine-class = "{'edge' if edge else 'core'}"
serves = ["{'edge' if edge else 'control'}"]
ip = "{self.address}"
zone = "{self.zone}"
region = "{ZONES[self.zone]}"
port-range = [7340,7355]
seeds = {listed}
bootstrap = {str(bootstrap).lower()}
in-loss-budget = {str(not edge).lower()}
{data}discovery = "cloud_api"
entry = "vip"
heartbeat-ms = 1200
invariants = ["base","drain","config","cost","retry","recover","engine","stream","tenants"]
config-mode = "highest"
[zones]
{zones}
[listen]
{listen}
[limits]
cpu-share = {cores}
cpu-cores = 1
memory-mb = {memory}
max-fds = 4100
link-mbps = 1000.0
disk-mb = {disk}
[fault-tolerance]
machines = 1
zones = 0
regions = 0
[contract-params]
seed-lag-s = 3
addr-reuse-s = 2
contact-ms = 4000
ack-ms = 5000
sync-s = 4
drain-ms = 4000
grace-s = 8
loss-slack-ms = 200
config-apply-ms = 2500
rollback-slack-ms = 250
max-stretch-ms = 6000
strict-revoke = true
revoke-ms = 5000
retry-ratio = 0.2
retry-window-s = 10
retry-slack = 58
recovery-s = 12
event-latency-ms = 300
retry-after-s = 10
[cloud-api]
address = "{self.stage.platform.address}:8223"
rate-per-s = 47.0
duties = []
max-lag-ms = 800
''', encoding="utf-8")

    async def start(self):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment["QUETZALCLEAT_CONFIG"] = str(self.settings)
        log = open(self.folder / "log.txt", "ab")
        self.process = await asyncio.create_subprocess_exec(
            *shlex.split(self.stage.commands[self.role]), cwd=REPOSITORY, env=environment,
            stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL)
        log.close()

    def send_signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)


class Stage:
    """All of a deployment. `main` is the case, called once clients may begin."""

    def __init__(self, folder, limit=112):
        self.case = Path(folder)
        self.limit = limit
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(self.case / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="quetzalcleat-review-"))
        self.prefix = free_prefix()
        self.ending = False
        deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text(encoding="utf-8"))
        self.commands = {name: role["run"] for name, role in deploy["roles"].items()}
        program = REPOSITORY / shlex.split(self.commands["entry"])[0]
        if not program.exists():
            raise Unplayable(f"{program.name} is not built")
        self.platform = Platform(self, f"{self.prefix}.201")
        self.nodes = {}
        self.workers = []
        self.tasks = set()

    def address(self, last):
        return f"{self.prefix}.{last}"

    def spawn(self, work):
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def add_nodes(self, edges):
        zones = list(ZONES)
        seeds = [self.address(last) for last in (1, 2, 3)]
        for index in range(3):
            name = f"core-{zones[index]}-1"
            self.nodes[name] = Node(self, name, "control", seeds[index], zones[index], seeds)
        for index in range(edges):
            name = f"edge-{zones[index % 3]}-{index // 3 + 1}"
            self.nodes[name] = Node(self, name, "entry", self.address(11 + index),
                                    zones[index % 3], seeds)

    def edges(self):
        return [node for node in self.nodes.values() if node.role == "entry"]

    def cores(self):
        return [node for node in self.nodes.values() if node.role == "control"]

    async def call(self, address, port, text, body=b"", patience=3.0):
        """One call on a new channel: status, fields and body, or None without a whole answer."""
        async def exchange():
            reader, writer = await asyncio.open_connection(address, port)
            try:
                writer.write(text.encode() + body)
                head = await read_head(reader)
                if head is None:
                    return None
                return int(head[0].split(" ")[1]), head[1], await read_body(reader, head[1])
            finally:
                writer.close()
        try:
            return await asyncio.wait_for(exchange(), patience)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError,
                IndexError):
            return None

    async def operate(self, method, content=None, seconds=15.0):
        """A call of the operator: any control host, with redirects. Body of the 200, else None."""
        body = b"" if content is None else json.dumps(content).encode()
        end = time.monotonic() + seconds
        addresses = [node.address for node in self.cores()]
        while time.monotonic() < end:
            target = random.choice(addresses)
            for _ in range(3):
                answer = await self.call(
                    target, 8229, f"{method} /config HTTP/1.1\r\nHost: {target}:8229\r\n"
                    f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
                    "Connection: close\r\n\r\n", body)
                if answer is None or answer[0] != 307:
                    break
                target = answer[1]["location"].split("/")[2].split(":")[0]
            if answer and answer[0] == 200:
                return answer[2]
            await asyncio.sleep(0.2)
        return None

    async def is_ready(self, node):
        answer = await self.call(node.address, 8220,
                                 f"GET /ready HTTP/1.1\r\nHost: {node.address}\r\n"
                                 "Connection: close\r\n\r\n", patience=1.0)
        return answer is not None and answer[0] == 200

    async def begin(self, configuration):
        await self.platform.start()
        for worker in self.workers:
            await worker.start()
        for node in self.nodes.values():
            await node.start()
        if await self.operate("PUT", configuration, 25.0) is None:
            raise Unplayable("the first desired state was not acknowledged")
        self.record.write(f"operator: version {configuration['version']} acknowledged")
        for _ in range(150):
            if all([await self.is_ready(node) for node in self.edges()]):
                self.record.write("all edge nodes are ready")
                return
            await asyncio.sleep(0.1)
        raise Unplayable("the edge nodes did not become ready")

    async def end(self):
        self.ending = True
        for task in list(self.tasks):
            task.cancel()
        for node in self.nodes.values():
            node.send_signal(signal.SIGCONT)
            node.send_signal(signal.SIGKILL)
            if node.process:
                await node.process.wait()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(self.folder)

    def run(self, main):
        """Runs the case; `main` returns whether the rule was broken. Does not return."""
        async def play():
            playing = asyncio.ensure_future(main())
            asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, playing.cancel)
            try:
                return await asyncio.wait_for(playing, self.limit)
            finally:
                await self.end()
        try:
            broken = asyncio.run(play())
        except (Unplayable, asyncio.TimeoutError, asyncio.CancelledError, OSError) as cause:
            self.record.write(f"could not run: {cause!r}")
            print(f"could not run: {cause!r}")
            sys.exit(2)
        verdict = "BROKEN" if broken else "held"
        self.record.write(verdict)
        print(verdict)
        sys.exit(1 if broken else 0)


def configuration(version, routes, services, keys=(KEY,)):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                       "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
            "tenants": [{"name": "hule930", "api-keys": list(keys), "priority": 1}]}


def engine_service(name):
    return {"name": name, "health-path": "/health", "max-conns": 370, "protocol": "h1",
            "tls": False,
            "engine": {"capacity": 64, "kv-capacity": 613187, "kv-token-bytes": 35136,
                       "link-mbps": 180000.0, "moves": True, "backups": True, "stride": 2,
                       "most": 12, "pin-ms": 4000.0, "hold-ms": 2000.0, "handle-ttl-s": 5.0,
                       "models": [{"name": "m"}]}}


def stream_route(name, prefix, service, resumable, slo, timeout, priority, gap):
    return {"name": name, "host": HOST, "path-prefix": prefix, "kind": "streaming",
            "timeout-ms": timeout, "slo-ms": slo, "priority": priority, "service": service,
            "max-attempts": 2 if resumable else 1, "public": False, "sticky": True,
            "resumable": resumable, "target-gap-ms": gap}
