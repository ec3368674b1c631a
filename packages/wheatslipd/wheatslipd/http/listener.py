"""A listening socket that loses no connection when it is closed.

`asyncio.Server.close` discards the connections in the backlog, and those that were accepted but
have no transport yet: the system resets them, also if their callers have sent a request.
"""

import asyncio
import errno
import socket
import ssl
from collections.abc import Callable

from wheatslipd.http.bounds import BODY_SOCKET_BYTES, SEND_SOCKET_BYTES, UNSENT_BYTES
from wheatslipd.telemetry import logs

BACKLOG = 1024  # connections that wait to be accepted
MAX_ACCEPTS = 64  # in a row, so that a rush of connections does not hold up open ones
# After the process has run out of descriptors or memory.
ACCEPT_PAUSE_SECONDS = 1.0
_EXHAUSTED = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})


class Listener:
    """Listens on one address and creates a protocol for each connection."""

    def __init__(
        self, create_protocol: Callable[[], asyncio.BaseProtocol], tls: ssl.SSLContext | None
    ):
        self._create_protocol = create_protocol
        self._tls = tls
        self._socket: socket.socket | None = None
        self._resume_timer: asyncio.TimerHandle | None = None
        self._connecting: set[asyncio.Task[None]] = set()  # accepted, without transport yet
        self.port = 0

    async def open(self, host: str, port: int) -> None:
        """Listen; `port` 0 picks a free port. Raises OSError."""
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self._socket = socket.create_server((host, port), family=family, backlog=BACKLOG)
        self._socket.setblocking(False)
        # Accepted connections inherit these. The system would let buffers grow to megabytes.
        # The window that a connection may ever get is settled here.
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BODY_SOCKET_BYTES)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_SOCKET_BYTES)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, UNSENT_BYTES)
        self.port = self._socket.getsockname()[1]
        self._resume()

    async def close(self, timeout: float) -> None:
        """Accept all waiting connections, stop listening, and wait for their transports.

        Those that have none after `timeout` seconds, as in a TLS handshake, are closed.
        A connection that is made between the last accept and the close of the socket, some
        microseconds later, is reset.
        """
        if self._socket is None:
            return
        listening, self._socket = self._socket, None
        asyncio.get_running_loop().remove_reader(listening.fileno())
        if self._resume_timer is not None:
            self._resume_timer.cancel()
        with listening:
            while self._accept_one(listening):
                pass
        if self._connecting:
            _, late = await asyncio.wait(self._connecting, timeout=timeout)
            for task in late:
                task.cancel()

    def _resume(self) -> None:
        assert self._socket is not None
        loop = asyncio.get_running_loop()
        loop.add_reader(self._socket.fileno(), self._accept, self._socket)

    def _accept(self, listening: socket.socket) -> None:
        for _ in range(MAX_ACCEPTS):
            if not self._accept_one(listening):
                return

    def _accept_one(self, listening: socket.socket) -> bool:
        """Accept a connection; returns whether there may be another one."""
        try:
            accepted, _ = listening.accept()
        except (BlockingIOError, InterruptedError):
            return False
        except ConnectionAbortedError:
            return True
        except OSError as error:
            if error.errno not in _EXHAUSTED:
                raise
            self._pause(listening, error)
            return False
        accepted.setblocking(False)
        task = asyncio.get_running_loop().create_task(self._connect(accepted))
        self._connecting.add(task)
        task.add_done_callback(self._connecting.discard)
        return True

    def _pause(self, listening: socket.socket, error: OSError) -> None:
        logs.error("cannot-accept", port=self.port, error=repr(error), repeat_key=self.port)
        if self._socket is None:
            return
        loop = asyncio.get_running_loop()
        loop.remove_reader(listening.fileno())
        self._resume_timer = loop.call_later(ACCEPT_PAUSE_SECONDS, self._resume)

    async def _connect(self, accepted: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.connect_accepted_socket(self._create_protocol, accepted, ssl=self._tls)
        except OSError as error:  # the peer has gone, or its TLS handshake failed
            accepted.close()
            if self._tls is not None:
                logs.info("handshake-failed", port=self.port, error=repr(error), repeat_key="")
