"""State of one backend server as seen by one entry, from its own tries and load reports.

Does no I/O. Times are in seconds on one monotonic clock.
"""

from dataclasses import dataclass, field
from math import exp
from random import Random

from wheatslip.hop import LoadReport
from wheatslip.noticememory import NoticeMemory

# Shorter pauses send requests to a lost server, longer ones leave a recovered server idle.
FIRST_PAUSE_SECONDS = 0.2  # doubles with each consecutive failure
MAX_PAUSE_SECONDS = 5.0  # before jitter, which multiplies a pause by 0.5 to 1.5
# Time without a connection; longer than a restart or a short network failure.
DEAD_AFTER_SECONDS = 15.0
DEAD_AFTER_FAILURES = 4  # also required, since without tries the time alone is no sign
ERROR_WEIGHT = 0.3  # of one answer in the error rate of an upstream
ERROR_DECAY_SECONDS = 1.0  # time in which an error rate decays to 1/e
# A good answer overrides the list: one wrong about many servers would overload the others.
ANSWER_VALID_SECONDS = 5.0


@dataclass(slots=True, eq=False)
class Upstream:
    """One backend server as seen by one entry. Times are in monotonic seconds."""

    name: str
    zone: str
    joined: float = 0.0  # when it was first seen; 0 if it was listed when this entry started
    healthy: bool = True  # according to the platform's list, which may be out of date
    in_flight: int = 0
    report: LoadReport | None = None
    reported_at: float = 0.0
    sent_since_report: int = 0
    done_since_report: int = 0
    failures: int = 0  # consecutive
    paused_until: float = 0.0
    last_error_rate: float = 0.0  # share of answers that failed, as of `error_rate_at`
    error_rate_at: float = 0.0
    healthy_until: float = 0.0  # until then a good answer overrides `healthy`
    unreachable_since: float | None = None  # when its daemon stopped accepting connections
    listed_leaving: bool = False  # not overridden by load reports
    notices: NoticeMemory = field(default_factory=NoticeMemory)

    def is_leaving(self, now: float) -> bool:
        """Whether it accepts no new requests."""
        if self.listed_leaving or self.notices.is_leaving(now):
            return True
        return self.report is not None and self.report.leaving

    def on_sent(self) -> None:
        """A request is sent to it."""
        self.in_flight += 1
        self.sent_since_report += 1

    def on_done(self) -> None:
        """A request sent to it has ended, with any outcome."""
        self.in_flight -= 1
        self.done_since_report += 1

    def on_report(self, report: LoadReport, now: float) -> None:
        """An answer had a load report."""
        self.unreachable_since = None
        self.report = report
        self.reported_at = now
        self.sent_since_report = 0
        self.done_since_report = 0

    def on_answer(self, now: float, *, failed: bool) -> None:
        """It answered. `failed` is whether with an error of the server."""
        self.failures = 0
        self.paused_until = 0.0
        self.last_error_rate = self.error_rate(now)
        self.last_error_rate += ERROR_WEIGHT * (failed - self.last_error_rate)
        self.error_rate_at = now
        if not failed:
            self.healthy_until = now + ANSWER_VALID_SECONDS

    def error_rate(self, now: float) -> float:
        """Share of recent answers that failed. It decays, so that the upstream is retried."""
        return self.last_error_rate * exp(-(now - self.error_rate_at) / ERROR_DECAY_SECONDS)

    def on_unreachable(self, now: float, rng: Random) -> None:
        """Its daemon accepted no connection: a failure, and its machine may be lost."""
        if self.unreachable_since is None:
            self.unreachable_since = now
        self.on_failure(now, rng)

    def is_dead(self, now: float) -> bool:
        """Whether its machine counts as lost: no try has connected for long enough, and there
        were enough tries.
        """
        since = self.unreachable_since
        has_enough_failures = self.failures >= DEAD_AFTER_FAILURES
        return since is not None and has_enough_failures and now - since >= DEAD_AFTER_SECONDS

    def on_failure(self, now: float, rng: Random) -> None:
        """It failed or could not be reached; starts a pause with exponential backoff."""
        self.failures += 1
        pause = min(MAX_PAUSE_SECONDS, FIRST_PAUSE_SECONDS * 2 ** (self.failures - 1))
        self.paused_until = now + pause * (0.5 + rng.random())
