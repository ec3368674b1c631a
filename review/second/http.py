"""HTTP/1.1 messages over asyncio streams, as far as the stand-ins need them."""

import asyncio
from dataclasses import dataclass, field

MAX_LINE_BYTES = 1 << 20


@dataclass
class Message:
    """A request or an answer. Header names are lower case.

    `start` is the start line split at its blanks. An answer that ends early is not `whole`.
    """

    start: list[str]
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    whole: bool = True

    @property
    def method(self) -> str:
        """Of a request."""
        return self.start[0]

    @property
    def target(self) -> str:
        """Of a request."""
        return self.start[1]

    @property
    def status(self) -> int:
        """Of an answer."""
        return int(self.start[1])


class Ended(Exception):
    """The connection ended before a whole head was received."""


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read a head; raises `Ended`."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise Ended from error
    first, *lines = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Message(first.split(" ", 2), headers)


async def read_message(reader: asyncio.StreamReader, *, is_answer: bool) -> Message:
    """Read a head and its body; raises `Ended` if there is no whole head."""
    message = await read_head(reader)
    if is_answer and message.status < 200:
        return await read_message(reader, is_answer=True)
    try:
        message.body = await _read_body(reader, message, is_answer=is_answer)
    except asyncio.IncompleteReadError as error:
        message.body, message.whole = error.partial, False
    except ConnectionError:
        message.whole = False
    return message


async def _read_body(
    reader: asyncio.StreamReader, message: Message, *, is_answer: bool
) -> bytes:
    if "chunked" in message.headers.get("transfer-encoding", ""):
        parts = []
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
        while await reader.readuntil(b"\r\n") != b"\r\n":
            pass
        return b"".join(parts)
    length = message.headers.get("content-length")
    if length is not None:
        return await reader.readexactly(int(length))
    if is_answer and message.status not in (204, 304):
        return await reader.read()
    return b""


def encode(start: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Encode a message with a body of known length."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


async def call(
    address: tuple[str, int],
    method: str,
    target: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    seconds: float = 5.0,
) -> Message | None:
    """Send one request on a connection of its own; None if no answer began in time.

    An answer whose end does not come in time is not `whole`.
    """
    writer = None
    answer: Message | None = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(*address, limit=MAX_LINE_BYTES)
            fields = {"Host": f"{address[0]}:{address[1]}"} | (headers or {})
            writer.write(encode(f"{method} {target} HTTP/1.1", fields, body))
            answer = await read_message(reader, is_answer=True)
    except (OSError, TimeoutError, Ended):
        pass
    finally:
        if writer is not None:
            writer.transport.abort()
    return answer


def show_status(answer: Message | None) -> str:
    """An answer in a few words, for a record."""
    if answer is None:
        return "none"
    outcome = answer.headers.get("wheatslip-outcome", "")
    return f"'{answer.status}{'' if answer.whole else ' cut'} {outcome}'"
