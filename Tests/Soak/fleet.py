"""The real processes of one soak run: their settings files, start, signals and end."""
import asyncio
import json
import os
import pathlib
import signal
import time

from fakes import Disturbances

PORTS = {"peer": 7340, "front": 8227, "ready": 8220, "control": 8229, "list": 8223}
ZONES = ("one-a", "two-a", "three-a")
GRACE_SECONDS = 8
REVOKE_SECONDS = 5
LOADING_SECONDS = 0.05  # Loading takes up to 20 ms on a busy machine.
RESTART_SECONDS = 0.3  # Delay after which the platform restarts a process that ended.


class Process:
    """A node process with its address; a restart keeps the object."""

    def __init__(self, fleet, name, role, ip, zone):
        self.fleet, self.name, self.role, self.ip, self.zone = fleet, name, role, ip, zone
        self.folder = fleet.folder / name
        self.data_folder = self.folder / "data"
        self.child = None
        self.faulty_until = 0.0  # Time limits are not checked for it before this time.
        self.faults = Disturbances()  # Spans in which time limits are not checked for it.
        self.interruptions = Disturbances()  # Starts, kills and pauses.
        self.stops = []  # Times of SIGTERM.
        self.paused = False
        self.is_ending = False  # The soak test is stopping it.
        self.started_at = 0.0
        self.hangup_sent_at = 0.0

    def write_settings(self, first_start, seed_hosts):
        self.folder.mkdir(parents=True, exist_ok=True)
        control = self.role == "control"
        control_port = PORTS["control"]
        listen = {"control": f"{self.ip}:{PORTS['control']}"} if control else {
            "front": f"{self.ip}:{PORTS['front']}", "ready": f"{self.ip}:{PORTS['ready']}"}
        lines = [f'node-name = "{self.name}"', f'ip = "{self.ip}"', f'zone = "{self.zone}"',
                 f'region = "{self.zone[:-2]}"', f"port-range = [{PORTS['peer']}, 7355]",
                 f"seeds = {json.dumps([f'{ip}:{control_port}' for ip in seed_hosts])}",
                 f"bootstrap = {'true' if first_start else 'false'}"]
        if control:
            lines.append(f'data-dir = "{self.data_folder}"')
            self.data_folder.mkdir(exist_ok=True)
        lines += ["[zones]"] + [f'{zone} = "{zone[:-2]}"' for zone in ZONES]
        lines += ["[listen]"] + [f'{key} = "{value}"' for key, value in listen.items()]
        lines += ["[limits]", "max-fds = 4100", "[fault-tolerance]", "machines = 1",
                  "[contract-params]", f"grace-s = {GRACE_SECONDS}",
                  f"revoke-ms = {REVOKE_SECONDS * 1000}", "retry-ratio = 0.2",
                  "retry-window-s = 10", "retry-slack = 58", "[cloud-api]",
                  f'address = "{self.fleet.list_address}"', "rate-per-s = 47.0",
                  "max-lag-ms = 800"]
        (self.folder / "node.toml").write_text("\n".join(lines) + "\n")

    def is_running(self):
        return self.child is not None and self.child.returncode is None

    async def start(self):
        with open(self.folder / "log", "ab") as log:
            self.child = await asyncio.create_subprocess_exec(
                str(self.fleet.program), "--config", str(self.folder / "node.toml"),
                stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL)
        self.paused = self.is_ending = False
        self.started_at = time.monotonic()
        self.interruptions.note()

    async def signal(self, number):
        if number in (signal.SIGSTOP, signal.SIGCONT):
            self.interruptions.note()
        if number == signal.SIGTERM:
            self.stops.append(time.monotonic())
        if number == signal.SIGHUP:
            self.hangup_sent_at = time.monotonic()
        if self.is_running():
            self.child.send_signal(number)

    async def kill(self):
        self.is_ending = True
        self.interruptions.note()
        if self.is_running():
            self.child.kill()
            await self.child.wait()

    def ended_by_itself(self):
        return not self.is_ending and self.child is not None and self.child.returncode is not None

    def ended_while_loading(self):
        """SIGHUP ends a process whose program is still loading and cannot ignore the signal yet."""
        return self.child.returncode == -signal.SIGHUP \
            and self.hangup_sent_at - self.started_at < LOADING_SECONDS

    def wipe(self):
        for file in self.data_folder.iterdir():
            file.unlink()

    def mark_faulty(self, seconds):
        self.faulty_until = max(self.faulty_until, time.monotonic() + seconds)
        self.faults.note(seconds)


class Fleet:
    def __init__(self, program, folder, prefix, entries):
        self.program, self.folder = pathlib.Path(program), pathlib.Path(folder)
        self.prefix = prefix
        self.list_address = f"{prefix}.200:{PORTS['list']}"
        self.controls = [Process(self, f"control-{index + 1}", "control", f"{prefix}.{index + 1}",
                                 ZONES[index]) for index in range(3)]
        self.entries = [Process(self, f"entry-{index + 1}", "entry", f"{prefix}.{index + 11}",
                                ZONES[index % 3]) for index in range(entries)]

    @property
    def processes(self):
        return self.controls + self.entries

    async def start(self):
        seed_hosts = [control.ip for control in self.controls]
        for process in self.processes:
            process.write_settings(True, seed_hosts)
            await process.start()

    async def stop(self):
        """Kills the processes that this run started, by process id."""
        for process in self.processes:
            if process.is_running():
                if process.paused:
                    os.kill(process.child.pid, signal.SIGCONT)
                process.child.kill()
                await process.child.wait()
