"""Messages between an entry and the owner of a workspace's rate limit, and between owners.

They are arrays on the wire, since each limited request may cost a pair of them. New fields must
be added at the end, with a default.
"""

from enum import Enum

import msgspec


class TokenRequest(msgspec.Struct, frozen=True, array_like=True):
    """The entry `sender` asks for tokens of a workspace; one token is one request.

    `rate` (per second) and `burst` are the workspace's limit in the bundle of `version`.
    `failover` tells that all earlier candidates refused the connection, so they have ended.
    `owner` is the daemon that is asked: another one may have got its address since.
    """

    sender: str
    workspace: str
    tokens: int
    version: int
    rate: float
    burst: float
    failover: bool = False
    owner: str = ""


class TokenGrant(msgspec.Struct, frozen=True, array_like=True):
    """Response to a `TokenRequest`.

    If fewer `tokens` were granted than requested, `retry_after` is the number of seconds until
    the next one.
    """

    tokens: int
    retry_after: float = 0.0


class AskRefusal(Enum):
    """Why a daemon does not grant what it is asked for; a number on the wire."""

    OTHER_DAEMON = 1  # the ask is for another daemon, whose address this one has now
    DECLINED = 2  # another daemon is active for the limit: the next candidate is asked


class NumberedAsk(msgspec.Struct, frozen=True, array_like=True):
    """A `TokenRequest` on a stream of asks. `number` is unique on the stream."""

    number: int
    request: TokenRequest


class NumberedAnswer(msgspec.Struct, frozen=True, array_like=True):
    """The answer to the `NumberedAsk` with the same number."""

    number: int
    answer: TokenGrant | AskRefusal


class TakeoverRequest(msgspec.Struct, frozen=True, array_like=True):
    """`sender` is the first candidate of a workspace in its list, and asks `owner` to yield.

    `ended` are daemons whose processes are known to have ended. `is_leaving` tells that `owner`
    is listed as leaving.
    """

    sender: str
    workspace: str
    owner: str
    ended: tuple[str, ...] = ()
    is_leaving: bool = False


class TakeoverAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Response to a `TakeoverRequest`.

    If `is_active`, the daemon yields in `seconds`; with 0 it has yielded, and the `tokens` of
    its bucket move to the sender. Otherwise a daemon that was removed from the list may be
    active for `seconds`; 0: none is known. `is_new` tells that the daemon has had its list for
    too short a time to know of one.
    """

    seconds: float
    is_active: bool = False
    tokens: float = 0.0
    is_new: bool = False
