"""What the reads and the watches of the platform have in common."""

from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from random import Random

from wheatslip.store.backoff import Backoff
from wheatslip.store.objects import Listing, ObjectStore, Unavailable, follow

from wheatslipd.feed.feedpace import FeedPace
from wheatslipd.feed.intake import Intake
from wheatslipd.telemetry import logs


def log_trouble(trouble: Unavailable) -> None:
    """Log a call that was not answered; repeats of one call make one line in 10 s."""
    key = f"platform {trouble.call}"
    logs.warning("platform-unavailable", detail=trouble.detail, repeat_key=key)


@dataclass(frozen=True, slots=True)
class PlatformAccess:
    """How one daemon calls the platform, and the intake that gets the answers."""

    store: ObjectStore
    intake: Intake
    pace: FeedPace
    rng: Random

    def backoff(self) -> Backoff:
        """The waits between the tries of one call."""
        return Backoff(self.rng, last=self.pace.retry_last)

    def changes(
        self,
        kind: str,
        on_trouble: Callable[[Unavailable], None],
        *,
        wait: float,
        since: int | None,
        pause: float = 0.0,
        slower: float = 1.0,
    ) -> AsyncIterator[Listing]:
        """Watch a kind of objects, see `follow`.

        `slower` is a factor on the longest wait between two tries.
        """
        last = slower * self.pace.retry_last
        return follow(self.store, kind, self.rng, on_trouble, wait, pause, last, since)
