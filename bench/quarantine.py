"""What it costs to know of requests that end servers: bytes of a report, time, memory.

Without sockets: the parts of one daemon alone. docs/CAPACITY.md works out the fleet from it.
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
REQUESTS = 20_000  # of one repetition
SLOTS = 12  # requests that run on a server which ends
NOW = 1_000_000.0
MICROSECONDS = 1e6
# A hundredth of the millisecond that a call may take longer by the target of docs/CAPACITY.md,
# and 1 MB of the memory of 256.
TIME_BOUND = Bound(most=10.0)
MEMORY_BOUND = Bound(most=1.0)


def fingerprints(count: int) -> Iterator[str]:
    """So many of them, all different."""
    for number in range(count):
        target = b"/view/%d" % number
        yield request_fingerprint("alpha", "papers", b"GET", target, b"")


def report_bytes(requests: int) -> float:
    """Bytes of a report of so many requests, as daemons pass it on."""
    end = ServerEnd("papers-12345/0a1b2c3d", NOW, "papers", tuple(fingerprints(requests)))
    return len(msgspec.msgpack.encode(end))


def microseconds(step: Callable[[int], object]) -> float:
    """Processor time of one step."""
    began = time.process_time()
    for number in range(REQUESTS):
        step(number)
    return (time.process_time() - began) / REQUESTS * MICROSECONDS


def gate_time(body: bytes) -> float:
    """What a gate does for each request: make its fingerprint, note its run and its answer."""
    exposure = RunTracker()
    quarantine = Quarantine()

    def step(number: int) -> None:
        target = b"/view/%d" % number
        fingerprint = request_fingerprint("alpha", "papers", b"GET", target, body)
        run = Run(fingerprint, "papers", "view")
        if len(quarantine):
            quarantine.standing(run.fingerprint, NOW)
        exposure.begin(run)
        exposure.answered(run, NOW)

    return microseconds(step)


def standing_time() -> float:
    """What each request costs besides, while something is held against others."""
    quarantine = full_quarantine()
    names = list(fingerprints(MAX_SUSPECTS))
    return microseconds(lambda number: quarantine.standing(names[number % len(names)], NOW))


def full_quarantine() -> Quarantine:
    """One that holds something against as many requests as it remembers."""
    quarantine = Quarantine()
    names = list(fingerprints(MAX_SUSPECTS))
    for begin in range(0, len(names), SLOTS):
        end = ServerEnd(str(begin), NOW, "papers", tuple(names[begin : begin + SLOTS]))
        quarantine.take(end, NOW)
    return quarantine


def full_log() -> EndLog:
    """A log of as many reports as it keeps, of 12 requests each."""
    log = EndLog()
    for number in range(MAX_REPORTS):
        names = tuple(f"{number:05x}-{name}" for name in fingerprints(SLOTS))
        log.add(ServerEnd(f"papers-{number}/0a1b2c3d", NOW, "papers", names), "a", NOW)
    return log


def full_exposure() -> RunTracker:
    """One that remembers as many answers as it does."""
    exposure = RunTracker()
    for name in fingerprints(MAX_ANSWERS):
        run = Run(name, "papers", "view")
        exposure.begin(run)
        exposure.answered(run, NOW)
    return exposure


def megabytes(make: Callable[[], object]) -> float:
    """Memory that what `make` returns takes."""
    tracemalloc.start()
    kept = make()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return size / 1e6


def main() -> int:
    """Run the measurements."""
    parser = argparse.ArgumentParser(description=__doc__)
    add_record_option(parser)
    options = parser.parse_args()
    times = range(REPETITIONS)
    figures = [
        Figure(f"report of {SLOTS} requests", "B", [report_bytes(SLOTS)]),
        Figure(
            f"report of {MAX_REPORTED_REQUESTS} requests",
            "B",
            [report_bytes(MAX_REPORTED_REQUESTS)],
        ),
        Figure("a request at the gate", "µs", [gate_time(b"") for _ in times], TIME_BOUND),
        Figure(
            "with 64 KiB of body", "µs", [gate_time(b"x" * HASHED_BODY_BYTES) for _ in times]
        ),
        Figure("standing, full table", "µs", [standing_time() for _ in times], TIME_BOUND),
        Figure("full quarantine", "MB", [megabytes(full_quarantine)], MEMORY_BOUND),
        Figure("full log of reports", "MB", [megabytes(full_log)], MEMORY_BOUND),
        Figure("full memory of answers", "MB", [megabytes(full_exposure)], MEMORY_BOUND),
    ]
    return report("quarantine", figures, record=options.record)


if __name__ == "__main__":
    sys.exit(main())
