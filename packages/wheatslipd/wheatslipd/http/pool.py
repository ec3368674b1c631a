"""Pool of client connections to one address."""

import asyncio
import ssl
from collections import deque

from wheatslipd.http.client import ClientConnection
from wheatslipd.http.matching import (
    UNNAMED,
    UNNAMED_REQUEST,
    Naming,
    OnUnmatched,
    Question,
    ignore_unmatched,
)
from wheatslipd.timeouts import reply_timeout

MAX_IDLE_SECONDS = 30.0  # shorter than `bounds.PEER_IDLE_SECONDS`


class ConnectionPool:
    """Connections to one address, reused in last-in, first-out order."""

    def __init__(
        self,
        host: str,
        port: int,
        limit: int,
        tls: ssl.SSLContext | None = None,
        naming: Naming = UNNAMED,
        on_unmatched: OnUnmatched = ignore_unmatched,
    ):
        """`limit` bounds the number of open connections."""
        self._host = host
        self._port = port
        self.limit = limit
        self._tls = tls
        self._naming = naming
        self._on_unmatched = on_unmatched
        self._idle: deque[ClientConnection] = deque()
        self._open_count = 0
        self.opened_count = 0

    async def acquire(
        self,
        connect_timeout: float,
        max_idle_seconds: float = MAX_IDLE_SECONDS,
        question: Question = UNNAMED_REQUEST,
    ) -> ClientConnection | None:
        """Return a connection ready for `question`; None at the limit or if connecting fails.

        Connections that were idle for `max_idle_seconds` or longer are closed, not reused.
        """
        connection = self._take_idle(question, min(max_idle_seconds, MAX_IDLE_SECONDS))
        if connection is None:
            connection = await self._open(connect_timeout)
        if connection is not None:
            connection.expect(question)
        return connection

    def _take_idle(
        self, question: Question, max_idle_seconds: float
    ) -> ClientConnection | None:
        """Take the connection used last that may carry `question`; close unusable ones."""
        now = asyncio.get_running_loop().time()
        passed_over: list[ClientConnection] = []
        taken = None
        while taken is None and self._idle:
            connection = self._idle.pop()
            connection.idle_seconds = now - connection.idle_since
            if not connection.reusable or connection.idle_seconds >= max_idle_seconds:
                self._discard(connection)
            elif connection.may_carry(question):
                taken = connection
            else:
                passed_over.append(connection)
        self._idle.extend(reversed(passed_over))
        return taken

    def release(self, connection: ClientConnection) -> None:
        """Keep the connection if it is reusable, close it otherwise.

        If it timed out, the idle connections are closed too, because they would probably time
        out with the next requests.
        """
        if not connection.reusable:
            self._discard(connection)
            if connection.timed_out:
                self.close()
            return
        connection.idle_since = asyncio.get_running_loop().time()
        self._idle.append(connection)

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._discard(self._idle.pop())

    async def _open(self, timeout: float) -> ClientConnection | None:
        if self._open_count >= self.limit and self._idle:
            self._discard(self._idle.popleft())  # none of these may carry the question
        if self._open_count >= self.limit:
            return None
        return await self._connect(timeout)

    async def _connect(self, timeout: float) -> ClientConnection | None:
        self._open_count += 1
        loop = asyncio.get_running_loop()
        try:
            async with reply_timeout(timeout, "connection"):
                _, connection = await loop.create_connection(
                    self._make_connection, self._host, self._port, ssl=self._tls
                )
        except (OSError, TimeoutError):
            self._open_count -= 1
            return None
        except BaseException:
            self._open_count -= 1
            raise
        self.opened_count += 1
        return connection

    def _make_connection(self) -> ClientConnection:
        return ClientConnection(self._naming, self._on_unmatched)

    def _discard(self, connection: ClientConnection) -> None:
        self._open_count -= 1
        connection.abort()
