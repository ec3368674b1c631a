"""Headers that daemons add to a forwarded request and to its answer.

Messages are sent in header values, as JSON arrays without field names to save bytes between
zones. Times are sent as remaining seconds, so that the clocks of two daemons need not agree.
"""

from math import inf
from typing import TypeVar

import msgspec

from wheatslip.call import Rank
from wheatslip.decoding import MAX_INT64, Int64, decode_json
from wheatslip.outcome import NotRun, Outcome, Reason, Unknown
from wheatslip.servernotice import ServerNotice

HOP_HEADER = b"wheatslip-hop"
OUTCOME_HEADER = b"wheatslip-outcome"
LOAD_HEADER = b"wheatslip-load"
# Sent with a hop whose body follows later: the fingerprint, from the beginning of the body.
FINGERPRINT_HEADER = b"wheatslip-fingerprint"
# Sent with a hop if a server ended during an earlier try: the request may end another one.
SUSPECT_HEADER = b"wheatslip-suspect"
# Sent with a response while the server has announced something, and with a hop while the entry
# remembers a limit of the server: a `ServerNotice`.
NOTICE_HEADER = b"wheatslip-notice"
# Sent with a hop whose call does not have the common rank: a `Rank`.
RANK_HEADER = b"wheatslip-rank"
MAX_HEADER_VALUE_BYTES = 2048  # more than a daemon sends; longer values are not parsed


class Hop(msgspec.Struct, frozen=True, array_like=True):
    """Data that an entry sends with a forwarded request. Times are remaining seconds."""

    workspace: str  # empty if nobody was identified
    service: str
    kind: str
    repeatable: bool
    remaining: float  # until the call's deadline
    version: Int64  # of the bundle in force at the entry
    entry: str  # name of the sending daemon
    urgent: bool = False
    key: str = ""
    depth: Int64 = (
        0  # number of calls that led to this one, each made while serving the previous
    )
    # The gate refuses the request if it would wait longer; None: no limit.
    max_wait: float | None = None
    target: float | None = None  # until the call's `target`; None: no target
    hold: float | None = None  # until the call's `hold_until`; None: not set


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """The load at the gate of a backend server, sent with every answer."""

    in_flight: Int64
    queued: Int64
    limit: Int64  # concurrency limit
    service: float  # recent mean service time, in seconds
    version: Int64  # of the bundle in force at the gate
    leaving: bool = False
    slowness: float = 1.0  # ratio of the current service time to the mean


_Message = TypeVar("_Message", Hop, LoadReport, ServerNotice, Rank)

_encoder = msgspec.json.Encoder()


def encode(message: Hop | LoadReport | ServerNotice | Rank) -> bytes:
    """Encodes a message as a header value."""
    return _encoder.encode(message)


def decode_hop(value: bytes) -> Hop | None:
    """Decodes a header value; None if it is invalid."""
    return _decode_message(value, Hop)


def decode_load(value: bytes) -> LoadReport | None:
    """Decodes a header value; None if it is invalid."""
    return _decode_message(value, LoadReport)


def decode_notice(value: bytes) -> ServerNotice | None:
    """Decodes a header value; None if it is invalid."""
    notice = _decode_message(value, ServerNotice)
    if notice is None or abs(notice.start.born) > MAX_INT64:
        return None
    if notice.rate is not None and not 0 < notice.rate < inf:
        return None
    return notice


def decode_rank(value: bytes) -> Rank | None:
    """Decodes a header value; None if it is invalid."""
    rank = _decode_message(value, Rank)
    return (
        rank
        if rank is not None and min(rank.workspace_priority, rank.route_priority) >= 0
        else None
    )


def _decode_message(value: bytes, type_: type[_Message]) -> _Message | None:
    if len(value) > MAX_HEADER_VALUE_BYTES:
        return None
    return decode_json(value, type_).ok()


def encode_outcome(outcome: Outcome) -> bytes:
    """`answered`, `not-run; REASON` or `unknown; REASON`."""
    match outcome:
        case NotRun(reason):
            return b"not-run; " + reason.value.encode()
        case Unknown(reason):
            return b"unknown; " + reason.value.encode()
    return b"answered"


def decode_refusal(value: bytes, retry_after: float | None = None) -> NotRun | Unknown | None:
    """Decodes an outcome header; None for `answered`. `retry_after` is in seconds.

    An invalid value is decoded as unknown: it must not be taken as a guarantee that the request
    did not run.
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
