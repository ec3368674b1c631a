"""Control messages in chunks arrive unchanged; invalid or oversized ones are rejected."""

import zlib
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from wheatslip.distribution import chunks
from wheatslip.distribution.chunks import (
    CHUNK_BYTES,
    COMPRESS_FROM_BYTES,
    Chunk,
    Joiner,
    split_message,
)

SIZES_AROUND_COMPRESSION = (
    0,
    1,
    COMPRESS_FROM_BYTES - 1,
    COMPRESS_FROM_BYTES,
    COMPRESS_FROM_BYTES + 1,
)


def add_all(joiner, message_chunks):
    """Returns the result of each chunk: the joined message, or None before the last one."""
    return [joiner.add(chunk).unwrap() for chunk in message_chunks]


@given(st.lists(st.binary(max_size=3000), max_size=5))
def test_joined_messages_equal_the_sent_ones(messages):
    joiner = Joiner()
    for message in messages:
        *incomplete, joined = add_all(joiner, split_message(message))
        assert joined == message
        assert not any(incomplete)


@pytest.mark.parametrize(
    "size", [*SIZES_AROUND_COMPRESSION, CHUNK_BYTES, CHUNK_BYTES + 1, 5 * CHUNK_BYTES]
)
def test_no_chunk_exceeds_the_maximum_size(size):
    message = Random(1).randbytes(size)  # not compressible
    sent = list(split_message(message))
    assert [chunk.is_last for chunk in sent] == [False] * (len(sent) - 1) + [True]
    assert all(len(chunk.data) <= CHUNK_BYTES for chunk in sent)
    assert add_all(Joiner(), sent)[-1] == message


def test_many_routes_are_compressed_to_less_than_a_fifth():
    message = b"".join(
        b'{"host":"host-%d.example","prefix":"/%x/"}' % (n, n) for n in range(1400)
    )
    assert sum(len(chunk.data) for chunk in split_message(message)) < len(message) / 5


@pytest.mark.parametrize(
    "data",
    [b"", b"no such thing", zlib.compress(b"x" * 5000)[:-3]],
    ids=["empty", "bad", "cut"],
)
def test_data_that_cannot_be_decompressed_is_rejected(data):
    assert Joiner().add(Chunk(data, is_last=True, is_packed=True)).is_err()


@pytest.mark.parametrize("is_packed", [False, True])
def test_message_above_the_maximum_size_is_rejected(monkeypatch, is_packed):
    monkeypatch.setattr(chunks, "MAX_MESSAGE_BYTES", 10_000)
    data = zlib.compress(b"x" * 20_000) if is_packed else b"x" * 20_000
    assert Joiner().add(Chunk(data, is_last=True, is_packed=is_packed)).is_err()
