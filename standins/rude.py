"""A crowd of clients that do not behave, for tests and the soak.

Run as a process of its own, it opens connections to one address, plays one kind of `Conduct` on
each of them until the time is over, and opens a new one for each that was closed. It prints
what it did as JSON.
"""

import argparse
import asyncio
import socket
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from enum import StrEnum
from itertools import count

import msgspec

from standins.cluster import StartedProcess

RECONNECT_SECONDS = 0.05  # from the end of a connection to the next one
CONNECT_TIMEOUT_SECONDS = 5.0
CONNECTS_PER_TURN = 50  # so that the crowd does not come in a single burst of SYN packets
TURN_SECONDS = 0.01
BLOCK = b"x" * 65536
LEGAL_BODY_BYTES = 64 * 1024 * 1024
FAR_OVER_LIMIT_BYTES = 1 << 40
PIECE_BYTES = 64
TRICKLE_SECONDS = 0.25  # between two bytes of a slow client
TINY_CHUNK = b"2\r\nab\r\n"
FIELDS_HEAD_BYTES = 15_000  # below the usual limit of 16 KiB
REQUESTS_AHEAD = 200  # in one write
SMALL_BUFFER_BYTES = 1  # for answers; the system takes its smallest


class Conduct(StrEnum):
    """What the clients of a crowd do."""

    BODIES = "bodies"  # of legal size, one after the other
    PIECES = "pieces"  # bodies of legal size in small pieces
    CHUNKS = "chunks"  # bodies in chunks of two bytes
    OVER_LIMIT = "over-limit"  # endless bodies, in chunks or with a length far over the limit
    FIELDS = "fields"  # heads of legal size in very many short fields
    AHEAD = "ahead"  # shortest requests sent ahead, no answer read
    USUAL_AHEAD = "usual-ahead"  # requests with usual heads sent ahead, no answer read
    SLOW_HEAD = "slow-head"  # byte by byte
    STOPPED_HEAD = "stopped-head"  # stops after the first line
    SLOW_BODY = "slow-body"  # byte by byte
    STOPPED_BODY = "stopped-body"  # stops half-way
    SLOW_READER = "slow-reader"  # reads its answers byte by byte
    STOPPED_READER = "stopped-reader"  # asks once, with a small buffer, and reads nothing
    SILENT = "silent"  # sends nothing


class Summary(msgspec.Struct):
    """What a crowd did. `statuses` counts the first answer of each connection."""

    connected: int = 0
    refused: int = 0  # connections that were not accepted
    closed: int = 0  # by the other end, before the time was over
    sent_bytes: int = 0
    statuses: dict[str, int] = {}


@dataclass(slots=True)
class Crowd:
    """The clients of one play; `headers` are more lines of each request's head."""

    conduct: Conduct
    host: str
    port: int
    connections: int
    path: str = "/"
    headers: str = ""
    summary: Summary = field(default_factory=Summary)
    _statuses: Counter[str] = field(default_factory=Counter)
    _ids: count = field(default_factory=count)

    async def play(self, seconds: float) -> Summary:
        """Play for a time; returns what was done."""
        clients = []
        with suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                for number in range(self.connections):
                    clients.append(asyncio.create_task(self._run_client(number)))
                    if number % CONNECTS_PER_TURN == 0:
                        await asyncio.sleep(TURN_SECONDS)
                await asyncio.Event().wait()
        for client in clients:
            client.cancel()
        await asyncio.gather(*clients, return_exceptions=True)
        self.summary.statuses = dict(self._statuses)
        return self.summary

    async def _run_client(self, number: int) -> None:
        while True:
            await self._connect_and_play(number)
            await asyncio.sleep(RECONNECT_SECONDS)

    async def _connect_and_play(self, number: int) -> None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                reader, writer = await asyncio.open_connection(sock=await self._connect())
        except (OSError, TimeoutError):
            self.summary.refused += 1
            return
        self.summary.connected += 1
        connection = _Connection(self, number, reader, writer)
        try:
            await _CONDUCTS[self.conduct](connection)
        except (OSError, asyncio.IncompleteReadError):
            self.summary.closed += 1
        finally:
            writer.transport.abort()

    async def _connect(self) -> socket.socket:
        sock = socket.socket()
        try:
            if self.conduct is Conduct.STOPPED_READER:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
            sock.setblocking(False)
            await asyncio.get_running_loop().sock_connect(sock, (self.host, self.port))
        except BaseException:
            sock.close()
            raise
        return sock

    def note_status(self, line: bytes) -> None:
        words = line.split(b" ")
        self._statuses[words[1].decode() if len(words) > 1 else "none"] += 1

    def head(self, method: str, *fields: str) -> bytes:
        """A request's head with a name of its own."""
        lines = [f"{method} {self.path} HTTP/1.1", f"Request-Id: rude-{next(self._ids):x}"]
        more = [line for line in self.headers.split("\n") if line]
        return "\r\n".join([*lines, *more, *fields, "", ""]).encode()


