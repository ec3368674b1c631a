"""A backend server stand-in that ends when it runs certain requests, and comes back."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Protocol

from wheatslipd.http.exchange import Exchange
from wheatslipd.http.server import Server

HOST = "127.0.0.1"
MOST_BODY_BYTES = 1 << 24


class HasServer(Protocol):
    """A stand-in of a backend server."""

    server: Server

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request."""


async def _nothing() -> None:
    pass


@dataclass(slots=True)
class EndingServer:
    """Makes a stand-in end `run_seconds` after it has begun to run a request of a target in
    `fatal`; it is back at its port `down_seconds` later. Takes the place of the stand-in's
    server, before that listens.
    """

    stand_in: HasServer
    fatal: set[str]
    run_seconds: float = 0.03
    down_seconds: float = 0.4
    on_back: Callable[[], Awaitable[None]] = _nothing  # called when it listens again
    began: list[float] = field(default_factory=list)  # fatal runs; the loop's times
    ends: list[float] = field(default_factory=list)  # the loop's times
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)
    _is_down: bool = False

    def __post_init__(self) -> None:
        self.stand_in.server = Server(self.handle)

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request, or end of it."""
        if exchange.head.target.decode() not in self.fatal:
            await self.stand_in.handle(exchange)
            return
        await exchange.send_continue()
        await exchange.body.read_up_to(MOST_BODY_BYTES)
        self.began.append(asyncio.get_running_loop().time())
        await asyncio.sleep(self.run_seconds)
        self.end()
        await asyncio.Event().wait()

    def end(self) -> None:
        """End now, whatever runs, and come back later."""
        if self._is_down:
            return
        self._is_down = True
        self.ends.append(asyncio.get_running_loop().time())
        task = asyncio.get_running_loop().create_task(self._end())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _end(self) -> None:
        gone = self.stand_in.server
        connections = list(gone._connections)
        await gone.stop(0.0)
        for connection in connections:
            connection.abort()
        await asyncio.sleep(self.down_seconds)
        self.stand_in.server = Server(self.handle)
        await self.stand_in.server.listen(HOST, gone.port)
        self._is_down = False
        await self.on_back()
