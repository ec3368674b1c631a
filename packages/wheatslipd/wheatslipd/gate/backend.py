"""The way to the local backend server: its connections and one request on one of them."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from wheatslip.outcome import NotRun, Reason, Unknown
from wheatslip.resting import RestLimit
from wheatslip.retryafter import NO_CONNECTION

from wheatslipd.http.body import Body, BodyTruncated
from wheatslipd.http.client import ClientConnection, Response
from wheatslipd.http.messages import RequestHead
from wheatslipd.http.pool import ConnectionPool
from wheatslipd.telemetry import logs

NO_LENGTH = frozenset({b"GET", b"HEAD"})


@dataclass(slots=True, eq=False)
class BackendAnswer:
    """An answer that has begun; `release` must be called when it is read or given up."""

    response: Response
    connection: ClientConnection


class Backend:
    """The local backend server."""

    def __init__(self, address: str, port: int, connections: int, connect_timeout: float):
        """`connections` bounds those open at one time; `connect_timeout` in seconds."""
        self._address = address
        self._port = port
        self._pool = ConnectionPool(address, port, connections)
        self._connect_timeout = connect_timeout
        self._resting = RestLimit()

    async def send(
        self,
        head: RequestHead,
        body: Body,
        echo: tuple[bytes, bytes] | None = None,
        connect_timeout: float = 0.0,
        on_connected: Callable[[], None] = lambda: None,
    ) -> BackendAnswer | NotRun | Unknown:
        """Send a request; `NotRun` if surely nothing of it reached the server.

        `echo` is the header, with its value, by which its answer is known from a surplus one;
        `connect_timeout` the seconds that a connection may take, if more than usual;
        `on_connected` is called before the first byte is sent.
        """
        now = asyncio.get_running_loop().time()
        timeout = max(self._connect_timeout, connect_timeout)
        connection = await self._pool.acquire(timeout, self._resting.trusted(now))
        if connection is None:
            return NO_CONNECTION
        on_connected()
        if echo is not None:
            connection.expect_echo(*echo)
        try:
            await self._send_request(connection, head, body)
            return BackendAnswer(await connection.response(), connection)
        except ConnectionError:
            self._resting.on_reset(connection.idle_seconds, now)
            self._pool.release(connection)
            return Unknown(Reason.CONNECTION_LOST)
        except BodyTruncated:
            self._pool.release(connection)
            return Unknown(Reason.CONNECTION_LOST)
        except BaseException:
            self._pool.release(connection)
            raise

    async def refuses_connections(self) -> bool:
        """Whether nothing listens at the server's address: its process has ended."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self._connect_timeout):
                transport, _ = await loop.create_connection(
                    asyncio.Protocol, self._address, self._port
                )
        except ConnectionRefusedError:
            return True
        except (OSError, TimeoutError) as error:
            # Nothing is known then; only a refusal says that the port is closed.
            logs.debug("backend-check-failed", error=type(error).__name__)
            return False
        transport.abort()
        return False

    def bound_connections(self, connections: int) -> None:
        """Take a new bound; connections that are open beyond it are used up."""
        self._pool.limit = connections

    @property
    def connections(self) -> int:
        """The bound of the connections open at one time."""
        return self._pool.limit

    def release(self, answer: BackendAnswer) -> None:
        """Keep the answer's connection if it was read to the end, close it otherwise."""
        self._pool.release(answer.connection)

    def close(self) -> None:
        """Close the idle connections."""
        self._pool.close()

    async def _send_request(
        self, connection: ClientConnection, head: RequestHead, body: Body
    ) -> None:
        if body.complete:
            whole = await body.read_up_to(body.buffered_bytes + 1)
            if whole or head.method not in NO_LENGTH:
                head.headers.append((b"content-length", b"%d" % len(whole)))
            await connection.start_with_body(head, whole)
            return
        await connection.start(head)
        async for chunk in body.chunks():
            await connection.write(chunk)
        await connection.finish()
