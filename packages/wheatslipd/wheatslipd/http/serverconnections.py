"""The open connections of a port: how many there may be, and which one makes room."""

import asyncio
from collections import deque
from collections.abc import Iterator
from enum import IntEnum
from math import inf
from operator import itemgetter
from typing import Generic, NamedTuple, Protocol, TypeVar

from wheatslipd.http.bounds import Closing, PortBounds
from wheatslipd.telemetry import logs

# Between two checks of how long connections take.
MAX_CHECK_SECONDS = 1.0
MIN_CHECK_SECONDS = 0.1
CHECKS_PER_LIMIT = 8  # of the shortest time that the bounds allow
# Turns of the event loop from accepting a connection to reading what it holds.
READ_TURNS = 4

# Between two log lines of the same cause: a crowd closes thousands of connections a second.
LOG_SECONDS = 10.0
FRESH_SECONDS = 1.0
VICTIMS_AT_ONCE = 32  # that are looked for together, as each look costs time


class Rank(IntEnum):
    """Which connections make room for others; the lowest go first."""

    DONE = 0  # its answer is sent, or not read
    WAITING = 1  # for its peer for `FRESH_SECONDS` or longer, or for a turn of long work
    FRESH = 2  # it has not sent a whole request yet
    FIRST = 3  # its first request waits for a turn
    KEPT = 4  # at rest between requests


class Expendability(NamedTuple):
    """A rank, and since when it holds, by the loop's clock."""

    rank: Rank
    since: float


class BoundedConnection(Protocol):
    """What is asked of a connection to enforce the bounds of its port."""

    def expendability(self, now: float) -> Expendability | None:
        """How readily it makes room for another; None while a request of it is served."""

    def check(self, now: float) -> None:
        """Close it if it takes longer than the bounds allow."""

    def crowd_out(self) -> None:
        """Close it, to make room for another."""

    def abort(self) -> None:
        """Close it at once."""


AnyConnection = TypeVar("AnyConnection", bound=BoundedConnection)


class OpenConnections(Generic[AnyConnection]):
    """The open connections of a port."""

    def __init__(self, bounds: PortBounds):
        self.bounds = bounds
        self.open: set[AnyConnection] = set()
        self.closings = bounds.closings
        self._logged_at: dict[Closing, float] = {}  # by the loop's clock
        self._victims: deque[AnyConnection] = deque()
        self._unproven: dict[AnyConnection, None] = {}  # the oldest first

    def add(self, connection: AnyConnection) -> None:
        """Add a new connection; at the most that there may be, another one makes room."""
        is_full = len(self.open) >= self.bounds.connections
        has_crowd = len(self._unproven) >= self.bounds.unproven
        if (is_full and not self._make_room()) or (
            has_crowd and not self._close_oldest_unproven()
        ):
            self.count(Closing.CROWDED)
            connection.abort()
            return
        self.open.add(connection)
        self._unproven[connection] = None

    def discard(self, connection: AnyConnection) -> None:
        self.open.discard(connection)
        self._unproven.pop(connection, None)

    def prove(self, connection: AnyConnection) -> None:
        """Record that a connection has carried what the port is for."""
        self._unproven.pop(connection, None)

    def is_proven(self, connection: AnyConnection) -> bool:
        """Whether a connection has carried what the port is for."""
        return connection not in self._unproven

    def count(self, closing: Closing) -> None:
        """Count a connection that was closed, or a request that was refused."""
        self.closings[closing] += 1
        if closing is Closing.IDLE:
            return  # calm callers rest for long, too
        now = asyncio.get_running_loop().time()
        if now - self._logged_at.get(closing, -inf) < LOG_SECONDS:
            return
        self._logged_at[closing] = now
        total = self.closings[closing]
        logs.info("caller-out-of-bounds", port=self.bounds.name, why=closing, total=total)

    def check(self) -> None:
        """Close the connections that take longer than the bounds allow."""
        now = asyncio.get_running_loop().time()
        for connection in list(self.open):
            connection.check(now)

    def _make_room(self) -> bool:
        now = asyncio.get_running_loop().time()
        if not self._victims:
            self._find_victims(now)
        while self._victims:
            victim = self._victims.popleft()
            if victim in self.open and victim.expendability(now) is not None:
                self._close_to_make_room(victim)
                return True
        return False

    def _close_oldest_unproven(self) -> bool:
        """Close the oldest unproven connection that has no request in progress."""
        now = asyncio.get_running_loop().time()
        for connection in self._unproven:
            if connection.expendability(now) is not None:
                self._close_to_make_room(connection)
                return True
        return False

    def _close_to_make_room(self, victim: AnyConnection) -> None:
        self.count(Closing.CROWDED_OUT)
        self.discard(victim)
        victim.crowd_out()

    def _find_victims(self, now: float) -> None:
        expendable = sorted(self._expendable(now), key=itemgetter(0))
        self._victims.extend(connection for _, connection in expendable[:VICTIMS_AT_ONCE])

    def _expendable(self, now: float) -> Iterator[tuple[Expendability, AnyConnection]]:
        for connection in self.open:
            expendability = connection.expendability(now)
            if expendability is not None:
                yield expendability, connection


class CheckTask(Generic[AnyConnection]):
    """Checks the connections of a port again and again while it listens."""

    def __init__(self, connections: OpenConnections[AnyConnection]):
        self._connections = connections
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        self._task = asyncio.get_running_loop().create_task(self._run())

    def stop(self) -> None:
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        while True:
            limits = self._connections.bounds.limits()
            shortest = min(limits.head_seconds, limits.idle_seconds) / CHECKS_PER_LIMIT
            await asyncio.sleep(max(MIN_CHECK_SECONDS, min(shortest, MAX_CHECK_SECONDS)))
            await read_arrived()
            self._connections.check()


async def read_arrived() -> None:
    """Let the event loop read what is in the sockets.

    After the loop was held up, timers may run before the sockets are read.
    """
    for _ in range(READ_TURNS):
        await asyncio.sleep(0)
