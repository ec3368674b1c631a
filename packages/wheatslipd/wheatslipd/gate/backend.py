"""HTTP client of the local backend server: its connection pool and sending of one request."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from wheatslip.idlelimit import IdleLimit
from wheatslip.outcome import NotRun, Reason, Unknown
from wheatslip.retryafter import NO_CONNECTION

from wheatslipd.http.body import Body, BodyTruncated
from wheatslipd.http.client import ClientConnection, Response
from wheatslipd.http.connectcheck import check_connection
from wheatslipd.http.matching import UNNAMED, Naming, OnUnmatched, Question, ignore_unmatched
from wheatslipd.http.messages import RequestHead
from wheatslipd.http.pool import ConnectionPool
from wheatslipd.telemetry import logs

# Methods whose requests carry no Content-Length header if their body is empty.
METHODS_WITHOUT_CONTENT = frozenset({b"GET", b"HEAD"})


@dataclass(slots=True, eq=False)
class BackendAnswer:
    """A response whose head has arrived.

    Pass it to `Backend.release` once its body has been read or is no longer wanted.
    """

    response: Response
    connection: ClientConnection


class Backend:
    """Sends requests to the local backend server."""

    def __init__(
        self,
        address: str,
        port: int,
        connections: int,
        connect_timeout: float,
        naming: Naming = UNNAMED,
        on_unmatched: OnUnmatched = ignore_unmatched,
    ):
        """`connections` limits the open connections; `connect_timeout` is in seconds."""
        self._address = address
        self._port = port
        self._pool = ConnectionPool(
            address, port, connections, naming=naming, on_unmatched=on_unmatched
        )
        self._connect_timeout = connect_timeout
        self._idle_limit = IdleLimit()

    async def send(
        self,
        head: RequestHead,
        body: Body,
        question: Question,
        connect_timeout: float = 0.0,
        on_connected: Callable[[], None] = lambda: None,
    ) -> BackendAnswer | NotRun | Unknown:
        """Send a request. `NotRun` guarantees that no byte of it reached the server.

        `question` decides which response is taken for it. `connect_timeout` (seconds) raises
        the default connect timeout. `on_connected` is called before the first byte is sent.
        The outcome is "cancelled" if the rest of the body does not come, which says nothing of
        the server.
        """
        now = asyncio.get_running_loop().time()
        timeout = max(self._connect_timeout, connect_timeout)
        connection = await self._pool.acquire(timeout, self._idle_limit.max_idle(now), question)
        if connection is None:
            return NO_CONNECTION
        on_connected()
        try:
            await self._send_request(connection, head, body)
            return BackendAnswer(await connection.response(), connection)
        except ConnectionError:
            self._idle_limit.on_reset(connection.idle_seconds, now)
            self._pool.release(connection)
            return Unknown(Reason.CONNECTION_LOST)
        except BodyTruncated:
            self._pool.release(connection)
            return Unknown(Reason.CANCELLED)
        except BaseException:
            self._pool.release(connection)
            raise

    async def refuses_connections(self) -> bool:
        """Whether the server's port is closed, which means that its process has ended."""
        try:
            await check_connection(
                self._address, self._port, self._connect_timeout, "backend-connection"
            )
        except ConnectionRefusedError:
            return True
        except (OSError, TimeoutError) as error:
            # Only a refused connection proves that the port is closed.
            logs.debug("backend-check-failed", error=type(error).__name__)
        return False

    def set_connection_limit(self, connections: int) -> None:
        """Change the connection limit; connections already open above it stay in use."""
        self._pool.limit = connections

    @property
    def connections(self) -> int:
        """The maximum number of open connections."""
        return self._pool.limit

    def release(self, answer: BackendAnswer) -> None:
        """Return the connection to the pool; it closes if the body was not read completely."""
        self._pool.release(answer.connection)

    def close(self) -> None:
        """Close idle connections."""
        self._pool.close()

    async def _send_request(
        self, connection: ClientConnection, head: RequestHead, body: Body
    ) -> None:
        if body.complete:
            content = await body.read_up_to(body.buffered_bytes + 1)
            if content or head.method not in METHODS_WITHOUT_CONTENT:
                head.headers.append((b"content-length", b"%d" % len(content)))
            await connection.start_with_body(head, content)
            return
        await connection.start(head)
        async for chunk in body.chunks():
            await connection.write(chunk)
        await connection.finish()
