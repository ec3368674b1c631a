"""Decides which response on a connection answers the request that waits there.

HTTP/1.1 matches responses to requests by their order alone, and a faulty backend server sends
responses that nothing asked for: a second one to an earlier request, late, in the place where
the next one is expected. If the responses repeat a header of their requests, its value is the
request's name, and only a response with that name answers:

| waits                | response with its name | with another name       | without a name |
|----------------------|------------------------|-------------------------|----------------|
| a named request      | taken                  | skipped                 | see `Naming`   |
| a check, or a        | -                      | skipped, if it is of an | taken          |
| request without name |                        | earlier request here    |                |

A name tells two requests apart only if the connection has not carried it before, and a response
without a name is told apart by nothing. So a connection carries

- a named request once: the same one again, after a rejection, goes on another connection;
- a request without a name only as its first and last, if others have names;
- checks beside named requests, since a response without a name answers none of these;
- if no request has a name, either checks or requests, and then the order decides.

Bytes that arrive while nothing waits end the connection. So does a head that contains a status
line: a response was cut off there, and the next one has run into it.
"""

import re
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from wheatslipd.http.messages import Headers

# That one connection carries before it is closed. It bounds the memory for the names; a smaller
# number would open connections more often.
MAX_NAMES = 1000

_STATUS_LINE = re.compile(rb"HTTP/1\.[01] [0-9]{3}")


class Kind(StrEnum):
    """What is sent to a server."""

    REQUEST = "request"
    CHECK = "check"  # of its health


@dataclass(frozen=True, slots=True)
class Question:
    """What waits for a response; `name` is empty if the request has none."""

    kind: Kind
    name: bytes = b""


CHECK = Question(Kind.CHECK)
UNNAMED_REQUEST = Question(Kind.REQUEST)


@dataclass(frozen=True, slots=True)
class Naming:
    """How the responses of a server name their requests.

    `header` is the lower-case name of the header that they repeat; empty: they repeat none.
    With `is_certain`, a response without it answers no named request, and is skipped. Otherwise
    the server may not repeat names: such a response is the answer on a connection that has
    carried nothing before, which is closed after it; on any other it ends the connection.
    """

    header: bytes = b""
    is_certain: bool = False


UNNAMED = Naming()


class Match(StrEnum):
    """What becomes of a response."""

    TAKEN = "taken"
    SKIPPED = "skipped"  # the one that is waited for may follow
    ENDS_CONNECTION = "ends-connection"  # it may be the answer or not


@dataclass(frozen=True, slots=True)
class UnmatchedResponse:
    """A response without the name of the request that waits, or bytes while none waits.

    `question` is what waits, None if nothing does. `name` is the response's, empty if it has
    none.
    """

    question: Question | None
    match: Match
    name: bytes = b""


OnUnmatched = Callable[[UnmatchedResponse], None]


def ignore_unmatched(response: UnmatchedResponse) -> None:
    """For servers that are trusted to send one response to each request."""


class ResponseMatcher:
    """Applies the rule to one connection."""

    def __init__(self, naming: Naming, on_unmatched: OnUnmatched):
        self._naming = naming
        self._on_unmatched = on_unmatched
        self._question: Question | None = None  # the latest
        self._names: set[int] = set()  # hashes of the names of all requests
        self._request_count = 0
        self._repeats_names = naming.is_certain
        self._is_spent = False

    @property
    def is_spent(self) -> bool:
        """Whether the connection must not carry another request."""
        return self._is_spent or len(self._names) >= MAX_NAMES

    def may_carry(self, question: Question) -> bool:
        """Whether the response to `question` could be told apart from those to all before."""
        previous = self._question
        if previous is None:
            return True
        if not self._naming.header:
            return question.kind is previous.kind
        if question.kind is Kind.CHECK:
            return True
        is_new = bool(question.name) and hash(question.name) not in self._names
        return is_new and self._repeats_names

    def begin(self, question: Question) -> None:
        """Record that a request is sent."""
        self._question = question
        self._request_count += 1
        if not self._naming.header:
            return
        if question.name:
            self._names.add(hash(question.name))
        elif question.kind is Kind.REQUEST:
            self._is_spent = True

    def match(self, reason: bytes, headers: Headers) -> Match:
        """Decide on a final response with this reason phrase and these headers."""
        question = self._question
        if not self._naming.header or question is None:
            return Match.TAKEN
        if _contains_status_line(reason, headers):
            self._on_unmatched(UnmatchedResponse(question, Match.ENDS_CONNECTION))
            return Match.ENDS_CONNECTION
        names = {value for name, value in headers if name == self._naming.header and value}
        if question.name:
            match = self._match_named(question.name, names)
            is_expected = names == {question.name}
        else:
            # A server may name responses to unnamed requests too, by names of its own.
            is_expected = not any(hash(name) in self._names for name in names)
            match = Match.TAKEN if is_expected else Match.SKIPPED
        if not is_expected:
            self._on_unmatched(UnmatchedResponse(question, match, min(names, default=b"")))
        return match

    def on_unasked_bytes(self) -> None:
        """Record that bytes arrived while no request waited for a response."""
        self._on_unmatched(UnmatchedResponse(None, Match.ENDS_CONNECTION))

    def _match_named(self, name: bytes, names: set[bytes]) -> Match:
        if names == {name}:
            self._repeats_names = True
            return Match.TAKEN
        if names or self._naming.is_certain:
            return Match.SKIPPED
        if self._request_count > 1:
            return Match.ENDS_CONNECTION
        self._is_spent = True
        return Match.TAKEN


def may_answer(naming: Naming, name: bytes, headers: Headers) -> bool:
    """Whether a response that another daemon has matched and passed on can be the answer to the
    request `name`; it is only refuted by its name, or where names are certain by having none.
    """
    if not naming.header or not name:
        return True
    names = {value for key, value in headers if key == naming.header and value}
    return names == {name} or not (names or naming.is_certain)


def _contains_status_line(reason: bytes, headers: Headers) -> bool:
    texts = [reason, *(value for _, value in headers)]
    return any(b"HTTP/1." in text and _STATUS_LINE.search(text) for text in texts)
