"""Settings of the feed."""

from dataclasses import dataclass

from wheatslip.distribution.relaytree import WATCHERS
from wheatslip.store.backoff import BACKOFF_MAX_SECONDS
from wheatslip.store.objects import WATCH_SECONDS


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
