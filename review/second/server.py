"""Stand-in for an application server beside a daemon, as PROTOCOL.md describes it."""

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field

from review.second.http import Ended, Message, call, encode, read_message

BEAT_SECONDS = 1.5
Handler = Callable[["Server", Message, asyncio.StreamWriter], Awaitable[bool]]


@dataclass
class Run:
    """One request that a server has begun to run."""

    at: float  # time.time()
    server: str
    request: Message


@dataclass(eq=False)
class Server:
    """One server. `control` is the daemon's address for heartbeats.

    `handler` runs a request; it returns whether the connection stays open. By default a request
    takes `work` seconds and is answered with its path.
    """

    id: str
    service: str
    zone: str
    host: str
    port: int
    control: tuple[str, int]
    work: float = 0.05
    slots: int = 12
    handler: Handler | None = None
    state: str = "ready"
    leaving: bool = False
    seq: int = 0
    born: int = 0
    runs: list[Run] = field(default_factory=list)
    running: int = 0
    rejected: int = 0
    _server: asyncio.Server | None = None
    _beats: asyncio.Task[None] | None = None
    _open: set[asyncio.StreamWriter] = field(default_factory=set)

    async def start(self) -> None:
        """Start, and say so by heartbeats."""
        self.born = int(time.time() * 1000)
        self.seq = 0
        self._server = await asyncio.start_server(self._serve, self.host, self.port)
        self._beats = asyncio.create_task(self._beat_again_and_again())

    def stop_beats(self) -> None:
        if self._beats is not None:
            self._beats.cancel()

    def crash(self) -> None:
        """End at once: the port is closed and all connections are reset."""
        self.stop_beats()
        if self._server is not None:
            self._server.close()
        for writer in list(self._open):
            writer.transport.abort()

    def beat_body(self, seq: int, state: str) -> bytes:
        """The body of a heartbeat."""
        return json.dumps(
            {
                "address": f"{self.host}:{self.port}",
                "info": {
                    "service": self.service,
                    "version": "v1",
                    "zone": self.zone,
                    "slots": self.slots,
                },
                "status": {"state": state, "seq": seq, "cold_remaining_s": 0},
                "born": self.born,
            }
        ).encode()

    async def send_beat(self, body: bytes | None = None) -> bool:
        """Send a heartbeat; returns whether it was acknowledged in time."""
        if body is None:
            self.seq += 1
            body = self.beat_body(self.seq, self.state)
        headers = {"Content-Type": "application/json"}
        answer = await call(self.control, "PUT", f"/heartbeats/{self.id}", headers, body, 1.0)
        return answer is not None and 200 <= answer.status < 300

    async def deregister(self) -> bool:
        """Say that this server leaves; returns whether that was acknowledged."""
        body = json.dumps({"born": self.born}).encode()
        headers = {"Content-Type": "application/json"}
        answer = await call(
            self.control, "DELETE", f"/heartbeats/{self.id}", headers, body, 1.0
        )
        return answer is not None and 200 <= answer.status < 300

    async def _beat_again_and_again(self) -> None:
        while True:
            await self.send_beat()
            await asyncio.sleep(BEAT_SECONDS)

    def head_fields(self, request: Message) -> dict[str, str]:
        """The header fields of each answer to a request."""
        fields = {
            "Request-Id": request.headers.get("request-id", ""),
            "Response-Stamp": f"{self.id}.{request.headers.get('request-id', '')}",
        }
        return fields | self._state_fields()

    def _state_fields(self) -> dict[str, str]:
        fields = {
            "Instance-Id": self.id,
            "Load-Report": f"{self.running},0,{self.slots},100",
        }
        if self.leaving:
            fields["Server-Leaving"] = "1"
        return fields

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._open.add(writer)
        try:
            while True:
                request = await read_message(reader, is_answer=False)
                if not request.whole or not await self._handle(request, reader, writer):
                    return
        except (Ended, ConnectionError):
            pass
        finally:
            self._open.discard(writer)
            writer.transport.abort()

    async def _handle(
        self, request: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        if request.target == "/health":
            status = "503 X" if self.leaving else "200 OK"
            writer.write(encode(f"HTTP/1.1 {status}", self._state_fields()))
            return True
        expected = request.headers.get("expect-instance", self.id)
        if "request-id" not in request.headers or expected != self.id:
            self.rejected += 1
            status = "421 X" if expected != self.id else "400 X"
            fields = self.head_fields(request) | {"Not-Executed": "1"}
            writer.write(encode(f"HTTP/1.1 {status}", fields))
            return True
        self.runs.append(Run(time.time(), self.id, request))
        self.running += 1
        work = asyncio.ensure_future(self._run(request, writer))
        left = asyncio.ensure_future(_wait_until_left(reader))
        try:
            await asyncio.wait({work, left}, return_when=asyncio.FIRST_COMPLETED)
            return work.result() if work.done() else False
        finally:
            self.running -= 1
            for task in (work, left):
                task.cancel()
                with suppress(asyncio.CancelledError, ConnectionError):
                    await task

    async def _run(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        if self.handler is not None:
            return await self.handler(self, request, writer)
        await asyncio.sleep(self.work)
        fields = self.head_fields(request)
        writer.write(encode("HTTP/1.1 200 OK", fields, request.target.encode()))
        await writer.drain()
        return True


async def _wait_until_left(reader: asyncio.StreamReader) -> None:
    """Wait until the connection ends; the next request may wait in the buffer."""
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.01)
