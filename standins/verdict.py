"""Compares the outcomes that callers got with what the backend servers ran."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from standins.backend import Run
from standins.caller import Reported, Request

# Seconds after all daemons reported that a zone is drained. What a gate let through before has
# reached its server by then: a connection takes up to a quarter of a second.
DRAIN_SECONDS = 0.5


@dataclass(slots=True)
class Verdict:
    """The counts of one history, and the promises it breaks."""

    requests: int = 0
    answered: int = 0
    not_run: int = 0
    unknown: int = 0
    ran_twice: list[str] = field(default_factory=list)
    ran_though_reported_not_run: list[str] = field(default_factory=list)
    not_run_though_answered: list[str] = field(default_factory=list)
    wrong_answers: list[str] = field(default_factory=list)

    @property
    def broken(self) -> list[str]:
        """A sentence for each promise that was broken."""
        claims = (
            ("ran twice", self.ran_twice),
            ("ran though told not run", self.ran_though_reported_not_run),
            ("answered but never run", self.not_run_though_answered),
            ("wrong answer", self.wrong_answers),
        )
        return [f"{claim}: {', '.join(found[:5])}" for claim, found in claims if found]


def judge(requests: Iterable[Request], runs: Iterable[Run]) -> Verdict:
    """The verdict on a history of requests and runs."""
    times_run = Counter(run.request_id for run in runs)
    verdict = Verdict()
    for one in requests:
        verdict.requests += 1
        times = times_run[one.request_id]
        match one.reported:
            case Reported.ANSWERED:
                verdict.answered += 1
                if not times:
                    verdict.not_run_though_answered.append(one.request_id)
            case Reported.NOT_RUN:
                verdict.not_run += 1
                if times:
                    verdict.ran_though_reported_not_run.append(one.request_id)
            case Reported.UNKNOWN:
                verdict.unknown += 1
        if one.once and times > 1:
            verdict.ran_twice.append(one.request_id)
        if one.wrong:
            verdict.wrong_answers.append(one.request_id)
    return verdict
