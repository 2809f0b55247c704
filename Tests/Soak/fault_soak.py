#!/usr/bin/env python3
"""Runs the real node processes on loopback addresses, injects faults, and checks what callers, the
operator and endpoints see. A seed fixes the schedule of faults, but not the timing of processes.

Usage: Tests/Soak/fault_soak.py [--program FILE] [--seeds 1,2,5-9] [--seconds S] [--jobs N]
                                [--entries N]
"""
import argparse
import asyncio
import itertools
import pathlib
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time

from callers import Callers, ExecutionRecord, Operator, Request, call
from checks import DRAIN_SECONDS, check_drain, check_lost, check_requests, \
    check_returned, check_waits
from fakes import Disturbances, Endpoint, EndpointList, Proxy
from fleet import GRACE_SECONDS, PORTS, RESTART_SECONDS, ZONES, Fleet

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
RECOVERY_SECONDS = 6.0  # contact-ms of the users' requirements, plus the time to start.
STOP_MARGIN_SECONDS = 2.0  # For a busy machine.
PRINTED_OF_EACH_KIND = 4


class Run:
    def __init__(self, options, seed, slot):
        self.options, self.seed = options, seed
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix=f"quetzalcleat-soak-{seed}-"))
        prefix = f"127.{40 + slot}.{seed % 200 + 1}"
        self.fleet = Fleet(options.program, self.folder, prefix, options.entries)
        self.record = ExecutionRecord()
        self.problems = self.record.problems
        self.operator = Operator(self.fleet.controls, self.problems)
        self.log = []
        self.returned = []  # Endpoints that started again under their id: lifetime and time.
        self.endpoints = [Endpoint(f"desk-{index}", "desk", f"{prefix}.{index + 101}", 9000,
                                   self.record) for index in range(3)]
        self.endpoints += [Endpoint(f"pool-{index}", "pool", f"{prefix}.{index + 111}", 9000,
                                    self.record) for index in range(4)]
        self.worker_proxies = {each.name: Proxy(each.host, 9001, (each.host, 9000))
                               for each in self.endpoints}
        self.entry_proxies = [Proxy(entry.ip, 9002, (entry.ip, PORTS["front"]))
                              for entry in self.fleet.entries]
        self.list_outages = Disturbances()  # Also those of the path to it by way of control hosts.

    def log_event(self, text):
        self.log.append(f"{time.monotonic() - self.started_at:7.3f} {text}")

    async def execute(self):
        self.started_at = time.monotonic()
        for each in self.endpoints:
            await each.start()
        for proxy in list(self.worker_proxies.values()) + self.entry_proxies:
            await proxy.start()
        host, port = self.fleet.list_address.split(":")
        self.platform = EndpointList(self.endpoints, self.worker_proxies, ZONES)
        await asyncio.start_server(self.platform.serve, host, int(port))
        await self.fleet.start()
        try:
            if not await self.operator.change(False):
                self.problems.append("START the first configuration was not accepted within 20 s")
                return
            await asyncio.sleep(1.5)
            end = time.monotonic() + self.options.seconds
            supervisor = asyncio.ensure_future(self.supervise())
            self.callers, self.callers_end = Callers(self, end), end
            await asyncio.gather(self.callers.execute(), self.operators(end), self.faults(end))
            await self.callers.finish()
            await self.recover()
            supervisor.cancel()
        finally:
            await self.fleet.stop()
        self.check()

    async def operators(self, end):
        rng = random.Random(f"operator {self.seed}")
        while time.monotonic() < end:
            await self.operator.change(rng.random() < 0.4)
            await self.operator.read(rng.choice(self.fleet.controls))
            await asyncio.sleep(rng.uniform(0.05, 1.0))

    async def faults(self, end):
        kinds = [self.kill, self.pause, self.terminate, self.terminate_busy_entry,
                 self.send_hangups, self.crash_endpoint, self.drain_endpoint, self.delay,
                 self.reset, self.silence, self.cut, self.wipe, self.change_burst,
                 self.leave_by_answers, self.refuse, self.grow_configuration, self.slow_list]
        pending = set()
        for number in itertools.count():
            if time.monotonic() > end:
                break
            # Numbers of its own for each fault, as the order in which they overlap varies.
            rng = random.Random(f"fault {self.seed} {number}")
            task = asyncio.ensure_future(rng.choice(kinds)(rng))
            pending.add(task)
            task.add_done_callback(pending.discard)
            # Short pauses, so that most faults begin while earlier ones last.
            await asyncio.sleep(rng.choice((0.05, 0.3, 0.8, 1.5)))
        await asyncio.gather(*pending)

    def choose_process(self, rng, processes):
        """Chooses a process without a fault in progress. Only one control host is faulty at a time:
        the deployment tolerates the loss of one, and a restarted one still counts as lost for some
        seconds."""
        now = time.monotonic()
        if any(each in self.fleet.controls for each in processes):
            if any(each.faulty_until > now for each in self.fleet.controls):
                processes = [each for each in processes if each in self.fleet.entries]
        free = [each for each in processes if each.faulty_until <= now and each.is_running()]
        return rng.choice(free) if free else None

    async def kill(self, rng):
        if process := self.choose_process(rng, self.fleet.processes):
            duration = rng.uniform(0.1, 2.0)
            process.mark_faulty(duration + RECOVERY_SECONDS)
            self.log_event(f"kill {process.name}")
            await process.kill()
            await asyncio.sleep(duration)
            process.write_settings(False, self.choose_seed_hosts(rng))
            await process.start()

    async def wipe(self, rng):
        if process := self.choose_process(rng, self.fleet.controls):
            process.mark_faulty(1 + RECOVERY_SECONDS)
            self.log_event(f"wipe {process.name}")
            await process.kill()
            process.wipe()
            process.write_settings(False, self.choose_seed_hosts(rng))
            await asyncio.sleep(0.3)
            await process.start()

    async def pause(self, rng):
        if process := self.choose_process(rng, self.fleet.processes):
            duration = rng.choice((0.3, 1.5, 4.0, 7.0))
            process.mark_faulty(duration + RECOVERY_SECONDS)
            self.log_event(f"pause {process.name} {duration}")
            process.paused = True
            await process.signal(signal.SIGSTOP)
            await asyncio.sleep(duration)
            await process.signal(signal.SIGCONT)
            process.paused = False

    async def terminate_busy_entry(self, rng):
        """Stops an entry host with streams in progress on connections that stay open."""
        if process := self.choose_process(rng, self.fleet.entries):
            process.mark_faulty(1 + GRACE_SECONDS + RECOVERY_SECONDS)
            self.callers.keep_stream_connections(self.fleet.entries.index(process), 6,
                                                 1 + GRACE_SECONDS)
            await asyncio.sleep(rng.uniform(0.2, 1.0))
            await self.terminate(rng, process)

    async def terminate(self, rng, process=None):
        if process := process or self.choose_process(rng, self.fleet.processes):
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
            process.write_settings(False, self.choose_seed_hosts(rng))
            await process.start()

    async def supervise(self):
        """Restarts processes that ended by themselves, as the platform does."""
        rng = random.Random(f"supervisor {self.seed}")
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
                process.write_settings(False, self.choose_seed_hosts(rng))
                await process.start()
            await asyncio.sleep(0.05)

    async def send_hangups(self, rng):
        for process in self.fleet.processes:
            if process.is_running():
                process.write_settings(False, self.choose_seed_hosts(rng))
                await process.signal(signal.SIGHUP)
        self.log_event("SIGHUP to all, with other seed hosts")

    def choose_seed_hosts(self, rng):
        """Addresses of all control hosts, or of two of them."""
        return rng.sample([each.ip for each in self.fleet.controls], rng.choice((2, 3)))

    def choose_endpoint(self, rng):
        free = [e for e in self.endpoints if e.state == "ready" and not e.says_leaving]
        return rng.choice(free) if free else None

    async def crash_endpoint(self, rng):
        if endpoint := self.choose_endpoint(rng):
            self.log_event(f"crash {endpoint.id}")
            await endpoint.crash()
            await asyncio.sleep(rng.uniform(0.2, 1.5))
            await endpoint.start()

    async def drain_endpoint(self, rng):
        if endpoint := self.choose_endpoint(rng):
            self.log_event(f"drain {endpoint.id}")
            endpoint.drain()
            await asyncio.sleep(DRAIN_SECONDS + 3)
            await self.start_again(rng, endpoint)

    async def leave_by_answers(self, rng):
        """An endpoint leaves and says so in its answers. The list shows it late, or not at all, or
        the entry hosts have no path to the list and to control hosts."""
        endpoint = self.choose_endpoint(rng)
        if endpoint is None:
            return
        endpoint.says_leaving = True
        isolated = rng.random() < 0.5 \
            and all(each.faulty_until <= time.monotonic() for each in self.fleet.controls)
        if isolated:
            self.log_event(f"leave {endpoint.id}, hosts are isolated")
            await self.isolate(DRAIN_SECONDS + 2)
        else:
            lag = rng.choice((0.8, 3.0, None))
            self.log_event(f"leave {endpoint.id}, list lags {lag}")
            await asyncio.sleep(lag or DRAIN_SECONDS)
            if lag:
                endpoint.drain()
            await asyncio.sleep(DRAIN_SECONDS + 1)
        await self.start_again(rng, endpoint)

    async def start_again(self, rng, endpoint):
        """Ends an endpoint and starts it again. If the list showed that it leaves, the start may
        have the same id."""
        keeps_id = endpoint.state == "draining" and rng.random() < 0.7
        await endpoint.crash()
        if keeps_id:
            await asyncio.sleep(rng.choice((0.1, 1.5, 4.0)))
        await endpoint.start(keeps_id)
        if keeps_id:
            self.log_event(f"start {endpoint.lifetime} under its former id")
            self.returned.append((endpoint, endpoint.lifetime, time.monotonic()))

    async def isolate(self, seconds):
        """Pauses all control hosts, and the list does not answer."""
        outage = self.list_outages.begin()
        self.platform.answers = False
        for control in self.fleet.controls:
            control.mark_faulty(seconds + RECOVERY_SECONDS)
            control.paused = True
            await control.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        for control in self.fleet.controls:
            await control.signal(signal.SIGCONT)
            control.paused = False
        self.platform.answers = True
        outage[1] = time.monotonic() + RECOVERY_SECONDS

    async def refuse(self, rng):
        """An endpoint refuses with Retry-After what is beyond a few requests, in a burst."""
        if endpoint := self.choose_endpoint(rng):
            endpoint.accepted_while_refusing = rng.choice((0, 1, 3))
            endpoint.longest_wait = rng.choice((0.8, 1.5, 3.0))
            self.log_event(f"refuse {endpoint.id} up to {endpoint.longest_wait} s")
            endpoint.refuses = True
            for _ in range(rng.randint(2, 5)):
                self.callers.send_burst(15)
                await asyncio.sleep(rng.uniform(0.3, 1.2))
            endpoint.refuses = False

    def choose_proxy(self, rng):
        """Chooses a proxy; also returns the name of the entry host or endpoint behind it."""
        index = rng.randrange(len(self.entry_proxies) + len(self.endpoints))
        if index < len(self.entry_proxies):
            return self.entry_proxies[index], self.fleet.entries[index].name
        name = self.endpoints[index - len(self.entry_proxies)].name
        return self.worker_proxies[name], name

    async def delay(self, rng):
        proxy, name = self.choose_proxy(rng)
        span = proxy.disturbances.begin()
        proxy.delay = rng.choice((0.02, 0.2, 0.7))
        self.log_event(f"delay {name} {proxy.delay}")
        await asyncio.sleep(rng.uniform(0.5, 2))
        proxy.delay = 0.0
        span[1] = time.monotonic() + 0.7  # What is delayed arrives.

    async def reset(self, rng):
        proxy, name = self.choose_proxy(rng)
        self.log_event(f"reset {name}")
        proxy.reset()

    async def silence(self, rng):
        proxy, name = self.choose_proxy(rng)
        self.log_event(f"silence {name}")
        proxy.silence()

    async def cut(self, rng):
        proxy, name = self.choose_proxy(rng)
        directions = rng.choice((("forward",), ("backward",), ("forward", "backward")))
        self.log_event(f"cut {name} {'and '.join(directions)}")
        span = proxy.disturbances.begin()
        for direction in directions:
            proxy.cut[direction] = True
        await asyncio.sleep(rng.uniform(0.3, 2.5))
        for direction in directions:
            proxy.cut[direction] = False
        span[1] = time.monotonic()

    async def change_burst(self, rng):
        self.log_event("burst of configuration changes")
        for _ in range(6):
            await self.operator.change(False)

    async def grow_configuration(self, rng):
        """The configuration grows by thousands of routes, changes, and shrinks again."""
        self.operator.unused_routes = rng.choice((1000, 3000))
        self.log_event(f"configuration grows by {self.operator.unused_routes} routes")
        for _ in range(3):
            await self.operator.change(rng.random() < 0.4)
        self.operator.unused_routes = 0
        await self.operator.change(False)

    async def slow_list(self, rng):
        """Endpoints leave while the list answers late."""
        outage = self.list_outages.begin()
        self.platform.delay = rng.choice((0.3, 1.2, 2.0))  # The hosts wait 1.5 s for a page.
        self.log_event(f"list answers after {self.platform.delay} s")
        await asyncio.gather(self.drain_endpoint(rng), asyncio.sleep(rng.uniform(1, 4)))
        self.platform.delay = 0.0
        outage[1] = time.monotonic() + RECOVERY_SECONDS

    async def recover(self):
        """Waits after the faults until each control host returns the newest acknowledged
        configuration and a request is answered; reports a problem if that takes too long."""
        deadline = time.monotonic() + 12
        waiting = list(self.fleet.controls)
        while time.monotonic() < deadline and waiting:
            waiting = [each for each in waiting
                       if (await self.operator.read(each) or 0) < self.operator.acknowledged]
            await asyncio.sleep(0.2)
        for control in waiting:
            self.problems.append(f"RECOVER {control.name} did not return version "
                                 f"{self.operator.acknowledged} within 12 s")
        status = "none"
        for attempt in range(100):
            if time.monotonic() > deadline + 5 or status == "200":
                break
            request = Request(f"{self.seed:x}-end-{attempt}", "lookup", "stable",
                              self.fleet.entries[0], time.monotonic(), deadline_ms=3000)
            connection = await call(self.record, request, self.entry_proxies[0].address)
            if connection:
                connection.close()
            status = request.status
            await asyncio.sleep(0.2)
        if status != "200":
            self.problems.append(f"RECOVER no answer after the faults: {status}")
        await asyncio.sleep(0.5)

    def check(self):
        entry_proxies = dict(zip(self.fleet.entries, self.entry_proxies))
        self.problems += check_requests(self.record, self.operator.removed_keys)
        self.problems += check_drain(self.record, self.list_outages)
        self.problems += check_waits(self.record, self.worker_proxies)
        self.problems += check_returned(self.record, self.returned, self.callers_end,
                                        self.worker_proxies, self.list_outages)
        self.problems += check_lost(self.record, entry_proxies, self.worker_proxies)


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
    kinds = {}
    for problem in run.problems:
        kinds.setdefault(problem.split()[0], []).append(problem)
    for kind, problems in kinds.items():
        for problem in problems[:PRINTED_OF_EACH_KIND]:
            print(f"  {problem}")
        if len(problems) > PRINTED_OF_EACH_KIND:
            print(f"  {kind}: {len(problems)} in all")
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
