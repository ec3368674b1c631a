"""Makes a stand-in for a backend server end on certain requests and restart."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Protocol

from wheatslipd.http.exchange import Exchange
from wheatslipd.http.server import Server

HOST = "127.0.0.1"
MAX_BODY_BYTES = 1 << 24


class ServerStandIn(Protocol):
    """A stand-in for a backend server."""

    server: Server

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request."""


async def _do_nothing() -> None:
    pass


@dataclass(slots=True)
class EndingServer:
    """Ends a stand-in `run_seconds` after the start of a request whose target is in `fatal`.

    The stand-in listens on its port again `down_seconds` later. Create it before the stand-in's
    server listens, because it replaces that server.
    """

    stand_in: ServerStandIn
    fatal: set[str]
    run_seconds: float = 0.03
    down_seconds: float = 0.4
    on_restart: Callable[[], Awaitable[None]] = _do_nothing  # called when it listens again
    # Starts of fatal requests, and ends; on the loop's clock.
    fatal_run_times: list[float] = field(default_factory=list)
    ends: list[float] = field(default_factory=list)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)
    _is_down: bool = False

    def __post_init__(self) -> None:
        self.stand_in.server = Server(self.handle)

    async def handle(self, exchange: Exchange) -> None:
        """Handle one request, or end the stand-in if its target is fatal."""
        if exchange.head.target.decode() not in self.fatal:
            await self.stand_in.handle(exchange)
            return
        await exchange.send_continue()
        await exchange.body.read_up_to(MAX_BODY_BYTES)
        self.fatal_run_times.append(asyncio.get_running_loop().time())
        await asyncio.sleep(self.run_seconds)
        self.end()
        await asyncio.Event().wait()

    def end(self) -> None:
        """End the stand-in at once, with its requests in flight; it restarts later."""
        if self._is_down:
            return
        self._is_down = True
        self.ends.append(asyncio.get_running_loop().time())
        task = asyncio.get_running_loop().create_task(self._restart())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _restart(self) -> None:
        ended_server = self.stand_in.server
        await ended_server.abort()
        await asyncio.sleep(self.down_seconds)
        self.stand_in.server = Server(self.handle)
        await self.stand_in.server.listen(HOST, ended_server.port)
        self._is_down = False
        await self.on_restart()
