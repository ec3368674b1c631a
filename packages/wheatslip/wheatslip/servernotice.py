"""What a backend server announces about itself in the headers of its responses.

A server may name the rate of requests that it accepts from all daemons together, and that it is
about to stop. Each applies to one start of a server. This module has no I/O.
"""

import re
from collections.abc import Sequence

import msgspec
from result import Err, Ok, Result

MAX_RATE_TEXT_BYTES = 32
_DECIMAL = re.compile(rb"[0-9]+(\.[0-9]+)?|\.[0-9]+")
_IS_LEAVING = {b"1": True, b"0": False}


class ServerStart(msgspec.Struct, frozen=True, array_like=True):
    """One start of a backend server. A server may start again under its earlier id."""

    server: str = ""  # id; empty: unknown
    born: int = 0  # Unix milliseconds; 0: unknown

    def may_equal(self, other: "ServerStart") -> bool:
        """Whether nothing known tells these starts apart."""
        if self.server and other.server and self.server != other.server:
            return False
        return not self.born or not other.born or self.born == other.born


UNKNOWN_START = ServerStart()


class ServerNotice(msgspec.Struct, frozen=True, array_like=True):
    """The announcements of one start. `rate` is in requests per second; None: no limit."""

    start: ServerStart = UNKNOWN_START
    rate: float | None = None
    leaving: bool = False


def decode_rate(values: Sequence[bytes]) -> Result[float | None, str]:
    """Decodes the header values that name a rate; None without a value. The error is a reason.

    A rate of 0 is an error: a server that accepts nothing is not ready, or leaves.
    """
    if not values:
        return Ok(None)
    if len(values) > 1:
        return Err("given more than once")
    text = values[0].strip()
    if len(text) > MAX_RATE_TEXT_BYTES or not _DECIMAL.fullmatch(text):
        return Err("not a decimal number")
    rate = float(text)
    return Ok(rate) if rate > 0 else Err("not above 0")


def decode_leaving(values: Sequence[bytes]) -> Result[bool, str]:
    """Decodes the header values that tell whether the server leaves; false without a value."""
    if not values:
        return Ok(False)
    if len(values) > 1:
        return Err("given more than once")
    leaving = _IS_LEAVING.get(values[0].strip())
    return Err("neither 0 nor 1") if leaving is None else Ok(leaving)
