"""Compresses control messages and splits them into chunks.

A receiver applies its timeout to each chunk, so it can distinguish a lost sender from a long
message on a slow link. This module does no I/O; the relay sends and receives the chunks.
"""

import zlib
from collections.abc import Iterator

import msgspec
from result import Err, Ok, Result

CHUNK_BYTES = 32 * 1024  # takes 0.05 s on a link of 650 kB/s
COMPRESS_FROM_BYTES = 1024  # shorter messages are sent uncompressed
ZLIB_LEVEL = 1  # the fastest level; higher ones save little for the time that they take
MAX_MESSAGE_BYTES = 64 * 1024 * 1024  # after decompression; longer messages are rejected


class Chunk(msgspec.Struct, frozen=True, array_like=True):
    """Part of a message. `is_packed` (compressed) is the same in all chunks of a message."""

    data: bytes
    is_last: bool
    is_packed: bool


def split_message(message: bytes) -> Iterator[Chunk]:
    """Yields the chunks of a message, at least one."""
    is_packed = len(message) >= COMPRESS_FROM_BYTES
    data = zlib.compress(message, ZLIB_LEVEL) if is_packed else message
    last_start = max(0, len(data) - 1) // CHUNK_BYTES * CHUNK_BYTES
    for start in range(0, last_start + 1, CHUNK_BYTES):
        yield Chunk(data[start : start + CHUNK_BYTES], start == last_start, is_packed)


class Joiner:
    """Reassembles messages from their chunks, which must arrive in order."""

    def __init__(self) -> None:
        self._chunks: list[bytes] = []
        self._size = 0

    def add(self, chunk: Chunk) -> Result[bytes | None, str]:
        """Adds the next chunk. Returns the message if it is complete, or an error text."""
        self._chunks.append(chunk.data)
        self._size += len(chunk.data)
        if self._size > MAX_MESSAGE_BYTES:
            return Err(f"message exceeds {MAX_MESSAGE_BYTES} bytes")
        if not chunk.is_last:
            return Ok(None)
        message = b"".join(self._chunks)
        self._chunks.clear()
        self._size = 0
        return _decompress(message) if chunk.is_packed else Ok(message)


def _decompress(data: bytes) -> Result[bytes | None, str]:
    decompressor = zlib.decompressobj()
    try:
        message = decompressor.decompress(data, MAX_MESSAGE_BYTES)
    except zlib.error as error:
        return Err(f"message cannot be decompressed: {error}")
    if not decompressor.eof:
        return Err(f"compressed message is truncated or exceeds {MAX_MESSAGE_BYTES} bytes")
    return Ok(message)
