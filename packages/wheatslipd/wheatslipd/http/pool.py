"""The kept connections to one address."""

import asyncio
import ssl
from collections import deque

from wheatslipd.http.client import ClientConnection

# Seconds; shorter than a server's, so that we rarely write to a connection that it closes.
IDLE_SECONDS = 30.0


class ConnectionPool:
    """Connections to one address, the one used last first."""

    def __init__(self, host: str, port: int, limit: int, tls: ssl.SSLContext | None = None):
        """`limit` bounds the connections open at one time."""
        self._host = host
        self._port = port
        self.limit = limit
        self._tls = tls
        self._idle: deque[ClientConnection] = deque()
        self._open = 0
        self.opened = 0

    async def take(
        self, connect_timeout: float, longest_rest: float = IDLE_SECONDS
    ) -> ClientConnection | None:
        """A connection ready for a request; None if none can be had, so nothing was sent.

        One that was idle for `longest_rest` seconds or more is closed instead of used.
        """
        now = asyncio.get_running_loop().time()
        while self._idle:
            connection = self._idle.pop()
            connection.rested = now - connection.idle_since
            if connection.reusable and connection.rested < min(longest_rest, IDLE_SECONDS):
                return connection
            self._discard(connection)
        if self._open >= self.limit:
            return None
        return await self._connect(connect_timeout)

    def give_back(self, connection: ClientConnection) -> None:
        """Keep the connection if it may be used again, close it otherwise.

        Where one timed out the idle ones most likely would, and each would cost a request: they
        are closed with it.
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
        self._open += 1
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout):
                _, connection = await loop.create_connection(
                    ClientConnection, self._host, self._port, ssl=self._tls
                )
        except (OSError, TimeoutError):
            self._open -= 1
            return None
        except BaseException:
            self._open -= 1
            raise
        self.opened += 1
        return connection

    def _discard(self, connection: ClientConnection) -> None:
        self._open -= 1
        connection.abort()
