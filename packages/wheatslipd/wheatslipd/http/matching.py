"""What a response shows about the request that it answers.

A backend server may send responses that nothing asked for. If the setting names a header that
its responses repeat, the value of a request's header is the request's name.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from wheatslipd.http.messages import Headers


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
class UnmatchedResponse:
    """A response without the name of the request that waits, or bytes while none waits.

    `question` is what waits, None if nothing does. `name` is the response's, empty if it has
    none. `taken` tells whether it is used as the answer.
    """

    question: Question | None
    name: bytes = b""
    taken: bool = False


OnUnmatched = Callable[[UnmatchedResponse], None]


def ignore_unmatched(response: UnmatchedResponse) -> None:
    """For servers that are trusted to send one response to each request."""


class ResponseMatcher:
    """Compares the responses on one connection with the requests that wait for them."""

    def __init__(self, header: bytes, on_unmatched: OnUnmatched):
        """`header` is the lower-case name of the header that responses repeat, or empty."""
        self._header = header
        self._on_unmatched = on_unmatched
        self._question: Question | None = None

    def begin(self, question: Question) -> None:
        """A request is sent."""
        self._question = question

    def accepts(self, headers: Headers) -> bool:
        """Whether a response with `headers` answers the request that waits."""
        question = self._question
        if not self._header or question is None:
            return True
        names = [value for name, value in headers if name == self._header and value]
        shown = names[0] if names else b""
        accepted = not (question.name and names) or shown == question.name
        if shown != question.name:
            self._on_unmatched(UnmatchedResponse(question, shown, taken=accepted))
        return accepted

    def on_unasked_bytes(self) -> None:
        """Bytes arrived while no request waited for a response."""
        self._on_unmatched(UnmatchedResponse(None))
