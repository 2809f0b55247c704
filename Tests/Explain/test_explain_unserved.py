#!/usr/bin/env python3
"""Tests Utilities/explain-unserved with edge.log, which was written by hand: at least one request of
each cause. Prints the lines of GoogleTest that Meta/run-tests counts."""
import pathlib
import subprocess
import sys
import time
import unittest

HERE = pathlib.Path(__file__).resolve().parent
SCRIPT = HERE.parents[1] / "Utilities/explain-unserved"


def explain(*arguments, text=""):
    return subprocess.run([sys.executable, str(SCRIPT), *map(str, arguments)], input=text,
                          capture_output=True, text=True, timeout=60, check=False)


def table(output):
    """The rows by route and cause: unserved, of, repeat, attempts."""
    rows = {}
    for line in output.splitlines()[1:]:
        if line[:20].strip() and line[21:33].strip() and line[34:42].strip().isdigit():
            counts = line[33:].split()
            rows[line[:20].strip(), line[21:33].strip()] = (*map(int, counts[:3]), counts[3:])
    return rows


class ExplainUnserved(unittest.TestCase):
    # Guards against a cause that is counted as another one, or not at all.
    def test_each_request_counts_once_by_the_cause_of_its_last_arrival(self):
        run = explain(HERE / "edge.log")
        self.assertEqual(run.returncode, 0, run.stderr)
        self.assertEqual(table(run.stdout), {
            ("look", "own failure"): (1, 3, 1, ["2:1"]),
            ("book", "refused"): (1, 7, 1, ["1:1"]),
            ("book", "own failure"): (2, 7, 0, ["1:2"]),
            ("book", "lost answer"): (1, 7, 0, ["1:1"]),
            ("book", "unreachable"): (1, 7, 1, ["0:1"]),
            ("book", "out of time"): (1, 7, 0, ["1:1"]),
            ("stream", "own failure"): (1, 8, 1, ["2:1"]),
            ("stream", "lost answer"): (1, 8, 1, ["1:1"]),
            ("stream", "cut"): (1, 8, 1, ["2:1"]),
            ("stream", "refused"): (1, 8, 1, ["1:1"]),
            ("stream", "denied"): (1, 8, 1, ["0:1"]),
            ("stream", "stopped"): (1, 8, 1, ["1:1"]),
            ("stream", "caller left"): (1, 8, 1, ["1:1"]),
            ("stream", "other"): (1, 8, 1, ["1:1"]),
            ("-", "no end"): (1, 1, 1, ["0:1"]),
        })
        self.assertIn("16 of 19 requests unserved, lines dropped: 3", run.stdout)
        self.assertIn("other: 1 something_new", run.stdout)

    # Guards against a request that was refused by one host and served by another.
    def test_a_request_that_any_host_served_is_served(self):
        lines = ("event=request_done id=x status=200 cause=answered route=r attempts_sent=1\n"
                 "event=request_done id=x status=503 cause=no_endpoint route=r attempts_sent=0\n")
        run = explain(text=lines)
        self.assertIn("0 of 1 requests unserved", run.stdout)

    # Guards against the error of an endpoint that is taken for a repeatable one: the only attempt
    # has run, and nothing shows that the route sends such requests again.
    def test_an_answered_failure_may_have_run(self):
        run = explain(text="event=request_done id=x status=500 cause=answered route=r "
                           "attempts_sent=1 events=0\n")
        self.assertEqual(table(run.stdout), {("r", "own failure"): (1, 1, 0, ["1:1"])})

    # Guards against an empty table for a file that is no log.
    def test_a_text_without_requests_is_an_error(self):
        run = explain(text="nothing here\n")
        self.assertEqual(run.returncode, 1)
        self.assertIn("no request_done", run.stderr)


class Result(unittest.TestResult):
    def startTest(self, test):
        super().startTest(test)
        self.began = time.monotonic()

    def line(self, mark, test):
        spent = int((time.monotonic() - self.began) * 1000)
        print(f"[{mark}] ExplainUnserved.{test.id().rsplit('.', 1)[1]} ({spent} ms)")

    def addSuccess(self, test):
        super().addSuccess(test)
        self.line("       OK ", test)

    def addFailure(self, test, err):
        super().addFailure(test, err)
        print(self.failures[-1][1])
        self.line("  FAILED  ", test)

    def addError(self, test, err):
        super().addError(test, err)
        print(self.errors[-1][1])
        self.line("  FAILED  ", test)


def main():
    result = Result()
    unittest.defaultTestLoader.loadTestsFromTestCase(ExplainUnserved).run(result)
    return 0 if result.wasSuccessful() else 1


if __name__ == "__main__":
    sys.exit(main())
