"""Settings of the feed."""

from dataclasses import dataclass

from wheatslip.distribution.relaytree import WATCHERS
from wheatslip.store.backoff import BACKOFF_MAX_SECONDS
from wheatslip.store.objects import WATCH_SECONDS

# Watchers confirm the head that often within `max_unconfirmed`; `confirm_interval` says why.
CONFIRMATIONS_PER_LIMIT = 5


@dataclass(frozen=True, slots=True)
class FeedSettings:
    """How often a daemon calls the platform. Times are in seconds."""

    watchers: int = WATCHERS  # daemons of each zone that read the platform
    watch: float = WATCH_SECONDS  # longest wait of a watch of the head or the zone drains
    watch_check: float = 0.0  # interval of the calls that check the watches; 0: no checks
    list_watch: float = WATCH_SECONDS  # longest wait of a watch of the instance list
    list_pause: float = 0.0  # pause between two changes of the instance list
    retry_last: float = BACKOFF_MAX_SECONDS  # longest backoff after a failed call
    settle: float = 0.0  # at the start: delay before a list without the own zone is read again
    # Longest time without a confirmation of the head in which credentials are accepted; 0: any.
    max_unconfirmed: float = 0.0

    @property
    def confirm_interval(self) -> float:
        """Interval in which watchers confirm the head; 0 if there is no limit.

        The rest of the limit is for the relay tree, which adds up to a heartbeat per level, and
        for one lost parent.
        """
        return self.max_unconfirmed / CONFIRMATIONS_PER_LIMIT

    @property
    def check_interval(self) -> float:
        """Interval of the calls that check the watches and confirm the head; 0: no calls."""
        if self.confirm_interval and self.watch_check:
            return min(self.confirm_interval, self.watch_check)
        return self.confirm_interval or self.watch_check
