"""What daemons tell each other of lost ones, so that a restarted primary counts them too.

A daemon that starts during a partition has a list without the other side. Others that have run
since before know the daemons that left it; updates of the feed carry them.
"""

from collections.abc import Callable

from wheatslip.distribution.feedcache import LostInstance
from wheatslip.quota.granter import Granter
from wheatslip.quota.reach import Lost

from wheatslipd.quota.knowndaemons import KnownDaemons
from wheatslipd.telemetry import logs


class LostDaemons:
    """The lost daemons that this one knows, as instances."""

    def __init__(
        self,
        granter: Granter,
        known: KnownDaemons,
        on_learned: Callable[[], None],
        clock: Callable[[], float],
    ):
        """`on_learned` is called after new ones were learned. `clock` is monotonic."""
        self._granter = granter
        self._known = known
        self._on_learned = on_learned
        self._clock = clock
        self.version = 0  # number of times that others told of new ones

    def current(self) -> tuple[LostInstance, ...]:
        """All that this daemon knows, whether it saw them leave or was told."""
        now = self._clock()
        lost = ((self._known.get(name), one) for name, one in self._granter.reach.lost.items())
        return tuple(
            LostInstance(instance, now - one.at, one.share)
            for instance, one in lost
            if instance is not None
        )

    def learn(self, told: tuple[LostInstance, ...]) -> None:
        """Apply what another daemon or the platform knows."""
        now = self._clock()
        lost = {one.instance.name: Lost(now - one.ago, one.share) for one in told}
        new = self._granter.learn_lost(lost, now)
        if not new:
            return
        for one in told:
            if one.instance.name in new:
                self._known.add_left(one.instance, now - one.ago)
        self.version += 1
        logs.info("quota-lost-told", count=len(new), share=round(self._granter.share, 3))
        self._on_learned()
