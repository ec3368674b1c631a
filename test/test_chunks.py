"""Control messages in chunks: what is sent comes out whole, and defects of a sender end it."""

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

EDGES = (0, 1, COMPRESS_FROM_BYTES - 1, COMPRESS_FROM_BYTES, COMPRESS_FROM_BYTES + 1)


def join(joiner, given):
    """What the joiner answers to each chunk."""
    return [joiner.add(chunk).unwrap() for chunk in given]


@given(st.lists(st.binary(max_size=3000), max_size=5))
def test_messages_come_out_as_they_were_sent(messages):
    joiner = Joiner()
    for message in messages:
        *before, whole = join(joiner, split_message(message))
        assert whole == message
        assert not any(before)


@pytest.mark.parametrize("size", [*EDGES, CHUNK_BYTES, CHUNK_BYTES + 1, 5 * CHUNK_BYTES])
def test_no_chunk_is_longer_than_a_receiver_waits_for(size):
    message = Random(1).randbytes(size)  # that can't be packed
    sent = list(split_message(message))
    assert [chunk.is_last for chunk in sent] == [False] * (len(sent) - 1) + [True]
    assert all(len(chunk.data) <= CHUNK_BYTES for chunk in sent)
    assert join(Joiner(), sent)[-1] == message


def test_many_routes_are_sent_in_a_fifth_of_their_bytes_or_less():
    message = b"".join(
        b'{"host":"host-%d.example","prefix":"/%x/"}' % (n, n) for n in range(1400)
    )
    assert sum(len(chunk.data) for chunk in split_message(message)) < len(message) / 5


@pytest.mark.parametrize(
    "data",
    [b"", b"no such thing", zlib.compress(b"x" * 5000)[:-3]],
    ids=["empty", "bad", "cut"],
)
def test_what_cannot_be_unpacked_is_refused(data):
    assert Joiner().add(Chunk(data, is_last=True, is_packed=True)).is_err()


@pytest.mark.parametrize("is_packed", [False, True])
def test_a_message_without_an_end_does_not_fill_the_memory(monkeypatch, is_packed):
    monkeypatch.setattr(chunks, "MAX_MESSAGE_BYTES", 10_000)
    data = zlib.compress(b"x" * 20_000) if is_packed else b"x" * 20_000
    assert Joiner().add(Chunk(data, is_last=True, is_packed=is_packed)).is_err()
