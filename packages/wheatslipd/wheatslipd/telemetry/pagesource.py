"""What the operators' pages show, asked for in the daemon's loop."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

import msgspec

T = TypeVar("T")

ASK_TIMEOUT = 2.0  # seconds that a page waits for the daemon's loop


class HeldRequest(msgspec.Struct, frozen=True):
    """A request that is refused because servers ended whenever they ran it."""

    fingerprint: str
    service: str
    last_end: float  # unix seconds
    held_for: float  # seconds from now, if no other server ends


class Status(msgspec.Struct, frozen=True):
    """What the status page shows, as JSON."""

    name: str
    zone: str
    pool: str
    entry_port: int
    peer_port: int
    version: int
    ready: bool
    draining: bool
    in_flight: int
    queued: int
    limit: int
    members: int
    platform_calls: int
    watches: bool
    parent: str  # the daemon that is followed; empty: none
    head_age: float | None  # seconds, see `Feed.head_age`
    emptied_zones: tuple[str, ...]  # zones with a drain, as far as known here
    cold: bool  # the backend server is cold and its starts are spaced
    followers: int
    relay_bytes: int
    held_requests: tuple[HeldRequest, ...]
    suspects: int  # requests that something is held against, the held ones among them


@dataclass(slots=True)
class PageSource:
    """Where the pages get their content; called in the daemon's loop."""

    loop: asyncio.AbstractEventLoop
    status: Callable[[], Status]
    metrics: Callable[[], bytes]
    # Lets a held request run again; whether it was held. Takes its fingerprint.
    lift: Callable[[str], bool] = lambda fingerprint: False

    def ask(self, read: Callable[[], T]) -> T:
        """Call `read` in the daemon's loop; returns its result. Raises TimeoutError."""

        async def call() -> T:
            return read()

        return asyncio.run_coroutine_threadsafe(call(), self.loop).result(ASK_TIMEOUT)
