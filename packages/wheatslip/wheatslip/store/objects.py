"""The platform's objects: versions, conditional updates and watches, whatever store keeps them.

`ObjectClient` speaks to the platform's object API; an embedder may put another store in its
place.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from random import Random
from typing import Protocol

import msgspec
from result import Err, Ok, Result

from wheatslip.store.backoff import BACKOFF_LAST, Backoff

# Seconds that one watch waits, so also how often a quiet one confirms that nothing has changed.
WATCH_SECONDS = 5.0


class StoredObject(msgspec.Struct, frozen=True):
    """An object as the platform keeps it. `version` grows with every change of its kind."""

    kind: str
    name: str
    version: int
    value: msgspec.Raw
    write_id: str = ""
    deleted: bool = False


class Listing(msgspec.Struct, frozen=True):
    """Objects of one kind, and the version up to which the listing is complete.

    `whole`: these are all objects there are, rather than what has changed. `stale`: the
    platform may have acknowledged later changes already.
    """

    version: int
    items: tuple[StoredObject, ...] = ()
    whole: bool = False
    stale: bool = False


@dataclass(frozen=True, slots=True)
class Conflict:
    """The object is not at the expected version; `current` is None if there is none."""

    current: StoredObject | None


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The platform did not answer, or not in time; a write may have taken effect.

    `call` names what was asked, alike for all tries of it.
    """

    detail: str
    call: str = ""


@dataclass(frozen=True, slots=True)
class TooOld:
    """The watch's version is no longer kept: list again."""


ReadError = Unavailable | TooOld
WriteError = Conflict | Unavailable


class ObjectStore(Protocol):
    """The platform's objects as the tasks here see them: the port for other stores.

    `stale_ok`: an answer that is seconds old will do. Some platforms give those cheaply; others
    may answer as to any read.
    """

    calls: int

    async def close(self) -> None:
        """Close the connections."""

    async def get(
        self, kind: str, name: str, *, stale_ok: bool = False
    ) -> Result[StoredObject | None, Unavailable]:
        """One object, or None if it does not exist."""

    async def list(self, kind: str, *, stale_ok: bool = False) -> Result[Listing, Unavailable]:
        """All objects of a kind."""

    async def changes(self, kind: str, since: int, wait: float) -> Result[Listing, ReadError]:
        """Objects of a kind changed after version `since`; waits up to `wait` seconds."""

    async def put(
        self, kind: str, name: str, value: object, expected: int
    ) -> Result[StoredObject, WriteError]:
        """Write an object that stands at version `expected` (0: does not exist yet)."""

    async def delete(self, kind: str, name: str, expected: int) -> Result[None, WriteError]:
        """Remove an object that stands at version `expected`."""


async def follow(
    client: ObjectStore,
    kind: str,
    rng: Random,
    on_trouble: Callable[[Unavailable], None] = lambda trouble: None,
    wait: float = WATCH_SECONDS,
    pause: float = 0.0,
    backoff_last: float = BACKOFF_LAST,
    since: int | None = None,
) -> AsyncIterator[Listing]:
    """Every state of a kind from now on without a gap: a full listing, then changes.

    When the platform does not keep the version any more it lists again. After each change it
    rests for `pause` seconds, so that many changes come as one. With `since` the listing of
    that version is known already, and what has changed since comes without a wait.
    """
    backoff = Backoff(rng, last=backoff_last)
    version = since
    # After a failure the next watch does not wait for changes: its answer shows at once that
    # the platform is back.
    wait_now = wait if since is None else 0.0
    while True:
        if version is None:
            answer: Result[Listing, ReadError] = await client.list(kind)
        else:
            answer = await client.changes(kind, version, wait_now)
        match answer:
            case Ok(listing):
                backoff.reset()
                wait_now = wait
                version = listing.version
                yield listing
                if listing.items:
                    await asyncio.sleep(pause)
            case Err(TooOld()):
                version = None
            case Err(Unavailable() as trouble):
                on_trouble(trouble)
                wait_now = 0.0
                await asyncio.sleep(backoff.next())
