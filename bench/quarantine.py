"""Measures the cost of the quarantine: report size, processor time per request, and memory.

Only parts of one daemon are measured, without sockets. docs/CAPACITY.md derives the cost for a
fleet from the results.
"""

import argparse
import sys
import time
import tracemalloc
from collections.abc import Callable, Iterator

import msgspec
from wheatslip.distribution.endlog import MAX_REPORTS, EndLog
from wheatslip.fingerprint import HASHED_BODY_BYTES, request_fingerprint
from wheatslip.quarantine import MAX_REPORTED_REQUESTS, MAX_SUSPECTS, Quarantine, ServerEnd
from wheatslip.runtracker import MAX_ANSWERS, Run, RunTracker

from bench.figures import Bound, Figure, add_record_option, report

REPETITIONS = 5
REQUESTS = 20_000  # per repetition
SLOTS = 12  # requests in flight on a server when it ends
NOW = 1_000_000.0  # unix seconds
MICROSECONDS_PER_SECOND = 1e6
# The target in docs/CAPACITY.md allows 1 ms of added latency and 256 MB of memory per daemon.
# The quarantine may use 1 % of the time, and 1 MB.
TIME_BOUND = Bound(maximum=10.0)  # microseconds
MEMORY_BOUND = Bound(maximum=1.0)  # MB


def make_fingerprints(count: int) -> Iterator[str]:
    for number in range(count):
        target = b"/view/%d" % number
        yield request_fingerprint("alpha", "papers", b"GET", target, b"")


def report_bytes(requests: int) -> float:
    """Size of an encoded end report with `requests` fingerprints."""
    end = ServerEnd("papers-12345/0a1b2c3d", NOW, "papers", tuple(make_fingerprints(requests)))
    return len(msgspec.msgpack.encode(end))


def measure_microseconds(step: Callable[[int], object]) -> float:
    """Mean processor time of one call of `step`."""
    start = time.process_time()
    for number in range(REQUESTS):
        step(number)
    return (time.process_time() - start) / REQUESTS * MICROSECONDS_PER_SECOND


def measure_gate(body: bytes) -> float:
    """Microseconds per request to compute the fingerprint and track the run and the answer."""
    tracker = RunTracker()
    quarantine = Quarantine()

    def step(number: int) -> None:
        target = b"/view/%d" % number
        fingerprint = request_fingerprint("alpha", "papers", b"GET", target, body)
        run = Run(fingerprint, "papers", "view")
        if len(quarantine):
            quarantine.standing(run.fingerprint, NOW)
        tracker.begin(run)
        tracker.answered(run, NOW)

    return measure_microseconds(step)


def measure_standing_check() -> float:
    """Microseconds added to each request while the quarantine has suspects."""
    quarantine = full_quarantine()
    names = list(make_fingerprints(MAX_SUSPECTS))
    return measure_microseconds(
        lambda number: quarantine.standing(names[number % len(names)], NOW)
    )


def full_quarantine() -> Quarantine:
    """A quarantine with the maximum number of suspects."""
    quarantine = Quarantine()
    names = list(make_fingerprints(MAX_SUSPECTS))
    for first in range(0, len(names), SLOTS):
        end = ServerEnd(str(first), NOW, "papers", tuple(names[first : first + SLOTS]))
        quarantine.take(end, NOW)
    return quarantine


def full_log() -> EndLog:
    """A log with the maximum number of reports."""
    log = EndLog()
    for number in range(MAX_REPORTS):
        names = tuple(f"{number:05x}-{name}" for name in make_fingerprints(SLOTS))
        log.add(ServerEnd(f"papers-{number}/0a1b2c3d", NOW, "papers", names), "a", NOW)
    return log


def full_run_tracker() -> RunTracker:
    """A tracker with the maximum number of remembered answers."""
    tracker = RunTracker()
    for name in make_fingerprints(MAX_ANSWERS):
        run = Run(name, "papers", "view")
        tracker.begin(run)
        tracker.answered(run, NOW)
    return tracker


def allocated_megabytes(create: Callable[[], object]) -> float:
    """Memory of the object that `create` returns."""
    tracemalloc.start()
    created = create()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del created
    return size / 1e6


def main() -> int:
    """Run the benchmark and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    add_record_option(parser)
    options = parser.parse_args()
    repetitions = range(REPETITIONS)
    figures = [
        Figure(f"report of {SLOTS} requests", "B", [report_bytes(SLOTS)]),
        Figure(
            f"report of {MAX_REPORTED_REQUESTS} requests",
            "B",
            [report_bytes(MAX_REPORTED_REQUESTS)],
        ),
        Figure(
            "a request at the gate", "µs", [measure_gate(b"") for _ in repetitions], TIME_BOUND
        ),
        Figure(
            "with 64 KiB of body",
            "µs",
            [measure_gate(b"x" * HASHED_BODY_BYTES) for _ in repetitions],
        ),
        Figure(
            "standing, full table",
            "µs",
            [measure_standing_check() for _ in repetitions],
            TIME_BOUND,
        ),
        Figure("full quarantine", "MB", [allocated_megabytes(full_quarantine)], MEMORY_BOUND),
        Figure("full log of reports", "MB", [allocated_megabytes(full_log)], MEMORY_BOUND),
        Figure(
            "full memory of answers",
            "MB",
            [allocated_megabytes(full_run_tracker)],
            MEMORY_BOUND,
        ),
    ]
    return report("quarantine", figures, record=options.record)


if __name__ == "__main__":
    sys.exit(main())
