"""Interface to the platform's versioned objects: reads, conditional updates and watches.

`ObjectClient` implements it for the platform's object API. Embedders may supply another store.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from random import Random
from typing import Protocol

import msgspec
from result import Err, Ok, Result

from wheatslip.store.backoff import BACKOFF_MAX_SECONDS, Backoff

WATCH_SECONDS = 5.0  # longest wait of a watch; an empty listing then confirms the version


class StoredObject(msgspec.Struct, frozen=True):
    """An object as stored. `version` increases with every change of any object of its kind."""

    kind: str
    name: str
    version: int
    value: msgspec.Raw
    write_id: str = ""
    deleted: bool = False


class Listing(msgspec.Struct, frozen=True):
    """Objects of one kind, and the version up to which the listing is complete.

    `whole`: the listing has all objects, not only the changed ones. `stale`: the platform may
    already have acknowledged later changes.
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
    """The platform did not answer in time or failed; a write may have taken effect.

    `call` is the method and path of the call, without the query; all its retries share it.
    """

    detail: str
    call: str = ""


@dataclass(frozen=True, slots=True)
class TooOld:
    """The platform no longer keeps the changes since that version: list again."""


ReadError = Unavailable | TooOld
WriteError = Conflict | Unavailable


class ObjectStore(Protocol):
    """Access to the platform's objects. `calls` counts the calls to the platform.

    `stale_ok`: the result may be several seconds old. Some platforms serve stale reads at a
    lower cost; a store may ignore the flag.
    """

    calls: int

    async def close(self) -> None:
        """Closes the connections."""

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
        """Writes an object if its version is `expected` (0: it does not exist yet)."""

    async def delete(self, kind: str, name: str, expected: int) -> Result[None, WriteError]:
        """Deletes an object if its version is `expected`."""


async def follow(
    client: ObjectStore,
    kind: str,
    rng: Random,
    on_error: Callable[[Unavailable], None] = lambda error: None,
    wait: float = WATCH_SECONDS,
    pause: float = 0.0,
    backoff_last: float = BACKOFF_MAX_SECONDS,
    since: int | None = None,
) -> AsyncIterator[Listing]:
    """Yields a full listing of a kind, then its changes without gaps.

    When the platform no longer keeps the version, the full listing is yielded again. After each
    change it sleeps for `pause` seconds, so that the next listing combines several changes.
    `since` is the version of a listing that the caller already has: the first listing has the
    changes since then and is yielded without a wait.
    """
    backoff = Backoff(rng, last=backoff_last)
    version = since
    # After a failure the next watch returns at once, so that a recovery of the platform is
    # detected without waiting for a change.
    next_wait = wait if since is None else 0.0
    while True:
        if version is None:
            answer: Result[Listing, ReadError] = await client.list(kind)
        else:
            answer = await client.changes(kind, version, next_wait)
        match answer:
            case Ok(listing):
                backoff.reset()
                next_wait = wait
                version = listing.version
                yield listing
                if listing.items:
                    await asyncio.sleep(pause)
            case Err(TooOld()):
                version = None
            case Err(Unavailable() as error):
                on_error(error)
                next_wait = 0.0
                await asyncio.sleep(backoff.next())
