"""HTTP/1.1 server that passes the requests of each connection to a handler in order.

A planned stop answers all requests that reached this machine before the listening socket was
closed, and announces the close in these answers.
"""

import asyncio
import ssl
from math import inf

from wheatslipd.http.bounds import PortBounds
from wheatslipd.http.listener import Listener
from wheatslipd.http.serverconnection import Handler, ServerConnection, ServerConnections
from wheatslipd.http.serverconnections import CheckTask, read_arrived
from wheatslipd.telemetry import logs

STOP_CHECK_SECONDS = 0.02  # between two checks for requests in flight during a stop
# For which closed connections are still read at the end of a stop.
STOP_LINGER_SECONDS = 0.25


class Server:
    """A listening socket and its open connections."""

    def __init__(
        self,
        handler: Handler,
        tls: ssl.SSLContext | None = None,
        bounds: PortBounds | None = None,
    ):
        """Without `bounds` the defaults of `PortBounds` apply."""
        self._handler = handler
        self.connections = ServerConnections(bounds or PortBounds())
        self._listener = Listener(self._create_connection, tls)
        self._check = CheckTask(self.connections)
        self._deadline = inf  # of a stop, by the loop's clock

    @property
    def port(self) -> int:
        """The port on which the server listens; 0 before that."""
        return self._listener.port

    async def listen(self, host: str, port: int) -> None:
        """Listen; `port` 0 picks a free port. Raises OSError."""
        await self._listener.open(host, port)
        self._check.start()

    @property
    def open_connections(self) -> int:
        """Number of open connections."""
        return len(self.connections.open)

    def announce_stop(self) -> None:
        """Announce in each response from now on that its connection closes."""
        self.connections.is_stopping = True

    async def drain(self, grace: float) -> None:
        """Stop listening, and wait up to `grace` seconds until all that arrived is answered.

        Open connections are still served until `close`.
        """
        loop = asyncio.get_running_loop()
        self._deadline = loop.time() + grace
        self.announce_stop()
        self._check.stop()
        await self._listener.close(grace)
        self.connections.quiet_from = loop.time()
        await self._wait_until_quiet()

    async def close(self) -> bool:
        """Close all connections, after the grace of `drain` if requests are still in flight.

        Returns whether all were answered. One that was not gets a last answer: that it may have
        run, or that its head did not arrive.
        """
        await self._wait_until_quiet()
        all_finished = all(connection.is_idle for connection in self.connections.open)
        for connection in list(self.connections.open):
            connection.end()
        loop = asyncio.get_running_loop()
        deadline = loop.time() + STOP_LINGER_SECONDS
        while self.connections.open and loop.time() < deadline:
            await asyncio.sleep(STOP_CHECK_SECONDS)
        if self.connections.crossed:
            logs.warning("stop-crossed-by-requests", connections=self.connections.crossed)
        return all_finished

    async def stop(self, grace: float) -> bool:
        """Drain and close. With a `grace` of 0 all connections are closed at once.

        Returns whether all requests were answered.
        """
        await self.drain(grace)
        return await self.close() if grace > 0 else self._close_at_once()

    async def abort(self) -> None:
        """Stop listening and close all connections at once, as if the process had ended."""
        await self.drain(0.0)
        for connection in list(self.connections.open):
            connection.abort()

    def _create_connection(self) -> ServerConnection:
        return ServerConnection(self._handler, self.connections)

    async def _wait_until_quiet(self) -> None:
        loop = asyncio.get_running_loop()
        await read_arrived()
        while loop.time() < self._deadline:
            now = loop.time()
            if all(connection.is_quiet(now) for connection in self.connections.open):
                return
            await asyncio.sleep(STOP_CHECK_SECONDS)
            await read_arrived()

    def _close_at_once(self) -> bool:
        all_finished = all(connection.is_idle for connection in self.connections.open)
        for connection in list(self.connections.open):
            if connection.transport is not None:
                connection.transport.close()
        return all_finished
