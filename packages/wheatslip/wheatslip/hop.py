"""What daemons send each other on a forwarded request and on its answer.

Messages travel as arrays in header values, since bytes between zones cost more than field names
are worth. Durations are in seconds and count from now, so that the clocks of two daemons need
not agree.
"""

from typing import TypeVar

import msgspec

from wheatslip.outcome import NotRun, Outcome, Reason, Unknown

HOP_HEADER = b"wheatslip-hop"
OUTCOME_HEADER = b"wheatslip-outcome"
LOAD_HEADER = b"wheatslip-load"
# Beside a hop whose body follows later: the request's fingerprint, made of the body's
# beginning.
FINGERPRINT_HEADER = b"wheatslip-fingerprint"
# Beside a hop: a server ended under an earlier try of the request, so this one may end another.
SUSPECT_HEADER = b"wheatslip-suspect"
# Bytes of a header value; above what a daemon sends, so that a longer one is not parsed.
MAX_HOP_BYTES = 2048


class Hop(msgspec.Struct, frozen=True, array_like=True):
    """What an entry sends in front of a forwarded request."""

    workspace: str
    service: str
    kind: str
    repeatable: bool
    remaining: float  # until the call's deadline
    version: int  # of the bundle in force at the entry
    entry: str  # name of the daemon that sends it
    urgent: bool = False
    key: str = ""
    depth: int = 0  # calls that led to this one, each made while serving the one before
    # A request that would wait longer is refused, as the entry has others to try; None: any
    # wait will do.
    max_wait: float | None = None
    target: float | None = None  # until the call's `target`; None: it has none
    hold: float | None = None  # until the call's `hold_until`; None: it has none


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """The load at the gate of a backend server, sent back on every answer."""

    in_flight: int  # requests that run
    queued: int  # requests that wait
    limit: int  # the concurrency limit
    service: float  # recent mean service time, seconds
    version: int  # of the bundle in force there
    leaving: bool = False  # whether the server is
    slowness: float = 1.0  # ratio of the present service time to that mean


_Message = TypeVar("_Message", Hop, LoadReport)

_encoder = msgspec.json.Encoder()
_hop_decoder = msgspec.json.Decoder(Hop)
_load_decoder = msgspec.json.Decoder(LoadReport)


def encode(message: Hop | LoadReport) -> bytes:
    """The header value of a message."""
    return _encoder.encode(message)


def decode_hop(value: bytes) -> Hop | None:
    """A hop from a header value, None if it is not one."""
    return _decode(_hop_decoder, value)


def decode_load(value: bytes) -> LoadReport | None:
    """A load report from a header value, None if it is not one."""
    return _decode(_load_decoder, value)


def _decode(decoder: msgspec.json.Decoder[_Message], value: bytes) -> _Message | None:
    if len(value) > MAX_HOP_BYTES:
        return None
    try:
        return decoder.decode(value)
    except msgspec.DecodeError:
        return None


def encode_outcome(outcome: Outcome) -> bytes:
    """`answered`, `not-run; REASON` or `unknown; REASON`."""
    match outcome:
        case NotRun(reason):
            return b"not-run; " + reason.value.encode()
        case Unknown(reason):
            return b"unknown; " + reason.value.encode()
    return b"answered"


def decode_refusal(value: bytes, retry_after: float | None = None) -> NotRun | Unknown | None:
    """The refusal in an outcome header's value, with its time in seconds; None for `answered`.

    What can't be read counts as unknown: it must not pass for the promise that nothing ran.
    """
    if value == b"answered":
        return None
    kind, _, name = value.partition(b"; ")
    try:
        reason = Reason(name.decode("ascii", "replace"))
    except ValueError:
        return Unknown(Reason.CONNECTION_LOST)
    if kind == b"not-run":
        return NotRun(reason, retry_after)
    return Unknown(reason)
