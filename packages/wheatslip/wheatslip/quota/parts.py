"""How much of a limit each daemon that grants it may grant: refill and size of its bucket.

A primary grants the limit, and the others share the margin, which the bound leaves beside it.
Beyond docs/design/workspace-limits.md, so that the bound holds in the worst case:

- The parts of the margin include what a bucket holds (`Part`).
- A part of the slack is kept for the tokens that a restarted primary starts with. Those are
  also at most half a second's refill, so that a restart loop does not multiply them.
- A primary's bucket holds a part of the slack if the burst is smaller. Requests arrive at
  random, so a bucket of one or two tokens would refuse many of a workspace below its limit.
- Of the daemons that are not a candidate, only the next `OWN_BUCKETS` in rendezvous order have
  a bucket of their own. A bucket holds at least one token, and one token at each daemon would
  exceed the slack.
"""

from dataclasses import dataclass

from wheatslip.quota.bucket import MIN_BURST
from wheatslip.quota.settings import QuotaSettings

CANDIDATES = 3  # daemons that an entry asks, in this order
OWN_BUCKETS = 2  # further daemons that may grant a few tokens to themselves
GRANTING_DAEMONS = CANDIDATES + OWN_BUCKETS  # the others' buckets stay empty
SECOND_SHARE, THIRD_SHARE, OWN_SHARE = 0.5, 0.25, 0.25  # of the margin
PART_BURST_SHARE = 0.25  # of a part of the margin: what its bucket holds
RESTART_SLACK_SHARE = 0.15  # of the slack, for the first tokens of a restarted primary
SMALL_BURST_SLACK_SHARE = 0.5  # of the slack: what the bucket of a primary holds at least
RESTART_SECONDS = 0.5  # of refill, at most, for the first tokens


@dataclass(frozen=True, slots=True)
class Part:
    """Refill and size of a bucket that grants at most `tokens` in a window and a lifetime."""

    rate: float
    burst: float

    @classmethod
    def of(cls, tokens: float, seconds: float) -> "Part":
        if tokens < MIN_BURST:
            return cls(0.0, MIN_BURST)
        burst = max(MIN_BURST, PART_BURST_SHARE * tokens)
        return cls((tokens - burst) / seconds, burst)


class Parts:
    """The parts of limits by `rate` (tokens a second) and `burst`."""

    def __init__(self, settings: QuotaSettings):
        self._settings = settings

    def primary_burst(self, burst: float) -> float:
        """Tokens that the bucket of a primary holds."""
        return max(MIN_BURST, burst, SMALL_BURST_SLACK_SHARE * self._settings.slack)

    def first_tokens(self, rate: float, burst: float) -> float:
        """Tokens that the bucket of a primary holds at first."""
        return min(
            self.primary_burst(burst),
            RESTART_SLACK_SHARE * self._settings.slack,
            max(1.0, RESTART_SECONDS * rate),
        )

    def of_margin(self, position: int, rate: float, burst: float) -> Part:
        """The part for a position after the primary's."""
        margin = self._margin(rate, burst)
        seconds = self._settings.window + self._settings.token_lifetime
        if position == 1:
            return Part.of(SECOND_SHARE * margin, seconds)
        if position == 2:
            return Part.of(THIRD_SHARE * margin, seconds)
        if position < GRANTING_DAEMONS:
            return Part.of(OWN_SHARE * margin / OWN_BUCKETS, seconds)
        return Part(0.0, MIN_BURST)

    def _margin(self, rate: float, burst: float) -> float:
        """Tokens of a window that the bound leaves beside those of the primary."""
        settings = self._settings
        bound = (rate * settings.window + burst) * (1 + settings.overage) + settings.slack
        seconds = settings.window + settings.token_lifetime
        primary = rate * seconds + self.primary_burst(burst)
        return bound - primary - RESTART_SLACK_SHARE * settings.slack
