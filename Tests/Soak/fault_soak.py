#!/usr/bin/env python3
"""Runs the real node processes on loopback addresses, injects faults, and checks what callers, the
operator and endpoints see. A seed fixes the schedule of faults, but not the timing of processes.

Usage: Tests/Soak/fault_soak.py [--program FILE] [--seeds 1,2,5-9] [--seconds S] [--jobs N]
                                [--entries N]
"""
import argparse
import asyncio
import pathlib
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time

from callers import NOT_RUN_STATUSES, ExecutionRecord, Operator, Request, call
from fakes import Endpoint, EndpointList, Proxy
from fleet import GRACE_SECONDS, PORTS, RESTART_SECONDS, REVOKE_SECONDS, Fleet

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
RECOVERY_SECONDS = 6.0  # contact-ms of the users' requirements, plus the time to start.
DRAIN_SECONDS = 4.0 + 1.0  # drain-ms, plus the clock lag of the fakes.
STOP_MARGIN_SECONDS = 2.0  # For a busy machine.


class Run:
    def __init__(self, options, seed, slot):
        self.options, self.seed = options, seed
        self.random = random.Random(seed)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix=f"quetzalcleat-soak-{seed}-"))
        prefix = f"127.{40 + slot}.{seed % 200 + 1}"
        self.fleet = Fleet(options.program, self.folder, prefix, options.entries)
        self.record = ExecutionRecord()
        self.problems = self.record.problems
        self.operator = Operator(self.fleet.controls, self.problems)
        self.log = []
        self.endpoints = [Endpoint(f"desk-{index}", "desk", f"{prefix}.{index + 101}", 9000,
                                   self.record) for index in range(3)]
        self.endpoints += [Endpoint(f"pool-{index}", "pool", f"{prefix}.{index + 111}", 9000,
                                    self.record) for index in range(4)]
        self.worker_proxies = {each.name: Proxy(each.host, 9001, (each.host, 9000))
                               for each in self.endpoints}
        self.entry_proxies = [Proxy(entry.ip, 9002, (entry.ip, PORTS["front"]))
                              for entry in self.fleet.entries]

    def log_event(self, text):
        self.log.append(f"{time.monotonic() - self.started_at:7.3f} {text}")

    async def execute(self):
        self.started_at = time.monotonic()
        for each in self.endpoints:
            await each.start()
        for proxy in list(self.worker_proxies.values()) + self.entry_proxies:
            await proxy.start()
        host, port = self.fleet.list_address.split(":")
        platform = EndpointList(self.endpoints, self.worker_proxies, ("one-a", "two-a", "three-a"))
        await asyncio.start_server(platform.serve, host, int(port))
        await self.fleet.start()
        try:
            if not await self.operator.change(False):
                self.problems.append("START the first configuration was not accepted within 20 s")
                return
            await asyncio.sleep(1.5)
            end = time.monotonic() + self.options.seconds
            supervisor = asyncio.ensure_future(self.supervise())
            await asyncio.gather(self.callers(end), self.operators(end), self.faults(end))
            await self.recover()
            supervisor.cancel()
        finally:
            await self.fleet.stop()
        self.check()

    async def callers(self, end):
        pending, count = set(), 0
        while time.monotonic() < end:
            count += 1
            request_id = f"{self.seed:x}-{count:x}"
            index = self.random.randrange(len(self.fleet.entries))
            old = list(self.operator.removed_keys)
            key = self.random.choice(old) if old and self.random.random() < 0.1 else \
                self.random.choice(self.operator.keys)
            request = Request(request_id, self.random.choice(("order", "lookup", "stream", "once")),
                              key, self.fleet.entries[index], time.monotonic())
            self.record.requests[request_id] = request
            task = asyncio.ensure_future(
                call(request, self.entry_proxies[index].address, 4000))
            pending.add(task)
            task.add_done_callback(pending.discard)
            await asyncio.sleep(0.015)
        await asyncio.gather(*pending)

    async def operators(self, end):
        while time.monotonic() < end:
            await self.operator.change(self.random.random() < 0.4)
            await self.operator.read(self.random.choice(self.fleet.controls))
            await asyncio.sleep(self.random.uniform(0.05, 1.0))

    async def faults(self, end):
        kinds = [self.kill, self.pause, self.terminate, self.send_hangups, self.crash_endpoint,
                 self.drain_endpoint, self.delay, self.reset, self.silence, self.cut,
                 self.wipe, self.change_burst]
        pending = set()
        while time.monotonic() < end:
            kind = self.random.choice(kinds)
            task = asyncio.ensure_future(kind())
            pending.add(task)
            task.add_done_callback(pending.discard)
            # Short pauses, so that most faults begin while earlier ones last.
            await asyncio.sleep(self.random.choice((0.05, 0.3, 0.8, 1.5)))
        await asyncio.gather(*pending)

    def choose_process(self, processes):
        """Chooses a process without a fault in progress. Only one control host is faulty at a time:
        the deployment tolerates the loss of one, and a restarted one still counts as lost for some
        seconds."""
        now = time.monotonic()
        if any(each in self.fleet.controls for each in processes):
            if any(each.faulty_until > now for each in self.fleet.controls):
                processes = [each for each in processes if each in self.fleet.entries]
        free = [each for each in processes if each.faulty_until <= now and each.is_running()]
        return self.random.choice(free) if free else None

    async def kill(self):
        if process := self.choose_process(self.fleet.processes):
            duration = self.random.uniform(0.1, 2.0)
            process.mark_faulty(duration + RECOVERY_SECONDS)
            self.log_event(f"kill {process.name}")
            await process.kill()
            await asyncio.sleep(duration)
            process.write_settings(False, self.choose_seed_hosts())
            await process.start()

    async def wipe(self):
        if process := self.choose_process(self.fleet.controls):
            process.mark_faulty(1 + RECOVERY_SECONDS)
            self.log_event(f"wipe {process.name}")
            await process.kill()
            process.wipe()
            process.write_settings(False, self.choose_seed_hosts())
            await asyncio.sleep(0.3)
            await process.start()

    async def pause(self):
        if process := self.choose_process(self.fleet.processes):
            duration = self.random.choice((0.3, 1.5, 4.0, 7.0))
            process.mark_faulty(duration + RECOVERY_SECONDS)
            self.log_event(f"pause {process.name} {duration}")
            process.paused = True
            await process.signal(signal.SIGSTOP)
            await asyncio.sleep(duration)
            await process.signal(signal.SIGCONT)
            process.paused = False

    async def terminate(self):
        if process := self.choose_process(self.fleet.processes):
            process.mark_faulty(GRACE_SECONDS + RECOVERY_SECONDS)
            process.is_ending = True
            self.log_event(f"terminate {process.name}")
            await process.signal(signal.SIGTERM)
            try:
                code = await asyncio.wait_for(process.child.wait(),
                                              GRACE_SECONDS + STOP_MARGIN_SECONDS)
            except asyncio.TimeoutError:
                self.problems.append(f"STOP {process.name} still ran after the grace time")
                await process.kill()
                code = 0
            if code != 0:
                self.problems.append(f"STOP {process.name} ended with {code}")
            process.write_settings(False, self.choose_seed_hosts())
            await process.start()

    async def supervise(self):
        """Restarts processes that ended by themselves, as the platform does."""
        while True:
            for process in self.fleet.processes:
                if not process.ended_by_itself():
                    continue
                code = process.child.returncode
                self.log_event(f"{process.name} ended by itself with {code}")
                if not process.ended_while_loading():
                    self.problems.append(f"EXIT {process.name} ended by itself with {code}")
                process.is_ending = True
                process.mark_faulty(RECOVERY_SECONDS)
                await asyncio.sleep(RESTART_SECONDS)
                process.write_settings(False, self.choose_seed_hosts())
                await process.start()
            await asyncio.sleep(0.05)

    async def send_hangups(self):
        for process in self.fleet.processes:
            if process.is_running():
                process.write_settings(False, self.choose_seed_hosts())
                await process.signal(signal.SIGHUP)
        self.log_event("SIGHUP to all, with other seed hosts")

    def choose_seed_hosts(self):
        """Addresses of all control hosts, or of two of them."""
        return self.random.sample([each.ip for each in self.fleet.controls],
                                  self.random.choice((2, 3)))

    async def crash_endpoint(self):
        endpoint = self.random.choice([e for e in self.endpoints if e.state == "ready"] or [None])
        if endpoint:
            self.log_event(f"crash {endpoint.id}")
            await endpoint.crash()
            await asyncio.sleep(self.random.uniform(0.2, 1.5))
            await endpoint.start()

    async def drain_endpoint(self):
        endpoint = self.random.choice([e for e in self.endpoints if e.state == "ready"] or [None])
        if endpoint:
            self.log_event(f"drain {endpoint.id}")
            endpoint.drain()
            await asyncio.sleep(DRAIN_SECONDS + 2)
            if endpoint.state == "draining":
                await endpoint.crash()
                await endpoint.start()

    def choose_proxy(self):
        """Chooses a proxy; also returns the name of the entry host or endpoint behind it."""
        index = self.random.randrange(len(self.entry_proxies) + len(self.endpoints))
        if index < len(self.entry_proxies):
            return self.entry_proxies[index], self.fleet.entries[index].name
        name = self.endpoints[index - len(self.entry_proxies)].name
        return self.worker_proxies[name], name

    async def delay(self):
        proxy, name = self.choose_proxy()
        proxy.delay = self.random.choice((0.02, 0.2, 0.7))
        self.log_event(f"delay {name} {proxy.delay}")
        await asyncio.sleep(self.random.uniform(0.5, 2))
        proxy.delay = 0.0

    async def reset(self):
        proxy, name = self.choose_proxy()
        self.log_event(f"reset {name}")
        proxy.reset()

    async def silence(self):
        proxy, name = self.choose_proxy()
        self.log_event(f"silence {name}")
        proxy.silence()

    async def cut(self):
        proxy, name = self.choose_proxy()
        directions = self.random.choice((("forward",), ("backward",), ("forward", "backward")))
        self.log_event(f"cut {name} {'and '.join(directions)}")
        for direction in directions:
            proxy.cut[direction] = True
        await asyncio.sleep(self.random.uniform(0.3, 2.5))
        for direction in directions:
            proxy.cut[direction] = False

    async def change_burst(self):
        self.log_event("burst of configuration changes")
        for _ in range(6):
            await self.operator.change(False)

    async def recover(self):
        """Waits after the faults until a control host returns the configuration and a request is
        answered; reports a problem if that takes too long."""
        deadline = time.monotonic() + 12
        version = None
        while time.monotonic() < deadline and version is None:
            for control in self.fleet.controls:
                version = version or await self.operator.read(control)
            await asyncio.sleep(0.2)
        if version is None:
            self.problems.append("RECOVER no control host returned the configuration within 12 s")
        request = Request(f"{self.seed:x}-end", "lookup", "stable", None, time.monotonic())
        self.record.requests[request.id] = request
        while time.monotonic() < deadline + 5 and request.status != "200":
            await call(request, self.entry_proxies[0].address, 3000)
            await asyncio.sleep(0.2)
        if request.status != "200":
            self.problems.append(f"RECOVER no answer after the faults: {request.status}")
        await asyncio.sleep(0.5)

    def check(self):
        runs = self.record.runs
        for request in self.record.requests.values():
            executions = runs.get(request.id, [])
            if request.problem:
                self.problems.append(request.problem)
            if request.kind in ("order", "once") and len(executions) > 1:
                self.problems.append(f"TWICE {request.id} {[run[2] for run in executions]}")
            if request.kind in ("order", "once") and executions \
                    and request.status in NOT_RUN_STATUSES:
                self.problems.append(f"REFUSED {request.id} {request.status} ran at "
                                     f"{executions[0][2]}")
            if request.status in ("401", "404") and request.key == "stable":
                self.problems.append(f"DENIED {request.id} {request.status}")
            removed = self.operator.removed_keys.get(request.key)
            if removed and executions and request.sent_at > removed + REVOKE_SECONDS:
                self.problems.append(f"REVOKED {request.id} ran {request.sent_at - removed:.1f} s "
                                     f"after its key {request.key} was removed")
            for at, endpoint, incarnation, _ in executions:
                entry_is_faultless = request.entry is None \
                    or request.entry.faulty_until < request.sent_at
                is_late = endpoint.draining_since and endpoint.id == incarnation \
                    and at > endpoint.draining_since + DRAIN_SECONDS
                if is_late and entry_is_faultless:
                    self.problems.append(f"DRAIN {request.id} reached {incarnation}")


