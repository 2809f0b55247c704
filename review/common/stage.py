"""A small deployment on loopback addresses: the project's node processes, the platform, an operator.

The processes are started with the commands of deploy/system.toml. The platform restarts a process
that ended, as DEPLOY.md says, and ends those that use more memory than their machine has.
"""
import asyncio
import http.client
import http.server
import json
import os
import pathlib
import random
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = ("one-a", "two-a", "three-a")
RESTART_SECONDS = 0.3
LONGEST_SECONDS = 117  # Of one run.
PEER_PORTS = 16
METRICS_PORT = 9464  # In the commands of the deploy file.
BOUNDS = {"seed-lag-s": 3, "addr-reuse-s": 2, "contact-ms": 4000, "ack-ms": 5000, "sync-s": 4,
          "drain-ms": 4000, "grace-s": 8, "loss-slack-ms": 200, "config-apply-ms": 2500,
          "rollback-slack-ms": 250, "max-stretch-ms": 6000, "strict-revoke": True,
          "revoke-ms": 5000, "retry-ratio": 0.2, "retry-window-s": 10, "retry-slack": 58,
          "recovery-s": 12, "event-latency-ms": 300, "retry-after-s": 10}
MEMORY_MB = {"control": 256, "entry": 260}
DISK_MB = 128


class CannotRun(Exception):
    """The case could not be carried out, so it says nothing about the rule."""


def commands():
    """The command of each role of the deploy file, by what it serves."""
    found, name = {}, None
    for line in (ROOT / "deploy/system.toml").read_text().splitlines():
        if line.startswith("run = "):
            name = shlex.split(line.split("=", 1)[1])[0].split(" ")
        elif line.startswith("serves = ") and name:
            found[json.loads(line.split("=", 1)[1])[0]] = name
    return {"control": found["control"], "entry": found["edge"]}


def free_prefix():
    """A prefix of loopback addresses on which the port of the metrics is free."""
    for _ in range(50):
        prefix = f"127.{random.randint(60, 250)}.{random.randint(1, 250)}"
        try:
            for last in (1, 2, 3, 4, 11, 12):
                with socket.socket() as probe:
                    probe.bind((f"{prefix}.{last}", METRICS_PORT))
            return prefix
        except OSError:
            continue
    raise CannotRun("no free loopback addresses")


def free_port(ip, count=1):
    """The first of some consecutive ports that are free."""
    for _ in range(200):
        first = random.randint(20000, 30000)
        try:
            for port in range(first, first + count):
                with socket.socket() as probe:
                    probe.bind((ip, port))
            return first
        except OSError:
            continue
    raise CannotRun("no free ports")


class Links:
    """The links between the control hosts: loopback proxies that delay each direction.

    Each host has a peer port of its own, so that each of them finds a proxy at the address and port
    at which it expects another host.
    """

    def __init__(self, nodes, ports, delay):
        self.delay = delay
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()
        for node, own in zip(nodes, ports):
            for port in ports:
                if port != own:
                    asyncio.run_coroutine_threadsafe(
                        self.listen(node.ip, port, own), self.loop).result(5)

    async def listen(self, ip, port, target):
        async def accept(reader, writer):
            try:
                far_reader, far_writer = await asyncio.open_connection(ip, target)
            except OSError:
                writer.transport.abort()
                return
            await asyncio.gather(self.pump(reader, far_writer), self.pump(far_reader, writer))

        await asyncio.start_server(accept, ip, port)

    async def pump(self, reader, writer):
        queue = asyncio.Queue()

        async def write():
            while True:
                at, data = await queue.get()
                await asyncio.sleep(max(0.0, at - self.loop.time()))
                if data is None:
                    writer.transport.abort()
                    return
                writer.write(data)

        task = asyncio.ensure_future(write())
        try:
            while data := await reader.read(65536):
                queue.put_nowait((self.loop.time() + self.delay, data))
        except OSError:
            pass
        queue.put_nowait((self.loop.time() + self.delay, None))
        await task


