"""Measures the processor time that workspace limits cost a daemon.

Only the library is measured, without sockets: a grant at the owner, a request at the entry, and
a change of the list at the target size of docs/CAPACITY.md.
"""

import argparse
import sys
import time
from collections.abc import Callable

from wheatslip.quota.candidates import Candidates
from wheatslip.quota.granter import Granter
from wheatslip.quota.holder import TokenHolder
from wheatslip.quota.messages import TokenGrant, TokenRequest
from wheatslip.quota.parts import CANDIDATES
from wheatslip.quota.settings import QuotaSettings

from bench.figures import Bound, Figure, add_record_option, report

REPETITIONS = 5
STEPS = 20_000  # per repetition
MEMBERS = 22_000
WORKSPACES = 300
STEP_SECONDS = 0.0005  # of model time between two steps
MICROSECONDS_PER_SECOND = 1e6
MILLISECONDS_PER_SECOND = 1e3
# A call may cost 1 ms for 99 in 100 calls; the limit may use 5 % of that.
TIME_BOUND = Bound(maximum=50.0)  # microseconds
# Both block the daemon's requests for that long; the shortest target of a request is 150 ms.
CHANGE_BOUND = Bound(maximum=30.0)  # milliseconds
FIRST_BOUND = Bound(maximum=60.0)  # milliseconds; once for a workspace

SETTINGS = QuotaSettings()


def member_names(first: int = 0) -> list[str]:
    return [f"papers-{number:05d}" for number in range(first, first + MEMBERS)]


def measure_microseconds(step: Callable[[int], object]) -> float:
    """Mean processor time of one call of `step`."""
    start = time.process_time()
    for number in range(STEPS):
        step(number)
    return (time.process_time() - start) / STEPS * MICROSECONDS_PER_SECOND


def measure_grant(tokens: int) -> float:
    """Microseconds of one grant, at more requests than the limits."""
    granter = Granter("papers-0", SETTINGS)
    granter.set_members(["papers-0"], 0.0)
    requests = [
        TokenRequest("papers-1", f"w{number}", tokens, 1, 5.0, 10.0)
        for number in range(WORKSPACES)
    ]

    def step(number: int) -> None:
        granter.grant(requests[number % WORKSPACES], 10.0 + number * STEP_SECONDS)

    return measure_microseconds(step)


def measure_request() -> float:
    """Microseconds of one request at an entry, with its share of the asks."""
    holder = TokenHolder(SETTINGS)

    def step(number: int) -> None:
        workspace = f"w{number % 20}"
        now = number * STEP_SECONDS
        holder.on_arrival(workspace, now)
        if holder.take(workspace, now) is None and not holder.refused_for(workspace, now):
            wanted = holder.wanted(workspace, 1, now)
            holder.on_grant(workspace, TokenGrant(wanted), wanted, now, now)
            holder.take(workspace, now)

    return measure_microseconds(step)


def measure_take() -> float:
    """Microseconds to use a token that the entry holds."""
    holder = TokenHolder(SETTINGS)
    holder.on_grant("alpha", TokenGrant(STEPS), STEPS, 0.0, 0.0)
    return measure_microseconds(lambda number: holder.take("alpha", 0.1))


def filled_candidates() -> Candidates:
    """The candidates of all workspaces, computed."""
    candidates = Candidates(CANDIDATES)
    candidates.set_members(member_names())
    for number in range(WORKSPACES):
        candidates.of(f"w{number}")
    return candidates


def measure_changes(removed: int) -> list[float]:
    """Milliseconds of changes that add one member and remove `removed`, candidates included."""
    candidates = filled_candidates()
    members = member_names()
    values = []
    for number in range(REPETITIONS):
        members = [*members[removed:], f"new-{number}"]
        start = time.process_time()
        candidates.set_members(members)
        for workspace in range(WORKSPACES):
            candidates.of(f"w{workspace}")
        values.append((time.process_time() - start) * MILLISECONDS_PER_SECOND)
    return values


def measure_first() -> float:
    """Milliseconds to compute the candidates of one workspace."""
    candidates = Candidates(CANDIDATES)
    candidates.set_members(member_names())
    start = time.process_time()
    candidates.of("alpha")
    return (time.process_time() - start) * MILLISECONDS_PER_SECOND


def main() -> int:
    """Run the benchmark and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    add_record_option(parser)
    options = parser.parse_args()
    repetitions = range(REPETITIONS)
    changes = f"of {MEMBERS} members, {WORKSPACES} workspaces"
    figures = [
        Figure("grant of a token", "µs", [measure_grant(1) for _ in repetitions], TIME_BOUND),
        Figure("grant in part", "µs", [measure_grant(50) for _ in repetitions], TIME_BOUND),
        Figure("take of a token held", "µs", [measure_take() for _ in repetitions], TIME_BOUND),
        Figure(
            "request at the entry", "µs", [measure_request() for _ in repetitions], TIME_BOUND
        ),
        Figure(f"one more {changes}", "ms", measure_changes(0), CHANGE_BOUND),
        Figure(f"one replaced {changes}", "ms", measure_changes(1), CHANGE_BOUND),
        Figure(
            f"first candidates of {MEMBERS}",
            "ms",
            [measure_first() for _ in repetitions],
            FIRST_BOUND,
        ),
    ]
    return report("quota", figures, record=options.record)


if __name__ == "__main__":
    sys.exit(main())
