"""Measures the cost of the queue of a gate (`wheatslip.fairqueue`) with ranks.

Five ranks of 84 workspaces each have one item queued, more than a gate holds. An operation
dequeues one item and queues one of the same workspace and rank, or estimates how many items are
before a new one.
"""

import argparse
import sys
import time
from collections.abc import Callable

from wheatslip.call import Rank
from wheatslip.fairqueue import FairQueue

from bench.figures import Bound, Figure, add_record_option, report

REPETITIONS = 5
OPERATIONS = 20_000
ESTIMATES = 2_000
RANKS = tuple(Rank(0, priority) for priority in range(5))
WORKSPACES = 84
MANY_WORKSPACES = 840
MICROSECONDS_PER_SECOND = 1e6
# Of the 1 ms that a call may cost; a gate dequeues and queues each request about once.
CYCLE_BOUND = Bound(maximum=50.0)
ESTIMATE_BOUND = Bound(maximum=200.0)
# Ten times as many workspaces may add a few levels to a heap, but no linear cost.
GROWTH_BOUND = Bound(maximum=2.0)

Item = tuple[str, Rank]


def filled_queue(workspaces: int) -> FairQueue[Item]:
    queue: FairQueue[Item] = FairQueue(urgent_share=0.75)
    for rank in RANKS:
        for number in range(workspaces):
            name = f"workspace-{number}"
            queue.push(name, float(number), (name, rank), rank=rank)
    return queue


def cycle_microseconds(workspaces: int) -> float:
    """Mean time to dequeue one item and queue it again."""
    queue = filled_queue(workspaces)

    def cycle() -> None:
        item = queue.pop()
        assert item is not None
        queue.push(item[0], 1.0, item, rank=item[1])

    return _mean_microseconds(cycle, OPERATIONS)


def estimate_microseconds() -> float:
    """Mean time of an estimate for the rank in the middle."""
    queue = filled_queue(WORKSPACES)
    return _mean_microseconds(lambda: queue.count_ahead("other", rank=RANKS[2]), ESTIMATES)


def _mean_microseconds(operation: Callable[[], object], count: int) -> float:
    start = time.perf_counter()
    for _ in range(count):
        operation()
    return (time.perf_counter() - start) / count * MICROSECONDS_PER_SECOND


def main() -> int:
    """Run the benchmark and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--repetitions", type=int, default=REPETITIONS)
    add_record_option(parser)
    options = parser.parse_args()
    repetitions = range(options.repetitions)
    cycles = [cycle_microseconds(WORKSPACES) for _ in repetitions]
    growth = [cycle_microseconds(MANY_WORKSPACES) / cycle for cycle in cycles]
    estimates = [estimate_microseconds() for _ in repetitions]
    figures = [
        Figure("pop and push, 5 ranks of 84 workspaces", "µs", cycles, CYCLE_BOUND),
        Figure("the same with 840 workspaces / with 84", "", growth, GROWTH_BOUND),
        Figure("count_ahead, 5 ranks of 84 workspaces", "µs", estimates, ESTIMATE_BOUND),
    ]
    return report("ranks", figures, record=options.record)


if __name__ == "__main__":
    sys.exit(main())
