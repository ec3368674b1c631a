"""Pool of client connections to one address."""

import asyncio
import ssl
from collections import deque

from wheatslipd.http.client import ClientConnection
from wheatslipd.http.matching import OnUnmatched, ignore_unmatched
from wheatslipd.timeouts import reply_timeout

MAX_IDLE_SECONDS = 30.0  # shorter than the server's `IDLE_TIMEOUT_SECONDS`


class ConnectionPool:
    """Connections to one address, reused in last-in, first-out order."""

    def __init__(
        self,
        host: str,
        port: int,
        limit: int,
        tls: ssl.SSLContext | None = None,
        name_header: bytes = b"",
        on_unmatched: OnUnmatched = ignore_unmatched,
    ):
        """`limit` bounds the number of open connections. `name_header` and `on_unmatched` are
        those of the connections' `ResponseMatcher`.
        """
        self._host = host
        self._port = port
        self.limit = limit
        self._tls = tls
        self._name_header = name_header
        self._on_unmatched = on_unmatched
        self._idle: deque[ClientConnection] = deque()
        self._open_count = 0
        self.opened_count = 0

    async def acquire(
        self, connect_timeout: float, max_idle_seconds: float = MAX_IDLE_SECONDS
    ) -> ClientConnection | None:
        """Return a connection ready for a request; None at the limit or if connecting fails.

        Connections that were idle for `max_idle_seconds` or longer are closed, not reused.
        """
        now = asyncio.get_running_loop().time()
        while self._idle:
            connection = self._idle.pop()
            connection.idle_seconds = now - connection.idle_since
            if connection.reusable and connection.idle_seconds < min(
                max_idle_seconds, MAX_IDLE_SECONDS
            ):
                return connection
            self._discard(connection)
        if self._open_count >= self.limit:
            return None
        return await self._connect(connect_timeout)

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
        return ClientConnection(self._name_header, self._on_unmatched)

    def _discard(self, connection: ClientConnection) -> None:
        self._open_count -= 1
        connection.abort()
