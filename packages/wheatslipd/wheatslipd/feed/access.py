"""Access to the platform, shared by single reads and watches."""

import time
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from random import Random

from wheatslip.store.backoff import Backoff
from wheatslip.store.objects import Listing, ObjectStore, Unavailable, follow

from wheatslipd.feed.cachewriter import CacheWriter
from wheatslipd.feed.feedsettings import FeedSettings
from wheatslipd.telemetry import logs


def log_unavailable(unavailable: Unavailable) -> None:
    """Log a failed call; repeated failures of the same call are logged once every 10 s."""
    key = f"platform {unavailable.call}"
    logs.warning("platform-unavailable", detail=unavailable.detail, repeat_key=key)


@dataclass(frozen=True, slots=True)
class PlatformAccess:
    """The platform's object store, the settings for calls to it, and the cache writer."""

    store: ObjectStore
    cache_writer: CacheWriter
    settings: FeedSettings
    rng: Random
    monotonic: Callable[[], float] = time.monotonic  # in seconds

    def backoff(self) -> Backoff:
        """Return the backoff between the attempts of one call."""
        return Backoff(self.rng, last=self.settings.retry_last)

    def changes(
        self,
        kind: str,
        on_unavailable: Callable[[Unavailable], None],
        *,
        wait: float,
        since: int | None,
        pause: float = 0.0,
        backoff_factor: float = 1.0,
    ) -> AsyncIterator[Listing]:
        """Watch objects of one kind, see `follow`.

        `backoff_factor` multiplies the longest backoff between two attempts.
        """
        last = backoff_factor * self.settings.retry_last
        return follow(self.store, kind, self.rng, on_unavailable, wait, pause, last, since)