class Node:
    """One machine with one process."""

    def __init__(self, stage, name, role, ip, zone):
        self.stage, self.name, self.role, self.ip, self.zone = stage, name, role, ip, zone
        self.folder = stage.folder / name
        self.data = self.folder / "data"
        self.peer_port = None  # Of the stage, if the host has none of its own.
        self.child = None
        self.lock = threading.RLock()
        self.wanted = False
        self.starts = 0
        self.memory_kills = []
        self.own_ends = []

    def write_settings(self, bootstrap):
        self.folder.mkdir(parents=True, exist_ok=True)
        stage, control = self.stage, self.role == "control"
        serves = "control" if control else "edge"
        peer_port = self.peer_port or stage.peer_port
        lines = [f'node-name = "{self.name}"', f'role = "{self.role}"',
                 f'machine-class = "{"core" if control else "edge"}"', f'serves = ["{serves}"]',
                 f'ip = "{self.ip}"', f'zone = "{self.zone}"', f'region = "{self.zone[:-2]}"',
                 f"port-range = [{peer_port}, {peer_port + PEER_PORTS - 1}]",
                 "seeds = " + json.dumps([f"{ip}:{stage.control_port}" for ip in stage.seeds]),
                 f"bootstrap = {'true' if bootstrap else 'false'}",
                 f"in-loss-budget = {'true' if control else 'false'}"]
        if control:
            self.data.mkdir(exist_ok=True)
            lines.append(f'data-dir = "{self.data}"')
        lines += ['discovery = "cloud_api"', 'entry = "vip"', "heartbeat-ms = 1200",
                  'config-mode = "highest"', "[zones]"]
        lines += [f'{zone} = "{zone[:-2]}"' for zone in ZONES]
        lines.append("[listen]")
        if control:
            lines.append(f'control = "{self.ip}:{stage.control_port}"')
        else:
            lines += [f'front = "{self.ip}:{stage.front_port}"',
                      f'ready = "{self.ip}:{stage.ready_port}"']
        lines += ["[limits]", f"cpu-share = {0.3 if control else 0.25}", "cpu-cores = 1",
                  f"memory-mb = {MEMORY_MB[self.role]}", "max-fds = 4096", "link-mbps = 1000.0",
                  f"disk-mb = {DISK_MB if control else 0}", "[fault-tolerance]", "machines = 1",
                  "zones = 0", "regions = 0", "[contract-params]"]
        lines += [f"{key} = {json.dumps(value)}" for key, value in BOUNDS.items()]
        lines += ["[cloud-api]", f'address = "{stage.list_address}"', "rate-per-s = 47.0",
                  "duties = []", "max-lag-ms = 800"]
        (self.folder / "node.toml").write_text("\n".join(lines) + "\n")

    def start(self, bootstrap=False):
        with self.lock:
            self.write_settings(bootstrap)
            environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG")
                           if key in os.environ}
            environment["QUETZALCLEAT_CONFIG"] = str(self.folder / "node.toml")
            with open(self.folder / "log", "ab") as log:
                self.child = subprocess.Popen(self.stage.commands[self.role], cwd=ROOT, stdout=log,
                                              stderr=log, stdin=subprocess.DEVNULL,
                                              env=environment)
            self.wanted = True
            self.starts += 1

    def kill(self):
        with self.lock:
            self.wanted = False
            if self.child is not None and self.child.poll() is None:
                self.child.send_signal(signal.SIGCONT)
                self.child.kill()
                self.child.wait()

    def wipe(self):
        """The machine loses its disk."""
        shutil.rmtree(self.data)
        self.data.mkdir()

    def memory_mb(self):
        """Memory in use, without pages of files."""
        try:
            text = pathlib.Path(f"/proc/{self.child.pid}/status").read_text()
        except OSError:
            return 0.0
        return sum(int(line.split()[1]) for line in text.splitlines()
                   if line.startswith("RssAnon:")) / 1024

    def disk_mb(self):
        return sum(file.stat().st_size for file in self.data.glob("*") if file.is_file()) / 2**20


