"""What one entry knows of one backend server, from its own tries and the reports on answers.

Pure; seconds on one monotonic clock.
"""

from dataclasses import dataclass
from math import exp
from random import Random

from wheatslip.hop import LoadReport

# Seconds that an upstream is left alone after its first failure, twice as many after each
# further one, and at most. Shorter, requests go on meeting a lost server; longer, a server
# that is back stays idle.
FAILURE_FIRST_PAUSE = 0.2
FAILURE_LAST_PAUSE = 5.0
# An upstream whose machine must be gone: no connection for so many seconds, which are longer
# than a restart or a short cut, and so many failures, as time alone shows nothing where nobody
# tried.
DEAD_AFTER = 15.0
DEAD_AFTER_FAILURES = 4
# Weight of one answer in the error rate of an upstream.
ERROR_WEIGHT = 0.3
# Seconds in which an error rate falls to 1/e.
ERROR_MEMORY = 1.0
# Seconds for which a good answer outweighs the list. Without it a list that is wrong about many
# servers crowds the others.
VOUCHED_SECONDS = 5.0


@dataclass(slots=True, eq=False)
class Upstream:
    """What one entry knows of one backend server. Times are seconds, monotonic."""

    name: str
    zone: str
    joined: float = 0.0  # when it was first seen; 0 for one that was here before us
    healthy: bool = True  # by the platform's list, which lags
    in_flight: int = 0
    report: LoadReport | None = None
    reported_at: float = 0.0
    sent_since_report: int = 0
    done_since_report: int = 0
    failures: int = 0  # in a row
    paused_until: float = 0.0
    errors: float = 0.0  # the part of answers that failed, as of `errors_at`
    errors_at: float = 0.0
    vouched_until: float = 0.0  # until then a good answer outweighs the list
    unreachable_since: float | None = None  # when its daemon stopped taking connections
    listed_leaving: bool = False  # a report can't take that back

    @property
    def leaving(self) -> bool:
        """Whether it takes no new work."""
        return self.listed_leaving or (self.report is not None and self.report.leaving)

    def on_sent(self) -> None:
        """A request goes there."""
        self.in_flight += 1
        self.sent_since_report += 1

    def on_done(self) -> None:
        """A request sent there has ended, in whatever way."""
        self.in_flight -= 1
        self.done_since_report += 1

    def on_report(self, report: LoadReport, now: float) -> None:
        """A load report came with an answer."""
        self.unreachable_since = None
        self.report = report
        self.reported_at = now
        self.sent_since_report = 0
        self.done_since_report = 0

    def on_answer(self, now: float, *, failed: bool) -> None:
        """It answered; `failed`: with an error of its own."""
        self.failures = 0
        self.paused_until = 0.0
        self.errors = self.error_rate(now)
        self.errors += ERROR_WEIGHT * (failed - self.errors)
        self.errors_at = now
        if not failed:
            self.vouched_until = now + VOUCHED_SECONDS

    def error_rate(self, now: float) -> float:
        """The part of recent answers that failed; it fades, so that it is tried again."""
        return self.errors * exp(-(now - self.errors_at) / ERROR_MEMORY)

    def on_unreachable(self, now: float, rng: Random) -> None:
        """Its daemon took no connection: a failure, and perhaps its machine is gone."""
        if self.unreachable_since is None:
            self.unreachable_since = now
        self.on_failure(now, rng)

    def is_dead(self, now: float) -> bool:
        """Whether its machine must be gone: no try connected, for long and several times."""
        since = self.unreachable_since
        tried = self.failures >= DEAD_AFTER_FAILURES
        return since is not None and tried and now - since >= DEAD_AFTER

    def on_failure(self, now: float, rng: Random) -> None:
        """It failed or could not be reached: leave it alone, longer after each in a row."""
        self.failures += 1
        pause = min(FAILURE_LAST_PAUSE, FAILURE_FIRST_PAUSE * 2 ** (self.failures - 1))
        self.paused_until = now + pause * (0.5 + rng.random())
