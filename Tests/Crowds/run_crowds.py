#!/usr/bin/env python3
"""Starts the project's own processes on loopback addresses, lets one crowd of uncontrolled callers at
a time act on them, and checks that each process lives, stays within the memory and descriptors that
its settings state, and answers an ordinary request afterwards. Times and shares are not checked.

Usage: Tests/Crowds/run_crowds.py [--only NAME] [--quick] [--programs DIR] [--list]
NAME may be a pattern, for example 'node.*.route'. Entries "test: crowds.NAME" of KNOWN-RED.txt are
passed over. The tests run one after another.
"""
import argparse
import asyncio
import fnmatch
import os
import pathlib
import re
import shutil
import signal
import sys
import tempfile
import time

import deployments
from crowds import ACTING_SECONDS, HOLDING_SECONDS, tests
from deployments import ROOT
from fakes import read_head

LIVENESS_SECONDS = 60  # Generous: only a process that never answers again reaches it.
START_SECONDS = 30
ATTEMPT_SECONDS = 10


def known_red():
    return set(re.findall(r"^test:\s*crowds\.(\S+)", (ROOT / "KNOWN-RED.txt").read_text(),
                          re.MULTILINE))


async def read_answer(reader):
    """Returns the status of a complete answer."""
    head = await read_head(reader)
    if head is None:
        return "closed"
    _, status, headers = head
    if headers.get("transfer-encoding") == "chunked":
        while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
            await reader.readexactly(size + 2)
    else:
        await reader.readexactly(int(headers.get("content-length", 0)))
    return status


async def ask(address, door):
    """Returns the status of one ordinary request, or how it failed."""
    try:
        reader, writer = await asyncio.open_connection(*address, limit=1 << 20)
        try:
            writer.write(door.head("Content-Length: 0\r\n\r\n"))
            return await asyncio.wait_for(read_answer(reader), ATTEMPT_SECONDS)
        finally:
            writer.transport.abort()
    except asyncio.TimeoutError:
        return "no answer"
    except (OSError, ValueError, asyncio.IncompleteReadError) as error:
        return type(error).__name__


async def is_answered(deployment, doors, seconds):
    """Whether each ordinary request is answered; a refused one is repeated."""
    last = "not asked"
    deadline = time.monotonic() + seconds
    waiting = list(doors)
    while waiting and time.monotonic() < deadline and not deployment.ended():
        door = waiting[0]
        last = await ask(deployment.addresses[door.address], door)
        if last == "200":
            waiting.pop(0)
        else:
            await asyncio.sleep(0.1)
    return None if not waiting else f"{waiting[0].request} is not answered: {last}"


async def act(test, number, address, writers, statuses):
    """One connection of the crowd. It stays open until the test ends."""
    try:
        # A small limit, so that what the caller does not read stays in the connection.
        reader, writer = await asyncio.open_connection(*address, limit=4096)
        writers.append(writer)
        writer.transport.set_write_buffer_limits(65536)
        await test.acts[number % len(test.acts)](reader, writer, test.door, test.size)
        if test.expected:
            statuses.append(await asyncio.wait_for(read_answer(reader), LIVENESS_SECONDS))
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
        if test.expected:
            statuses.append(type(error).__name__)


async def run_crowd(test, deployment, problems):
    writers, statuses = [], []
    address = deployment.addresses[test.door.address]
    crowd = [asyncio.ensure_future(act(test, number, address, writers, statuses))
             for number in range(test.connections)]
    await asyncio.wait(crowd, timeout=LIVENESS_SECONDS if test.expected else ACTING_SECONDS)
    await asyncio.sleep(HOLDING_SECONDS)
    # The connections of the crowd are still open here.
    if problem := await is_answered(deployment, test.ordinary, LIVENESS_SECONDS):
        problems.append(problem)
    if test.expected and set(statuses) != {test.expected}:
        problems.append(f"answered with {statuses} instead of {test.expected}")
    for task in crowd:
        task.cancel()
    await asyncio.gather(*crowd, return_exceptions=True)
    for writer in writers:
        writer.transport.abort()


async def run(test, number):
    folder = pathlib.Path(tempfile.mkdtemp(prefix="quetzalcleat-crowd-"))
    # Addresses of its own for each test, so that connections of an earlier one do not disturb it.
    prefix = f"127.90.{(os.getpid() + number) % 250 + 1}"
    deployment = test.deployment(folder, prefix, test.descriptors, test.more_routes)
    problems = []
    try:
        started = await deployment.start()
        problem = await is_answered(deployment, test.ordinary, START_SECONDS)
        if not started or problem:
            problems.append(f"not started: {problem}")
        else:
            await run_crowd(test, deployment, problems)
        ended = deployment.ended()
        for watch in deployment.watches:
            watch.sample()
            problems += watch.problems()
        problems += [f"{name} ended" for name in ended]
    finally:
        for watch in deployment.watches:
            watch.stopped.set()
            watch.join()
        await deployment.stop()
    figures = "; ".join(watch.figures() for watch in deployment.watches)
    shutil.rmtree(folder)
    return problems, figures


def main():
    parser = argparse.ArgumentParser(description=__doc__,
                                     formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--only", default="*", help="name or pattern of the tests to run")
    parser.add_argument("--quick", action="store_true", help="only the tests that run in CI")
    parser.add_argument("--programs", default=str(deployments.PROGRAMS), help="folder")
    parser.add_argument("--list", action="store_true", help="print the names and exit")
    options = parser.parse_args()
    # Also where they are ignored, as in the background of a shell; the processes are then ended.
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, signal.default_int_handler)
    deployments.PROGRAMS = pathlib.Path(options.programs).resolve()
    chosen = [test for test in tests() if fnmatch.fnmatchcase(test.name, options.only)
              and (test.quick or not options.quick)]
    if options.list:
        print("\n".join(test.name for test in chosen))
        return 0
    red = known_red()
    passed = failed = 0
    for number, test in enumerate(chosen):
        if test.name in red:
            print(f"known red, passed over: crowds.{test.name}", flush=True)
            continue
        begin = time.monotonic()
        problems, figures = asyncio.run(run(test, number))
        passed, failed = passed + (not problems), failed + bool(problems)
        print(f"{'FAILED' if problems else 'passed'} {test.name} ({figures}; "
              f"{time.monotonic() - begin:.0f} s)" + "".join(f"\n  {each}" for each in problems),
              flush=True)
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