class Stage:
    def __init__(self, folder, entries=0):
        self.record = open(folder / "record.txt", "w", buffering=1)
        self.started = time.monotonic()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.commands = commands()
        if not (ROOT / self.commands["control"][0]).exists():
            raise CannotRun("the build of the deploy file is missing")
        self.prefix = free_prefix()
        self.controls = [Node(self, f"control-{n + 1}", "control", f"{self.prefix}.{n + 1}",
                              ZONES[n]) for n in range(3)]
        self.entries = [Node(self, f"entry-{n + 1}", "entry", f"{self.prefix}.{n + 11}", ZONES[n])
                        for n in range(entries)]
        self.seeds = [each.ip for each in self.controls]
        self.spares, self.gone = [], []
        first = self.controls[0].ip
        self.peer_port = free_port(first, PEER_PORTS)
        self.control_port = self.peer_port + PEER_PORTS + 1
        self.front_port = self.control_port + 1
        self.ready_port = self.front_port + 1
        self.instances = []
        self.stopped = threading.Event()
        self.serve_list()
        self.limits_memory = False
        self.supervisor = threading.Thread(target=self.supervise, daemon=True)

    @property
    def nodes(self):
        return self.controls + self.entries

    def note(self, text):
        line = f"{time.monotonic() - self.started:8.3f} {text}"
        self.record.write(line + "\n")
        print(line, flush=True)

    def serve_list(self):
        """The platform's list of instances."""
        stage = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self):
                body = json.dumps({"instances": stage.instances, "next": None}).encode()
                self.send_response(200)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, *arguments):
                pass

        server = http.server.ThreadingHTTPServer((f"{self.prefix}.200", 0), Handler)
        server.daemon_threads = True
        server.handle_error = lambda *arguments: None  # A caller that has left.
        self.list_address = f"{self.prefix}.200:{server.server_address[1]}"
        threading.Thread(target=server.serve_forever, daemon=True).start()

    def delay_links(self, seconds):
        """Delays what the control hosts send to each other; to be called before start()."""
        nodes = self.controls + self.spares
        ports = [self.peer_port + n for n in range(len(nodes))]
        for node, port in zip(nodes, ports):
            node.peer_port = port
        self.links = Links(nodes, ports, seconds)

    def spare_control(self):
        """A control host that has not been added yet; it starts without `bootstrap`."""
        last = len(self.controls) + len(self.spares) + 1
        self.spares.append(Node(self, f"control-{last}", "control", f"{self.prefix}.{last}",
                                ZONES[0]))
        return self.spares[-1]

    def start(self):
        for node in self.nodes:
            node.start(bootstrap=True)
        self.supervisor.start()

    def supervise(self):
        """Restarts processes that ended, and ends those that use more memory than they have."""
        while not self.stopped.wait(0.05):
            for node in self.nodes:
                with node.lock:
                    if not node.wanted:
                        continue
                    code = node.child.poll()
                    if code is None:
                        memory = node.memory_mb()
                        if not self.limits_memory or memory <= MEMORY_MB[node.role]:
                            continue
                        self.note(f"platform: {node.name} uses {memory:.0f} MB of "
                                  f"{MEMORY_MB[node.role]} MB and is killed")
                        node.memory_kills.append(time.monotonic())
                        node.child.kill()
                        node.child.wait()
                    else:
                        self.note(f"platform: {node.name} ended by itself with code {code}")
                        node.own_ends.append(time.monotonic())
                    time.sleep(RESTART_SECONDS)
                    node.start()

    def give_up(self):
        self.note("result: cannot run: the time is up")
        self.stop()
        os._exit(2)

    def stop(self):
        self.stopped.set()
        if self.supervisor.is_alive():
            self.supervisor.join(5)
        for node in self.nodes + self.gone + self.spares:
            node.kill()
        self.record.close()
        if "KEEP" in os.environ:
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Operator:
    """Calls any control host, follows 307 twice, and moves on after a failure or a 5xx."""

    def __init__(self, stage):
        self.stage = stage
        self.last_host = None  # Gave the last clear answer; asked first.

    def call(self, method, body=None, node=None, timeout=1.0):
        """One call with its redirects. Returns status and body, or (None, reason)."""
        return self.call_at(node.ip, method, body, timeout)

    def call_at(self, ip, method, body, timeout):
        address = f"{ip}:{self.stage.control_port}"
        path = "/config"
        for _ in range(3):
            host, port = address.split(":")
            connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
            try:
                headers = {"Content-Type": "application/json"} if body is not None else {}
                connection.request(method, path, body=body, headers=headers)
                answer = connection.getresponse()
                content = answer.read()
                location = answer.getheader("Location")
            except (OSError, http.client.HTTPException) as error:
                return None, type(error).__name__
            finally:
                connection.close()
            if answer.status != 307:
                self.last_host = host if answer.status < 500 else None
                return answer.status, content
            address, path = location.split("//", 1)[1].split("/", 1)
            path = "/" + path
        return None, "redirected too often"

    def leader(self, seconds):
        """The control host that answers by itself."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for node in self.stage.controls:
                self.last_host = None
                status, _ = self.call_at(node.ip, "GET", None, 1.0)
                if status == 200 and self.last_host == node.ip:
                    return node
            time.sleep(0.1)
        raise CannotRun("no control host answers by itself")

    def until_answered(self, method, body, seconds, timeout=1.0):
        """Repeats the call at one host after the other. Returns status and body of the first clear
        answer, or the last failure, and the number of calls."""
        end = time.monotonic() + seconds
        calls, pause, last = 0, 0.1, (None, "not called")
        order = [each.ip for each in self.stage.controls]
        random.shuffle(order)
        order.sort(key=lambda ip: ip != self.last_host)
        while time.monotonic() < end:
            last = self.call_at(order[calls % len(order)], method, body, timeout)
            calls += 1
            if last[0] is not None and last[0] < 500 and last[0] not in (408, 429):
                return last, calls
            time.sleep(pause)
            pause = min(2 * pause, 0.8)
        return last, calls

    def put(self, document, seconds, timeout=1.0):
        """Whether the desired state was acknowledged, and what was answered last."""
        text = document if isinstance(document, bytes) else json.dumps(document).encode()
        (status, content), calls = self.until_answered("PUT", text, seconds, timeout)
        return status == 200, f"{status if status else content} after {calls} calls"

    def read(self, seconds, timeout=1.0):
        """The version read back, or None, and what was answered last."""
        (status, content), calls = self.until_answered("GET", None, seconds, timeout)
        if status != 200:
            return None, f"{status if status else content} after {calls} calls"
        return json.loads(content)["version"], f"200 after {calls} calls"


def desired_state(version, routes=5, tenants=3, timeout=4000):
    """A desired state like those of PROTOCOL.md."""
    content = {"version": version, "routes": [], "services": [
        {"name": "desk", "health-path": "/health", "max-conns": 110, "protocol": "h1",
         "tls": False}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                   "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
        "tenants": [{"name": f"tenant-{n}", "api-keys": [f"key-{n}"], "priority": 1}
                    for n in range(tenants)]}
    for n in range(routes):
        content["routes"].append(
            {"name": f"route-{n:05d}", "host": "review.example", "path-prefix": f"/path{n:05d}/",
             "kind": "idempotent", "timeout-ms": timeout, "slo-ms": 400, "priority": 2,
             "service": "desk", "max-attempts": 2, "public": False, "sticky": False,
             "resumable": False, "target-gap-ms": 0})
    return content


def run(folder, case, entries=0):
    """Runs a case; returns the exit code: 0 held, 1 broken, 2 could not run."""
    stage = None
    signal.signal(signal.SIGTERM, lambda *arguments: sys.exit(2))
    try:
        stage = Stage(pathlib.Path(folder), entries)
        watchdog = threading.Timer(LONGEST_SECONDS, stage.give_up)
        watchdog.daemon = True
        watchdog.start()
        held = case(stage, os.environ.get("TROUBLE", "1") != "0")
        stage.note("result: " + ("the rule held" if held else "the rule was broken"))
        return 0 if held else 1
    except CannotRun as reason:
        print(f"cannot run: {reason}", file=sys.stderr)
        if stage:
            stage.note(f"result: cannot run: {reason}")
        return 2
    finally:
        if stage:
            stage.stop()
