"""What daemons tell each other on a forwarded request and on its answer."""

import msgspec

from wheatslip.outcome import NotRun, Outcome, Reason, Unknown

HOP_HEADER = b"wheatslip-hop"
OUTCOME_HEADER = b"wheatslip-outcome"
LOAD_HEADER = b"wheatslip-load"
MAX_HOP_BYTES = 2048


class Hop(msgspec.Struct, frozen=True, array_like=True):
    """Rides in front of a forwarded request. `remaining` is in seconds, so that the
    clocks of two daemons need not agree; `entry` names the daemon that sends it; a
    request that would wait longer than `max_wait` seconds is refused, as the entry has others
    to try; None: any wait will do. `target` and `hold` are the seconds left until the call's
    `target` and `hold_until`; None: there is no such bound. It travels as an array, since
    bytes between zones cost more than names are worth; so does a finer time than
    milliseconds.
    """

    workspace: str
    service: str
    kind: str
    repeatable: bool
    remaining: float
    version: int
    entry: str
    urgent: bool = False
    key: str = ""
    depth: int = 0
    max_wait: float | None = None
    target: float | None = None
    hold: float | None = None


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """Rides back on every answer: the exact load at the backend server's own daemon.

    `in_flight` and `queued` count requests, `limit` is the concurrency limit, `service`
    the recent mean service time in seconds, `version` the bundle version in force there.
    `slowness` is how long work takes there right now, as a part of that mean.
    """

    in_flight: int
    queued: int
    limit: int
    service: float
    version: int
    draining: bool = False
    slowness: float = 1.0


_hop_encoder = msgspec.json.Encoder()
_hop_decoder = msgspec.json.Decoder(Hop)
_load_decoder = msgspec.json.Decoder(LoadReport)


def encode(message: Hop | LoadReport) -> bytes:
    """The header value of a message."""
    return _hop_encoder.encode(message)


def decode_hop(value: bytes) -> Hop | None:
    """A hop from a header value, None if it is not one."""
    if len(value) > MAX_HOP_BYTES:
        return None
    try:
        return _hop_decoder.decode(value)
    except msgspec.DecodeError:
        return None


def decode_load(value: bytes) -> LoadReport | None:
    """A load report from a header value, None if it is not one."""
    if len(value) > MAX_HOP_BYTES:
        return None
    try:
        return _load_decoder.decode(value)
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
    """The refusal in an outcome header's value; None for `answered`.

    What can't be read counts as unknown: it must not pass for a promise.
    """
    if value == b"answered":
        return None
    word, _, name = value.partition(b"; ")
    try:
        reason = Reason(name.decode("ascii", "replace"))
    except ValueError:
        return Unknown(Reason.CONNECTION_LOST)
    if word == b"not-run":
        return NotRun(reason, retry_after)
    return Unknown(reason)
