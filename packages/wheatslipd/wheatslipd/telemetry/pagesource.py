"""What the operators' pages show, asked for in the daemon's loop."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

ASK_TIMEOUT = 2.0  # seconds that a page waits for the daemon's loop; chosen, not measured


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


@dataclass(slots=True)
class PageSource:
    """Where the pages get their content; called in the daemon's loop."""

    loop: asyncio.AbstractEventLoop
    status: Callable[[], Status]
    metrics: Callable[[], bytes]

    def ask(self, what: Callable[[], Status] | Callable[[], bytes]) -> Status | bytes:
        """Call `what` in the daemon's loop and wait for it."""

        async def call() -> Status | bytes:
            return what()

        return asyncio.run_coroutine_threadsafe(call(), self.loop).result(ASK_TIMEOUT)
