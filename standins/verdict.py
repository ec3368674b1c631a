"""Compares the outcomes that callers got with the requests that the backend servers ran."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from standins.backend import Run
from standins.caller import Reported, Request

# From when all daemons report a zone as drained until no request starts to run there. A request
# that a gate admitted before may first wait a quarter of a second for its connection.
DRAIN_SECONDS = 0.5


@dataclass(slots=True)
class Verdict:
    """The counts of one history, and the ids of requests that broke a promise."""

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
        """One message for each kind of broken promise."""
        claims = (
            ("ran twice", self.ran_twice),
            ("ran though told not run", self.ran_though_reported_not_run),
            ("answered but never run", self.not_run_though_answered),
            ("wrong answer", self.wrong_answers),
        )
        return [f"{claim}: {', '.join(found[:5])}" for claim, found in claims if found]


def judge(requests: Iterable[Request], runs: Iterable[Run]) -> Verdict:
    """Check the reported outcomes of requests against the runs."""
    run_counts = Counter(run.request_id for run in runs)
    verdict = Verdict()
    for request in requests:
        verdict.requests += 1
        run_count = run_counts[request.request_id]
        match request.reported:
            case Reported.ANSWERED:
                verdict.answered += 1
                if not run_count:
                    verdict.not_run_though_answered.append(request.request_id)
            case Reported.NOT_RUN:
                verdict.not_run += 1
                if run_count:
                    verdict.ran_though_reported_not_run.append(request.request_id)
            case Reported.UNKNOWN:
                verdict.unknown += 1
        if request.once and run_count > 1:
            verdict.ran_twice.append(request.request_id)
        if request.unexpected_answer:
            verdict.wrong_answers.append(request.request_id)
    return verdict
