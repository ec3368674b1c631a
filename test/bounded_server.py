"""A server with bounds, callers for it, and a handler that tests hold back."""

import asyncio
from contextlib import asynccontextmanager

from wheatslipd.http.bounds import PortBounds, RequestLimits
from wheatslipd.http.messages import ResponseHead
from wheatslipd.http.server import Server

from standins.cluster import HOST, eventually

LIMITS = RequestLimits(4096, 100_000, 0.5, 1.0)
GET = b"GET /a HTTP/1.1\r\nhost: a\r\n\r\n"
SECONDS = 5.0  # for an answer


class Held:
    """A handler that reads the body and waits until it may answer."""

    def __init__(self):
        self.may_answer = asyncio.Event()
        self.may_answer.set()
        self.sizes = []
        self.answer = b"done"

    async def handle(self, exchange):
        body = await exchange.body.read_up_to(1 << 30)
        self.sizes.append(len(body))
        await self.may_answer.wait()
        await exchange.respond(ResponseHead(200), self.answer)


class Caller:
    """A connection to a server."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    async def send(self, data):
        self.writer.write(data)
        await self.writer.drain()

    async def status(self):
        """The status of the next answer; 0 if the connection ended first."""
        try:
            async with asyncio.timeout(SECONDS):
                head = await self.reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            return 0
        length = head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0]
        await self.reader.readexactly(int(length))
        return int(head.split(b" ")[1])


@asynccontextmanager
async def served(bounds=None, handler=None):
    """A server with these bounds; yields it, its handler, and a function that connects."""
    handler = handler or Held()
    server = Server(handler.handle, bounds=bounds or PortBounds(lambda: LIMITS))
    await server.listen(HOST, 0)
    writers = []

    async def connect(limit=1 << 20):
        reader, writer = await asyncio.open_connection(HOST, server.port, limit=limit)
        writers.append(writer)
        return Caller(reader, writer)

    try:
        yield server, handler, connect
    finally:
        for writer in writers:
            writer.transport.abort()
        await server.abort()


def the_connection(server):
    (connection,) = server.connections.open
    return connection


def chunked(*chunks):
    head = b"PUT /a HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n"
    return head + b"".join(b"%x\r\n%s\r\n" % (len(chunk), chunk) for chunk in chunks)


async def until(is_met):
    async def check():
        return bool(is_met())

    await eventually(check)
