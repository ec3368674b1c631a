"""Control messages on narrow links: compressed, and cut into chunks.

A receiver that bounds the wait for each chunk can tell a sender that is gone from one whose
message takes long on the link between them. Pure; the relay sends and receives the chunks.
"""

import zlib
from collections.abc import Iterator

import msgspec
from result import Err, Ok, Result

CHUNK_BYTES = 32 * 1024  # a twentieth of a second on a link of 650 kB/s
PACK_FROM = 1024  # bytes; a shorter message is sent as it is
# The fastest of zlib's levels. A difference of 1,400 routes has 242 kB: level 1 makes 27 kB of
# it in 1 ms, level 6 makes 23 kB in 2.2 ms.
PACK_LEVEL = 1
# Bytes unpacked; a longer message is refused as a defect of the sender.
LONGEST_MESSAGE = 64 * 1024 * 1024


class Chunk(msgspec.Struct, frozen=True, array_like=True):
    """A chunk of a message; `is_packed` is the same for all chunks of it."""

    data: bytes
    is_last: bool
    is_packed: bool


def cut(message: bytes) -> Iterator[Chunk]:
    """The chunks of a message, at least one."""
    is_packed = len(message) >= PACK_FROM
    data = zlib.compress(message, PACK_LEVEL) if is_packed else message
    last = max(0, len(data) - 1) // CHUNK_BYTES * CHUNK_BYTES
    for start in range(0, last + 1, CHUNK_BYTES):
        yield Chunk(data[start : start + CHUNK_BYTES], start == last, is_packed)


class Joiner:
    """Joins the chunks of a message, one message after the other."""

    def __init__(self) -> None:
        self._chunks: list[bytes] = []
        self._size = 0

    def add(self, chunk: Chunk) -> Result[bytes | None, str]:
        """Take the next chunk; the message if it is whole now. The error is a sentence."""
        self._chunks.append(chunk.data)
        self._size += len(chunk.data)
        if self._size > LONGEST_MESSAGE:
            return Err(f"a message of more than {LONGEST_MESSAGE} bytes")
        if not chunk.is_last:
            return Ok(None)
        message = b"".join(self._chunks)
        self._chunks.clear()
        self._size = 0
        return _unpacked(message) if chunk.is_packed else Ok(message)


def _unpacked(data: bytes) -> Result[bytes | None, str]:
    unpacker = zlib.decompressobj()
    try:
        message = unpacker.decompress(data, LONGEST_MESSAGE)
    except zlib.error as error:
        return Err(f"a message that can't be unpacked: {error}")
    if not unpacker.eof:
        return Err(f"a message that is cut short, or of more than {LONGEST_MESSAGE} bytes")
    return Ok(message)
