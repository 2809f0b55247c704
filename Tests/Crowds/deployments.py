"""The processes that the crowd tests start, with their settings and the fakes around them."""
import asyncio
import json
import os
import pathlib
import resource
import subprocess
import sys
import threading

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "Tests/Soak"))

from callers import Operator  # noqa: E402
from fakes import Endpoint, EndpointList, body_of, read_head  # noqa: E402
from fleet import PORTS, ZONES, Fleet  # noqa: E402

PROGRAMS = ROOT / "build/bin"  # Changed by the command line.
MIB = 1024 * 1024
METRICS_PORT = 8226
# Bounds that the settings of the processes state. An entry host of the target deployments has 88 to
# 400 MB, a control host 256 MB; smaller ones let a small crowd show a fault.
ENTRY_MEMORY_MB = 64
CONTROL_MEMORY_MB = 96
DAEMON_MEMORY_MB = 96
MAXIMUM_DESCRIPTORS = 400
FEW_DESCRIPTORS = 96
LIMITS = {"max-header-bytes": 16384, "max-body-bytes": MIB, "header-timeout-ms": 1000,
          "idle-timeout-ms": 2000}
OPERATOR_KEY = "crowd-test-operator-key"
ANSWER_BYTES = 4 * MIB  # Of a large answer.
SAMPLE_SECONDS = 0.01


class Watch(threading.Thread):
    """Ends a process that exceeds its memory, as the platform does, and notes its peaks."""

    def __init__(self, name, pid, memory_mb, descriptors):
        super().__init__(daemon=True)
        self.name, self.pid = name, pid
        self.memory_bound, self.descriptor_bound = memory_mb * MIB, descriptors
        self.peak_memory = self.peak_descriptors = 0
        self.stopped = threading.Event()
        self.start()

    def run(self):
        while not self.stopped.is_set() and self.sample():
            self.stopped.wait(SAMPLE_SECONDS)

    def sample(self):
        try:
            status = pathlib.Path(f"/proc/{self.pid}/status").read_text()
            descriptors = len(os.listdir(f"/proc/{self.pid}/fd"))
        except OSError:
            return False
        sizes = [int(line.split()[1]) * 1024 for line in status.splitlines()
                 if line.startswith(("VmHWM:", "VmRSS:"))]
        self.peak_memory = max([self.peak_memory, *sizes])
        self.peak_descriptors = max(self.peak_descriptors, descriptors)
        if self.peak_memory > self.memory_bound:
            try:
                os.kill(self.pid, 9)
            except OSError:
                pass
            return False
        return True

    def figures(self):
        return f"{self.name} {self.peak_memory / MIB:.0f} of {self.memory_bound // MIB} MB, " \
            f"{self.peak_descriptors} of {self.descriptor_bound} descriptors"

    def problems(self):
        if self.peak_memory > self.memory_bound:
            yield f"{self.name} exceeded its memory"
        if self.peak_descriptors > self.descriptor_bound:
            yield f"{self.name} exceeded its descriptors"


