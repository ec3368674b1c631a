"""How a daemon keeps up with the platform: the settings of the feed."""

from dataclasses import dataclass

from wheatslip.distribution.relaytree import WATCHERS
from wheatslip.store.backoff import BACKOFF_MAX_SECONDS
from wheatslip.store.objects import WATCH_SECONDS


@dataclass(frozen=True, slots=True)
class FeedPace:
    """How many daemons of a zone read the platform, and how long their watches wait (s)."""

    watchers: int = WATCHERS
    watch: float = WATCH_SECONDS
    watch_check: float = 0.0  # between the calls that check the watches; 0: none
    list_watch: float = WATCH_SECONDS
    list_pause: float = 0.0  # between two changes of the list
    retry_last: float = BACKOFF_MAX_SECONDS  # longest wait after a failed call
    settle: float = 0.0  # before an empty list of the own zone is read again, at the start
