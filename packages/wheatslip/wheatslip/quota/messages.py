"""Messages between an entry and the owner of a workspace's rate limit.

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


class RelayedAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Response to a `TokenRequest` that another daemon has passed on.

    `primary` is set if it is declined: the sender grants no more as the primary, and by its
    list this daemon is the primary. `grant` then has the tokens that its bucket held, and
    `has_yielded` tells whether it was the primary until lately.
    """

    grant: TokenGrant
    primary: str = ""
    has_yielded: bool = False


class AskRefusal(Enum):
    """Why a daemon does not grant what it is asked for; a number on the wire."""

    # The ask is for another daemon, whose address this one has now, or this one has started and
    # has no list yet.
    OTHER_DAEMON = 1


class NumberedAsk(msgspec.Struct, frozen=True, array_like=True):
    """A `TokenRequest` on a stream of asks. `number` is unique on the stream."""

    number: int
    request: TokenRequest


class NumberedAnswer(msgspec.Struct, frozen=True, array_like=True):
    """The answer to the `NumberedAsk` with the same number."""

    number: int
    answer: TokenGrant | AskRefusal
