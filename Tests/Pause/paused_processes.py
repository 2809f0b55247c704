#!/usr/bin/env python3
"""Stops real processes with SIGSTOP until what they were permitted has run out, and continues them.

An entry process and the leading control process are stopped. While they are stopped another leader
is elected, a key is removed, and requests arrive at their sockets. Both are continued once the key
may no longer be accepted. Then no endpoint may see a request with that key, no caller with it may
get an answer, and the former leader may not return the configuration that it read before.

The clocks of the kernel run on while a process is stopped. So this cannot show whether a time limit
counts suspended time; the tests of the modules do, with a clock of their own.
"""
import argparse
import asyncio
import json
import os
import pathlib
import shutil
import signal
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "Tests/Soak"))

from callers import Connection, ExecutionRecord, Operator, Request, exchange  # noqa: E402
from fakes import Endpoint, EndpointList, read_head  # noqa: E402
from fleet import PORTS, REVOKE_SECONDS, ZONES, Fleet  # noqa: E402

CONNECTIONS = 6  # Of each kind; half of them are opened before the process is stopped.
# Callers need more time than the pause; only a process that never answers reaches it.
ANSWER_SECONDS = 20
DEADLINE_MS = 4000
START_SECONDS = 15
MARGIN_SECONDS = 0.3  # Between the end of the permission and SIGCONT.


class Direct:
    """Stands for the proxy of an endpoint that has none."""

    def __init__(self, endpoint):
        self.address = f"{endpoint.host}:{endpoint.port}"


