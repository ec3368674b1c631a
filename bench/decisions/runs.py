"""Makes the runs of the decision bench, a few processes at a time."""

from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from multiprocessing import get_context

from bench.decisions.cases import CASES, FAULT_AT, Case
from bench.decisions.ideal import IdealQueue
from bench.decisions.world import World

OURS = "wheatslip"
IDEAL = "ideal"
WORKERS = 6


@dataclass(frozen=True, slots=True)
class Job:
    """One run to make."""

    case: str
    policy: str
    seed: int


@dataclass(frozen=True, slots=True)
class Row:
    """The figures of one run. Latencies in milliseconds, the rest as parts of what was asked,
    but for `goodput`, which is a part of the capacity in the second after the fault began.
    """

    p50: float
    p99: float
    p999: float
    innocent_p99: float
    good: float
    failed: float
    not_run: float
    unknown: float
    sends: float
    goodput: float


def run_job(job: Job) -> Row:
    """Make one run."""
    case: Case = CASES[job.case]
    policy = "random" if job.policy == IDEAL else job.policy
    world = World(case.layout, policy, job.seed, case.report_delay)
    world.seconds = case.seconds
    if job.policy == IDEAL:
        IdealQueue(world)
    case.set_up(world)
    results = world.run()
    asked = max(1, results.asked)
    in_fault = results.good_by_second.get(int(FAULT_AT) + 1, 0)
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
        goodput=in_fault / case.layout.capacity,
    )


@dataclass(slots=True)
class Outcomes:
    """The rows of all runs."""

    rows: dict[Job, Row]

    def values(self, case: str, policy: str, field: str) -> list[float]:
        """A figure for each seed, in the order of the seeds."""
        jobs = sorted(
            (job for job in self.rows if (job.case, job.policy) == (case, policy)),
            key=lambda job: job.seed,
        )
        return [getattr(self.rows[job], field) for job in jobs]

    def median(self, case: str, policy: str, field: str) -> float:
        """The middle value of a figure over the seeds."""
        values = sorted(self.values(case, policy, field))
        return values[len(values) // 2]


def run_all(cases: list[str], policies: list[str], seeds: int) -> Outcomes:
    """Make all runs, a few at a time."""
    jobs = [Job(c, p, s + 1) for c in cases for p in policies for s in range(seeds)]
    with ProcessPoolExecutor(WORKERS, mp_context=get_context("forkserver")) as pool:
        return Outcomes(dict(zip(jobs, pool.map(run_job, jobs), strict=True)))