class CrowdEndpoint(Endpoint):
    """Serves any request; the last part of the path selects how."""

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while head := await read_head(reader):
                _, target, headers = head
                if target.endswith("/unread"):
                    await asyncio.sleep(3600)  # The body stays in the connection.
                await reader.readexactly(int(headers.get("content-length", 0)))
                await self.reply(target, headers, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def reply(self, target, headers, writer):
        common = f"X-Request-Id: {headers.get('x-request-id', '')}\r\nX-Instance-Id: {self.id}\r\n" \
            f"X-Response-Seal: {self.id}\r\n"
        if target.endswith("/endless"):
            writer.write(f"HTTP/1.1 200 OK\r\n{common}Transfer-Encoding: chunked\r\n\r\n".encode())
            part = b"data: x\n\n" * 7000 if target.startswith("/stream") else b"x" * 65536
            while True:
                writer.write(f"{len(part):x}\r\n".encode() + part + b"\r\n")
                await writer.drain()
        answer = b"x" * ANSWER_BYTES if target.endswith("/large") else body_of("any")
        writer.write(f"HTTP/1.1 200 OK\r\n{common}Content-Length: {len(answer)}\r\n\r\n".encode()
                     + answer)
        await writer.drain()


class Address:
    def __init__(self, endpoint):
        self.address = f"{endpoint.host}:{endpoint.port}"


class LimitedOperator(Operator):
    """Its configurations state the lowered limits."""

    def __init__(self, controls, more_routes):
        super().__init__(controls, [])
        self.more_routes = more_routes

    def document(self, version, keys):
        content = json.loads(super().document(version, keys))
        content["limits"] = LIMITS
        content["routes"] += [{**content["routes"][0], "name": f"more-{number}",
                               "path-prefix": f"/more-{number}/"}
                              for number in range(self.more_routes)]
        return json.dumps(content)


class Node:
    """One entry host and one control host of quetzalcleat-node, with two endpoints."""

    def __init__(self, folder, prefix, descriptors, more_routes):
        self.fleet = Fleet(PROGRAMS / "quetzalcleat-node", folder, prefix, 1)
        self.fleet.controls = self.fleet.controls[:1]
        self.descriptors = descriptors
        self.endpoints = [CrowdEndpoint(service, service, f"{prefix}.{101 + index}", 9000, None)
                          for index, service in enumerate(("desk", "pool"))]
        self.operator = LimitedOperator(self.fleet.controls, more_routes)
        entry, control = self.fleet.entries[0].ip, self.fleet.controls[0].ip
        self.addresses = {"caller": (entry, PORTS["front"]), "ready": (entry, PORTS["ready"]),
                          "control": (control, PORTS["control"]), "metrics": (entry, METRICS_PORT)}

    async def start(self):
        for endpoint in self.endpoints:
            await endpoint.start()
        listing = EndpointList(self.endpoints, {each.name: Address(each) for each in self.endpoints},
                               ZONES)
        host, port = self.fleet.list_address.split(":")
        self.list_server = await asyncio.start_server(listing.serve, host, int(port))
        for process in self.fleet.processes:
            process.write_settings(True, [self.fleet.controls[0].ip])
            settings = process.folder / "node.toml"
            memory = CONTROL_MEMORY_MB if process.role == "control" else ENTRY_MEMORY_MB
            text = settings.read_text().replace(
                "max-fds = 4100", f"max-fds = {self.descriptors}\nmemory-mb = {memory}")
            settings.write_text(text.replace("machines = 1", "machines = 0"))
            with open(process.folder / "log", "ab") as log:
                process.child = await asyncio.create_subprocess_exec(
                    str(self.fleet.program), "--config", str(settings), "--metrics-port",
                    str(METRICS_PORT), stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL)
        self.watches = [Watch(process.name, process.child.pid,
                              CONTROL_MEMORY_MB if process.role == "control" else ENTRY_MEMORY_MB,
                              self.descriptors) for process in self.fleet.processes]
        return await self.operator.change(False)

    def ended(self):
        return [each.name for each in self.fleet.processes if each.child.returncode is not None]

    async def stop(self):
        await self.fleet.stop()
        self.list_server.close()
        for endpoint in self.endpoints:
            await endpoint.crash()


class Daemon:
    """One quetzalcleatd with both roles, and the fakes of its endpoints."""

    def __init__(self, folder, prefix, descriptors, _):
        self.folder, self.ip = pathlib.Path(folder), f"{prefix}.1"
        self.descriptors = descriptors
        self.addresses = {"caller": (self.ip, 18101), "operator": (self.ip, 18201)}
        self.processes = {}

    def settings(self):
        inventory = self.folder / "inventory.toml"
        text = (ROOT / "examples/spennuvir.toml").read_text().replace("127.0.0.1", self.ip)
        inventory.write_text(text)
        (self.folder / "data").mkdir()
        values = {"cluster_name": "spennuvir", "host_name": "reykjavik-a-1",
                  "data_centre": "reykjavik-a", "region": "reykjavik",
                  "roles": ["entry", "control"], "caller_address": f"{self.ip}:18101",
                  "operator_address": f"{self.ip}:18201", "peer_address": f"{self.ip}:18301",
                  "peer_keys": ["crowd-test-peer-key"], "operator_key": OPERATOR_KEY,
                  "seed_inventory": str(inventory), "data_folder": str(self.folder / "data")}
        return "".join(f"{key} = {json.dumps(value)}\n" for key, value in values.items())

    async def launch(self, name, arguments, limit):
        def limit_descriptors():
            resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = await asyncio.create_subprocess_exec(
                str(PROGRAMS / name), *arguments, stdout=log, stderr=log,
                stdin=asyncio.subprocess.DEVNULL, preexec_fn=limit_descriptors)

    async def start(self):
        program, file = PROGRAMS / "quetzalcleatd", self.folder / "host.toml"
        settings = self.settings()
        file.write_text(f"{settings}memory_mb = {DAEMON_MEMORY_MB}\n")
        # Programs from before this setting refuse it; the bound is the same for them.
        if subprocess.run([program, "--check-config", "--config", file],
                          capture_output=True, check=False).returncode != 0:
            file.write_text(settings)
        await self.launch("quetzalcleat-fakes", ["--inventory", str(self.folder / "inventory.toml"),
                                                 "--platform-port", "0"], 4096)
        await self.launch("quetzalcleatd", ["--config", str(file), "--initialise-cluster"],
                          self.descriptors)
        self.watches = [Watch("quetzalcleatd", self.processes["quetzalcleatd"].pid,
                              DAEMON_MEMORY_MB, self.descriptors)]
        return True

    def ended(self):
        return [name for name, process in self.processes.items() if process.returncode is not None]

    async def stop(self):
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
                await process.wait()
