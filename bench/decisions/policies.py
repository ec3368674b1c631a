"""The policies that are compared: ours, and baselines kept as code.

`load_only` is the control of the paper in docs/DECISIONS.md: least in flight, ties to the
first seen.
"""

from collections.abc import Sequence, Set
from dataclasses import dataclass, field

from wheatslip.chooser import Chooser, Upstream


@dataclass(slots=True)
class Baseline(Chooser):
    """A chooser without our signs: it neither bounces nor leaves failing ones alone."""

    turn: int = field(default=0)

    def pick(
        self, upstreams: Sequence[Upstream], now: float, tried: Set[str] = frozenset()
    ) -> Upstream | None:
        """One of those not tried; listed health and drain are respected."""
        left = [u for u in upstreams if u.name not in tried and not u.draining and u.healthy]
        return self.choose(left) if left else None

    def choose(self, left: list[Upstream]) -> Upstream:
        """The policy proper."""
        raise NotImplementedError

    def has_choice(self, upstreams: Sequence[Upstream], now: float, tried: Set[str]) -> bool:
        """Never: a baseline queues where it sends."""
        return False


class RandomChoice(Baseline):
    """Any, evenly."""

    def choose(self, left: list[Upstream]) -> Upstream:
        """The policy proper."""
        return self.rng.choice(left)


class RoundRobin(Baseline):
    """Each in turn, from a random start."""

    def choose(self, left: list[Upstream]) -> Upstream:
        """The policy proper."""
        if not self.turn:
            self.turn = self.rng.randrange(1000)
        self.turn += 1
        return left[self.turn % len(left)]


class LeastInFlight(Baseline):
    """Fewest requests of this entry, ties at random."""

    def choose(self, left: list[Upstream]) -> Upstream:
        """The policy proper."""
        return min(left, key=lambda u: (u.in_flight, self.rng.random()))


class LoadOnly(Baseline):
    """Fewest requests of this entry, ties to the first seen, as the paper has it."""

    def choose(self, left: list[Upstream]) -> Upstream:
        """The policy proper."""
        return min(left, key=lambda u: u.in_flight)


class TwoChoices(Baseline):
    """The better of two by the last report, whatever its age."""

    def choose(self, left: list[Upstream]) -> Upstream:
        """The policy proper."""
        drawn = self.rng.sample(left, min(2, len(left)))
        return min(drawn, key=self._reported)

    @staticmethod
    def _reported(upstream: Upstream) -> int:
        report = upstream.report
        return report.in_flight + report.queued if report else 0


POLICIES: dict[str, type[Chooser]] = {
    "wheatslip": Chooser,
    "random": RandomChoice,
    "round-robin": RoundRobin,
    "least-in-flight": LeastInFlight,
    "load-only": LoadOnly,
    "two-choices": TwoChoices,
}