def seeds_of(text):
    for part in text.split(","):
        first, _, last = part.partition("-")
        yield from range(int(first), int(last or first) + 1)


def run_seed(options, seed):
    run = Run(options, seed, options.slot)
    asyncio.run(run.execute())
    served = sum(1 for request in run.record.requests.values() if request.status == "200")
    if served * 5 < len(run.record.requests):
        run.problems.append(f"SERVED only {served} of {len(run.record.requests)}")
    verdict = "failed" if run.problems else "passed"
    print(f"seed {seed}: {verdict}, {len(run.record.requests)} requests, {served} served, "
          f"{len(run.log)} faults, version {run.operator.acknowledged}")
    for problem in run.problems[:10]:
        print(f"  {problem}")
    if run.problems:
        (run.folder / "schedule").write_text("\n".join(run.log) + "\n")
        print(f"  logs and schedule: {run.folder}")
    else:
        shutil.rmtree(run.folder)
    return 1 if run.problems else 0


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n\n")[0])
    parser.add_argument("--program", default=str(ROOT / "build/bin/quetzalcleat-node"))
    parser.add_argument("--seeds", default="1")
    parser.add_argument("--seconds", type=float, default=12)
    parser.add_argument("--entries", type=int, default=4)
    parser.add_argument("--jobs", type=int, default=1)
    parser.add_argument("--slot", type=int, default=0, help=argparse.SUPPRESS)
    options = parser.parse_args()
    seeds = list(seeds_of(options.seeds))
    if len(seeds) == 1:
        return run_seed(options, seeds[0])
    running, failed = {}, 0
    while seeds or running:
        while seeds and len(running) < options.jobs:
            slot = next(number for number in range(options.jobs) if number not in running)
            command = [sys.executable, __file__, "--program", options.program, "--seeds",
                       str(seeds.pop(0)), "--seconds", str(options.seconds), "--entries",
                       str(options.entries), "--slot", str(slot)]
            running[slot] = subprocess.Popen(command)
        for slot, child in list(running.items()):
            if child.poll() is not None:
                failed += child.returncode != 0
                del running[slot]
        time.sleep(0.05)
    print(f"{len(list(seeds_of(options.seeds))) - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