class Scenario:
    def __init__(self, program):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="quetzalcleat-pause-"))
        # The soak test uses 127.40.0.0 and above.
        prefix = f"127.39.{os.getpid() % 200 + 1}"
        self.fleet = Fleet(program, self.folder, prefix, 2)
        self.record = ExecutionRecord()
        self.problems = self.record.problems
        self.operator = Operator(self.fleet.controls, self.problems)
        self.endpoints = [Endpoint(f"desk-{index}", "desk", f"{prefix}.{index + 101}", 9000,
                                   self.record) for index in range(2)]
        self.requests = 0

    async def run(self):
        for endpoint in self.endpoints:
            await endpoint.start()
        listing = EndpointList(self.endpoints, {each.name: Direct(each) for each in self.endpoints},
                               ZONES)
        host, port = self.fleet.list_address.split(":")
        await asyncio.start_server(listing.serve, host, int(port))
        await self.fleet.start()
        if not await self.operator.change(False):
            return self.problems.append("START no configuration was accepted")
        removed = [key for key in self.operator.keys if key != "stable"][0]
        entry = self.fleet.entries[0]
        for key in ("stable", removed):
            if not await self.is_served(entry, key):
                return self.problems.append(f"START {entry.name} does not serve {key}")
        leader = await self.find_leader()
        if leader is None:
            return self.problems.append("START there is no leader")
        await self.pause_and_continue(entry, leader, removed)

    async def pause_and_continue(self, entry, leader, removed):
        fronts = [await self.connect(entry.ip, "front") for _ in range(CONNECTIONS)]
        admin = [await self.connect(leader.ip, "control") for _ in range(CONNECTIONS // 2)]
        for process in (entry, leader):
            process.paused = True
            await process.signal(signal.SIGSTOP)
        if not await self.operator.change(True):
            return self.problems.append("CONFIG no majority without the stopped leader")
        ended_at = self.operator.removed_keys[removed] + REVOKE_SECONDS
        await asyncio.sleep(max(0.0, ended_at - time.monotonic()) + MARGIN_SECONDS)
        # Accepted by the kernel for the stopped process.
        fronts += [await self.connect(entry.ip, "front") for _ in range(CONNECTIONS)]
        admin += [await self.connect(leader.ip, "control") for _ in range(CONNECTIONS // 2)]
        refused, served = [], []
        work = []
        for index, connection in enumerate(fronts):
            request = self.new_request("order" if index % 4 < 2 else "lookup",
                                       removed if index % 2 == 0 else "stable", entry)
            (refused if index % 2 == 0 else served).append(request)
            work.append(asyncio.create_task(self.call(request, connection)))
        floor = self.operator.acknowledged
        reads = [asyncio.create_task(self.read_configuration(leader, each)) for each in admin]
        await asyncio.sleep(0.1)  # The requests are in the sockets of the stopped processes.
        for process in (entry, leader):
            await process.signal(signal.SIGCONT)
            process.paused = False
        await asyncio.gather(*work)
        versions = await asyncio.gather(*reads)
        self.check(refused, served, versions, floor)
        if not await self.is_served(entry, "stable"):
            self.problems.append(f"RECOVERY {entry.name} does not serve after its pause")
        self.summary = (f"{len(refused)} requests with the removed key: "
                        f"{sorted(each.status for each in refused)}, "
                        f"{len(served)} with the other: {sorted(each.status for each in served)}, "
                        f"configuration read at the former leader: {versions}, newest {floor}")

    def check(self, refused, served, versions, floor):
        for request in refused:
            if self.record.runs(request):
                self.problems.append(f"REVOKED {request.id} with a removed key ran")
            if request.status[0] == "2":
                self.problems.append(f"REVOKED {request.id} got {request.status}")
        for request in refused + served:
            if request.status in ("none", "timeout"):
                self.problems.append(f"ANSWER {request.id} has none: {request.status}")
            if request.problem:
                self.problems.append(request.problem)
        for request in served:
            if request.kind == "order" and len(self.record.runs(request)) > 1:
                self.problems.append(f"ONCE {request.id} ran more than once")
        for version in versions:
            if version is not None and version < floor:
                self.problems.append(f"CONFIG the former leader returned {version} after {floor}")

    def new_request(self, kind, key, entry):
        self.requests += 1
        request = Request(f"pause-{self.requests}", kind, key, entry, time.monotonic(),
                          deadline_ms=DEADLINE_MS)
        self.record.requests[request.id] = request
        return request

    async def connect(self, ip, port):
        return await asyncio.wait_for(asyncio.open_connection(ip, PORTS[port]), ANSWER_SECONDS)

    async def call(self, request, connection):
        connection = Connection(*connection)
        try:
            await asyncio.wait_for(exchange(self.record, request, connection), ANSWER_SECONDS)
        except asyncio.TimeoutError:
            request.status = "timeout"
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            request.status = "cut"
        finally:
            connection.close()

    async def is_served(self, entry, key):
        end = time.monotonic() + START_SECONDS
        while time.monotonic() < end:
            try:
                request = self.new_request("lookup", key, entry)
                await self.call(request, await self.connect(entry.ip, "front"))
            except (OSError, asyncio.TimeoutError):
                pass
            if request.status == "200":
                return True
            await asyncio.sleep(0.1)
        return False

    async def find_leader(self):
        end = time.monotonic() + START_SECONDS
        while time.monotonic() < end:
            for control in self.fleet.controls:
                connection = await self.connect(control.ip, "control")
                if await self.read_configuration(control, connection) is not None:
                    return control
            await asyncio.sleep(0.1)
        return None

    async def read_configuration(self, control, connection):
        """The version that this process returns itself; None for any other answer."""
        reader, writer = connection
        try:
            writer.write(f"GET /config HTTP/1.1\r\nHost: {control.ip}\r\n"
                         "Connection: close\r\n\r\n".encode())
            head = await asyncio.wait_for(read_head(reader), ANSWER_SECONDS)
            if head is None or head[1] != "200":
                return None
            content = await asyncio.wait_for(
                reader.readexactly(int(head[2].get("content-length", 0))), ANSWER_SECONDS)
            return json.loads(content or b"{}").get("version", 0)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return None
        finally:
            writer.transport.abort()


async def play(program):
    scenario = Scenario(program)
    scenario.summary = "not played to its end"
    try:
        await scenario.run()
    finally:
        await scenario.fleet.stop()
    print(scenario.summary)
    for problem in scenario.problems:
        print(problem)
    if scenario.problems:
        print(f"logs: {scenario.folder}")
        return 1
    shutil.rmtree(scenario.folder)
    return 0


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n\n", maxsplit=1)[0])
    parser.add_argument("--program", default=str(ROOT / "build/bin/quetzalcleat-node"))
    sys.exit(asyncio.run(play(parser.parse_args().program)))


if __name__ == "__main__":
    main()