@dataclass(slots=True)
class _Connection:
    crowd: Crowd
    number: int
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def send(self, data: bytes) -> None:
        self.writer.write(data)
        await self.writer.drain()
        self.crowd.summary.sent_bytes += len(data)

    async def read_answer(self) -> None:
        """Read one answer; raises OSError or IncompleteReadError if the connection ends."""
        head = (await self.reader.readuntil(b"\r\n\r\n")).lower()
        self.crowd.note_status(head.partition(b"\r\n")[0])
        _, has_length, rest = head.partition(b"content-length: ")
        if has_length:
            await self.reader.readexactly(int(rest.split(b"\r\n")[0]))
        if b"connection: close" in head:
            raise ConnectionResetError

    async def read_until_closed(self) -> None:
        """Wait for the end of the connection; raises OSError then."""
        is_first = True
        while data := await self.reader.read(65536):
            if is_first:
                self.crowd.note_status(data.partition(b"\r\n")[0])
            is_first = False
        raise ConnectionResetError

    def read_nothing(self) -> None:
        self.writer.transport.pause_reading()


async def _send_bodies(connection: _Connection) -> None:
    head = connection.crowd.head
    while True:
        await connection.send(head("PUT", f"Content-Length: {LEGAL_BODY_BYTES}"))
        for _ in range(LEGAL_BODY_BYTES // len(BLOCK)):
            await connection.send(BLOCK)
        await connection.read_answer()


async def _send_pieces(connection: _Connection) -> None:
    sock = connection.writer.get_extra_info("socket")
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    await connection.send(connection.crowd.head("PUT", f"Content-Length: {LEGAL_BODY_BYTES}"))
    while True:
        await connection.send(BLOCK[:PIECE_BYTES])
        await asyncio.sleep(0)


async def _send_chunks(connection: _Connection) -> None:
    await connection.send(connection.crowd.head("PUT", "Transfer-Encoding: chunked"))
    while True:
        await connection.send(TINY_CHUNK * 8192)


async def _send_over_limit(connection: _Connection) -> None:
    has_length = connection.number % 2
    framing = (
        f"Content-Length: {FAR_OVER_LIMIT_BYTES}"
        if has_length
        else "Transfer-Encoding: chunked"
    )
    await connection.send(connection.crowd.head("PUT", framing))
    data = BLOCK if has_length else b"%x\r\n%s\r\n" % (len(BLOCK), BLOCK)
    while True:
        await connection.send(data)


async def _send_fields(connection: _Connection) -> None:
    while True:
        head = connection.crowd.head("GET")
        fields = b"a:b\r\n" * ((FIELDS_HEAD_BYTES - len(head)) // 5)
        await connection.send(head[:-2] + fields + b"\r\n")
        await connection.read_answer()


async def _send_ahead(connection: _Connection) -> None:
    connection.read_nothing()
    request = f"GET {connection.crowd.path} HTTP/1.1\r\n".encode()
    host = [line for line in connection.crowd.headers.split("\n") if line.startswith("Host")]
    request += f"{host[0]}\r\n".encode() if host else b""
    while True:
        await connection.send((request + b"\r\n") * REQUESTS_AHEAD)


async def _send_usual_ahead(connection: _Connection) -> None:
    connection.read_nothing()
    heads = b"".join(connection.crowd.head("GET") for _ in range(REQUESTS_AHEAD))
    while True:
        await connection.send(heads)


async def _trickle(connection: _Connection, data: bytes) -> None:
    for position in range(len(data)):
        await connection.send(data[position : position + 1])
        await asyncio.sleep(TRICKLE_SECONDS)


async def _send_slow_head(connection: _Connection) -> None:
    await _until_closed(connection, _trickle(connection, connection.crowd.head("GET") * 100))


async def _stop_in_head(connection: _Connection) -> None:
    await connection.send(connection.crowd.head("GET")[:-2])
    await connection.read_until_closed()


async def _send_slow_body(connection: _Connection) -> None:
    await connection.send(connection.crowd.head("PUT", "Content-Length: 100000"))
    await _until_closed(connection, _trickle(connection, BLOCK))


async def _stop_in_body(connection: _Connection) -> None:
    await connection.send(
        connection.crowd.head("PUT", f"Content-Length: {LEGAL_BODY_BYTES}") + BLOCK[:1000]
    )
    await connection.read_until_closed()


async def _read_slowly(connection: _Connection) -> None:
    connection.read_nothing()
    while True:
        await connection.send(connection.crowd.head("GET"))
        await asyncio.sleep(TRICKLE_SECONDS)
        sock = connection.writer.get_extra_info("socket")
        with suppress(BlockingIOError):
            if not sock._sock.recv(1):
                raise ConnectionResetError


async def _stop_reading(connection: _Connection) -> None:
    connection.read_nothing()
    await connection.send(connection.crowd.head("GET"))
    sock = connection.writer.get_extra_info("socket")
    while True:
        await asyncio.sleep(TRICKLE_SECONDS)
        error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            raise OSError(error, "the connection was reset")


async def _say_nothing(connection: _Connection) -> None:
    await connection.read_until_closed()


async def _until_closed(connection: _Connection, sending: Awaitable[None]) -> None:
    """Send until the connection is closed by the other end."""
    task = asyncio.ensure_future(sending)
    # It fails when the connection is closed.
    task.add_done_callback(lambda done: done.cancelled() or done.exception())
    try:
        await connection.read_until_closed()
    finally:
        task.cancel()


_CONDUCTS: dict[Conduct, Callable[[_Connection], Awaitable[None]]] = {
    Conduct.BODIES: _send_bodies,
    Conduct.PIECES: _send_pieces,
    Conduct.CHUNKS: _send_chunks,
    Conduct.OVER_LIMIT: _send_over_limit,
    Conduct.FIELDS: _send_fields,
    Conduct.AHEAD: _send_ahead,
    Conduct.USUAL_AHEAD: _send_usual_ahead,
    Conduct.SLOW_HEAD: _send_slow_head,
    Conduct.STOPPED_HEAD: _stop_in_head,
    Conduct.SLOW_BODY: _send_slow_body,
    Conduct.STOPPED_BODY: _stop_in_body,
    Conduct.SLOW_READER: _read_slowly,
    Conduct.STOPPED_READER: _stop_reading,
    Conduct.SILENT: _say_nothing,
}


def rude_arguments(crowd: Crowd, seconds: float) -> list[str]:
    """The arguments with which this module plays a crowd as a process."""
    return [
        "standins.rude",
        *("--conduct", crowd.conduct),
        *("--address", f"{crowd.host}:{crowd.port}"),
        *("--connections", str(crowd.connections)),
        *("--path", crowd.path),
        *("--headers", crowd.headers),
        *("--seconds", str(seconds)),
    ]


async def summary_of(process: StartedProcess) -> Summary:
    """Wait for the end of a crowd that was started as a process; returns what it did."""
    await process.process.wait()
    await process.end()
    return msgspec.json.decode(process.lines[-1], type=Summary)


async def _main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--conduct", type=Conduct, choices=list(Conduct), required=True)
    parser.add_argument("--address", required=True, help="IP:PORT")
    parser.add_argument("--connections", type=int, default=100)
    parser.add_argument("--path", default="/")
    parser.add_argument("--headers", default="", help="more header lines, one a line")
    parser.add_argument("--seconds", type=float, default=10.0)
    options = parser.parse_args()
    host, _, port = options.address.rpartition(":")
    crowd = Crowd(
        options.conduct, host, int(port), options.connections, options.path, options.headers
    )
    summary = await crowd.play(options.seconds)
    print(msgspec.json.encode(summary).decode(), flush=True)


if __name__ == "__main__":
    asyncio.run(_main())
