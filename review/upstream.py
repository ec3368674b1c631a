"""Stand-in for a server that speaks what PROTOCOL.md says of upstreams."""

import asyncio
import contextlib
import itertools
import json
import random
import time
from dataclasses import dataclass, field
from weakref import WeakKeyDictionary

from wheatslipd.http.exchange import Exchange
from wheatslipd.http.messages import Headers, ResponseHead
from wheatslipd.http.server import Server

from review.record import Record

BEAT_SECONDS = 1.5
BEAT_ANSWER_SECONDS = 1.0
MAX_BODY_BYTES = 1 << 20
NOISE_SECONDS = 0.15  # between two changes of the speed
NOISE_SHARE = 0.25  # of the time, in which work takes `NOISE_FACTOR` times as long
NOISE_FACTOR = 5.0
HEALTH_SECONDS = 0.001  # to answer a health check

_starts = itertools.count(1)


@dataclass(frozen=True)
class Run:
    """A request that the server has begun to work on; `at` is a monotonic time."""

    request_id: str
    path: str
    at: float


@dataclass(frozen=True)
class _Surplus:
    """A second answer that waits for the next request on its connection."""

    request_id: str
    data: bytes


@dataclass
class Upstream:
    """One server. It answers with its id and a stamp, and beats to the daemon beside it."""

    service: str
    address: str
    zone: str
    record: Record
    slots: int = 6
    work_s: float = 0.02
    server_id: str = ""
    born: int = 0
    state: str = "ready"
    runs: list[Run] = field(default_factory=list)
    is_noisy: bool = False  # whether the speed changes many times a second
    # Share of the answers to requests that come a second time, in the place of the next answer
    # on their connection.
    surplus_share: float = 0.0
    surplus_sent: int = 0
    _sequence: int = 0
    _running: int = 0
    _server: Server | None = None
    _beats: asyncio.Task[None] | None = None
    _slowness: float = 1.0
    _noise: asyncio.Task[None] | None = None
    _surplus: WeakKeyDictionary[object, _Surplus] = field(default_factory=WeakKeyDictionary)

    async def start(self, ip: str, port: int) -> None:
        """Start anew, with a new id unless one was set."""
        self.server_id = self.server_id or f"i-{next(_starts):08x}"
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self._sequence = 0
        self._server = Server(self.handle)
        await self._server.listen(ip, port)
        if self.is_noisy:
            self._noise = asyncio.create_task(self._change_speed())

    def beat_to(self, ip: str, port: int) -> None:
        """Send heartbeats to a daemon until the server stops."""
        self._beats = asyncio.create_task(self._beat(ip, port))

    async def stop(self) -> None:
        """End at once: all connections break."""
        for task in (self._beats, self._noise):
            if task is not None:
                task.cancel()
        if self._server is not None:
            await self._server.abort()

    def heartbeat(self) -> bytes:
        """The next heartbeat."""
        self._sequence += 1
        return json.dumps(
            {
                "address": self.address,
                "born": self.born,
                "info": {
                    "service": self.service,
                    "version": "v1",
                    "zone": self.zone,
                    "slots": self.slots,
                },
                "status": {"state": self.state, "seq": self._sequence, "cold_remaining_s": 0},
            }
        ).encode()

    async def handle(self, exchange: Exchange) -> None:
        """Answer a request or a question for the health."""
        self._send_surplus(exchange)
        headers: Headers = [
            (b"instance-id", self.server_id.encode()),
            (
                b"load-report",
                b"%d,0,%d,%d" % (self._running, self.slots, round(100 * self._slowness)),
            ),
        ]
        if self.state != "ready":
            headers.append((b"server-leaving", b"1"))
        if exchange.head.target == b"/health":
            await asyncio.sleep(HEALTH_SECONDS)
            await exchange.respond(ResponseHead(200 if self.state == "ready" else 503, headers))
            return
        body = await exchange.body.read_up_to(MAX_BODY_BYTES)
        request_id = (exchange.head.get(b"request-id") or b"").decode()
        headers.append((b"request-id", request_id.encode()))
        expected = (exchange.head.get(b"expect-instance") or b"").decode()
        if expected and expected != self.server_id:
            self.record.add(f"{self.server_id} rejects {request_id}: meant for {expected}")
            await exchange.respond(ResponseHead(421, [*headers, (b"not-executed", b"1")]))
            return
        await self._run(exchange, request_id, headers, body)

    async def _run(
        self, exchange: Exchange, request_id: str, headers: Headers, body: bytes
    ) -> None:
        path = exchange.head.target.decode()
        self.runs.append(Run(request_id, path, time.monotonic()))
        self.record.add(f"{self.server_id} ({self.service}) runs {request_id} {path}")
        self._running += 1
        try:
            await asyncio.sleep(self.work_s * self._slowness)
        finally:
            self._running -= 1
        headers.append((b"response-stamp", f"{self.server_id}.{request_id}".encode()))
        content = b"%s:%d" % (request_id.encode(), len(body))
        await exchange.respond(ResponseHead(200, list(headers)), content)
        self.record.add(f"{self.server_id} has answered {request_id} with 200")
        if random.random() < self.surplus_share:
            self._keep_surplus(exchange, request_id, headers, content)

    def _keep_surplus(
        self, exchange: Exchange, request_id: str, headers: Headers, content: bytes
    ) -> None:
        """Keep a second answer like the first, with the id of its request."""
        lines = [b"HTTP/1.1 200 OK", *(name + b": " + value for name, value in headers)]
        lines.append(b"content-length: %d" % len(content))
        data = b"\r\n".join(lines) + b"\r\n\r\n" + content
        self._surplus[exchange.connection] = _Surplus(request_id, data)

    def _send_surplus(self, exchange: Exchange) -> None:
        """Send the second answer to an earlier request of this connection, if there is one."""
        surplus = self._surplus.pop(exchange.connection, None)
        transport = exchange.connection.transport
        if surplus is None or transport is None or transport.is_closing():
            return
        self.surplus_sent += 1
        target = exchange.head.target.decode()
        self.record.add(
            f"{self.server_id} sends a second answer to {surplus.request_id}, "
            f"where {target} waits for its answer"
        )
        transport.write(surplus.data)

    async def _change_speed(self) -> None:
        while True:
            self._slowness = NOISE_FACTOR if random.random() < NOISE_SHARE else 1.0
            await asyncio.sleep(NOISE_SECONDS)

    async def _beat(self, ip: str, port: int) -> None:
        while True:
            with contextlib.suppress(OSError, TimeoutError):
                await self.send_heartbeat(ip, port, self.heartbeat())
            await asyncio.sleep(BEAT_SECONDS)

    async def send_heartbeat(
        self, ip: str, port: int, body: bytes, method: str = "PUT"
    ) -> bool:
        """Send one heartbeat, or a deregistration; returns whether it was acknowledged."""
        async with asyncio.timeout(BEAT_ANSWER_SECONDS):
            reader, writer = await asyncio.open_connection(ip, port)
            try:
                writer.write(
                    f"PUT /heartbeats/{self.server_id} HTTP/1.1\r\nHost: {ip}:{port}\r\n"
                    "Content-Type: application/json\r\nConnection: close\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n".encode()
                    + body
                )
                line = await reader.readline()
            finally:
                writer.close()
        return b" 200 " in line
