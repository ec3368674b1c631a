"""Runs the cases with every policy and prints what came of it; exit code 1 on a breach."""

import argparse
import sys
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

from rich.console import Console
from rich.table import Table

from bench.decisions.cases import CASES, Case
from bench.decisions.ideal import IdealQueue
from bench.decisions.policies import POLICIES
from bench.decisions.world import World

IDEAL = "ideal"
SEEDS = (1, 2, 3)
WORKERS = 4


@dataclass(frozen=True, slots=True)
class Job:
    """One run to make."""

    case: str
    policy: str
    seed: int


@dataclass(frozen=True, slots=True)
class Row:
    """The figures of one run. Latencies in milliseconds, rates as parts of what was asked."""

    p50: float
    p99: float
    p999: float
    innocent_p99: float
    good: float
    failed: float
    not_run: float
    unknown: float
    sends: float


def run_job(job: Job) -> Row:
    """Make one run."""
    case: Case = CASES[job.case]
    policy = "random" if job.policy == IDEAL else job.policy
    world = World(case.layout, policy, job.seed, case.report_delay)
    if job.policy == IDEAL:
        IdealQueue(world)
    case.set_up(world)
    results = world.run()
    asked = max(1, results.asked)
    return Row(
        p50=results.p(50),
        p99=results.p(99),
        p999=results.p(99.9),
        innocent_p99=float(results.innocent.get_value_at_percentile(99)) / 1000,
        good=results.good / asked,
        failed=results.failed / asked,
        not_run=results.not_run / asked,
        unknown=results.unknown / asked,
        sends=results.sends / asked,
    )


def run_all(cases: list[str], policies: list[str], seeds: tuple[int, ...]) -> dict[Job, Row]:
    """Make all runs, a few at a time."""
    jobs = [Job(c, p, s) for c in cases for p in policies for s in seeds]
    with ProcessPoolExecutor(WORKERS) as pool:
        return dict(zip(jobs, pool.map(run_job, jobs), strict=True))


def median(rows: list[Row], field: str) -> float:
    """The middle value of a figure over the seeds."""
    values = sorted(getattr(row, field) for row in rows)
    return values[len(values) // 2]


def main() -> int:
    """Run the bench; returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--case", action="append", choices=list(CASES))
    parser.add_argument("--policy", action="append", choices=[*POLICIES, IDEAL])
    parser.add_argument("--seeds", type=int, default=len(SEEDS))
    options = parser.parse_args()
    cases = options.case or list(CASES)
    policies = options.policy or [*POLICIES, IDEAL]
    rows = run_all(cases, policies, tuple(range(1, options.seeds + 1)))
    table = Table(title="decisions: medians over the seeds")
    fields = list(Row.__dataclass_fields__)
    for column in ("case", "policy", *fields):
        table.add_column(column, justify="left" if column in ("case", "policy") else "right")
    for case in cases:
        for policy in policies:
            group = [
                row for job, row in rows.items() if (job.case, job.policy) == (case, policy)
            ]
            figures = [f"{median(group, field):.4g}" for field in fields]
            table.add_row(case, policy, *figures)
        table.add_section()
    Console(width=140).print(table)
    return 0


if __name__ == "__main__":
    sys.exit(main())
