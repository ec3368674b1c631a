"""Stand-in for a client: one request on a new connection, and what came back."""

import asyncio
import itertools
import time
from dataclasses import dataclass

from review.record import Record

MARGIN_SECONDS = 0.5  # after the deadline, until the client gives up

_numbers = itertools.count(1)


@dataclass(frozen=True)
class Reply:
    """What a client got. `status` 0: nothing, or an answer that was cut off."""

    request_id: str
    sent_at: float  # monotonic
    status: int
    headers: dict[str, str]
    body: bytes
    problem: str = ""


async def ask(
    record: Record,
    address: tuple[str, int],
    path: str,
    *,
    host: str,
    method: str = "GET",
    body: bytes = b"",
    deadline_s: float = 2.0,
    key: str = "",
) -> Reply:
    """Send a request to a daemon and wait for the whole answer."""
    request_id = f"{next(_numbers):016x}"
    sent_at = time.monotonic()
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {host}",
        f"Request-Id: {request_id}",
        f"Deadline-Remaining: {round(deadline_s * 1000)}",
        "Connection: close",
    ]
    if key:
        lines.append(f"Key: {key}")
    if body or method not in ("GET", "HEAD"):
        lines.append(f"Content-Length: {len(body)}")
    record.add(f"client sends {request_id} {method} {path} to {address[0]}")
    reply = Reply(request_id, sent_at, 0, {}, b"", "no answer")
    try:
        async with asyncio.timeout(deadline_s + MARGIN_SECONDS):
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
                reply = await _read_reply(reader, request_id, sent_at)
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
        reply = Reply(request_id, sent_at, 0, {}, b"", repr(error))
    record.add(f"client got for {request_id}: {reply.status} {reply.problem}")
    return reply


async def _read_reply(reader: asyncio.StreamReader, request_id: str, sent_at: float) -> Reply:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    status = int(head[0].split(" ")[1])
    headers = {
        name.strip().lower(): value.strip()
        for name, _, value in (line.partition(":") for line in head[1:] if line)
    }
    if headers.get("transfer-encoding") == "chunked":
        body = await _read_chunks(reader)
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Reply(request_id, sent_at, status, headers, body)


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    parts = []
    while True:
        size = int((await reader.readline()).strip(), 16)
        chunk = await reader.readexactly(size + 2)
        if not size:
            return b"".join(parts)
        parts.append(chunk[:-2])
