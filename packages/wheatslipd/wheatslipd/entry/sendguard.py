"""Keeps an entry from sending requests that end the servers that run them.

One for each request under way. The fingerprint is made only where something depends on it:
while anything is held against any request, or for a body that is sent on before it is whole.
"""

from collections.abc import Callable

from wheatslip.call import Call
from wheatslip.hop import FINGERPRINT_HEADER, SUSPECT_HEADER
from wheatslip.outcome import NotRun, Outcome, Reason, Unknown
from wheatslip.quarantine import Quarantine
from wheatslip.retryafter import held_refusal

from wheatslipd.http.identity import fingerprint_of
from wheatslipd.http.messages import Headers, RequestHead


class SendGuard:
    """What an entry knows of one request's dealings with servers."""

    def __init__(
        self,
        quarantine: Quarantine,
        unix: Callable[[], float],
        call: Call,
        *,
        by_routes: bool,
    ):
        """`unix` in seconds. By routes, workspaces are not told apart."""
        self._quarantine = quarantine
        self._unix = unix
        self._workspace = "" if by_routes else call.workspace
        self._service = call.service
        self.fingerprint = ""  # empty until it is needed
        self._is_suspect = False  # a server ended under an earlier try

    def refusal(self, head: RequestHead, body: bytes) -> NotRun | None:
        """The refusal of a request that is held now; None if it may be sent."""
        if not len(self._quarantine):
            return None
        fingerprint = self._made(head, body)
        seconds = self._quarantine.held_for(fingerprint, self._unix())
        return held_refusal(seconds) if seconds > 0 else None

    def headers(self, head: RequestHead, body: bytes, *, is_whole: bool) -> Headers:
        """What the gate must be told beside the hop; a whole body tells it the fingerprint."""
        headers: Headers = []
        if not is_whole:
            headers.append((FINGERPRINT_HEADER, self._made(head, body).encode()))
        if self._is_suspect:
            headers.append((SUSPECT_HEADER, b"1"))
        return headers

    def on_outcome(self, outcome: Outcome) -> None:
        """A try has ended."""
        if isinstance(outcome, Unknown) and outcome.reason is Reason.SERVER_ENDED:
            self._is_suspect = True

    def on_answer(self) -> None:
        """A server has answered, and not with a failure."""
        if self.fingerprint:
            self._quarantine.answered(self.fingerprint)

    def _made(self, head: RequestHead, body: bytes) -> str:
        if not self.fingerprint:
            self.fingerprint = fingerprint_of(head, self._workspace, self._service, body)
        return self.fingerprint
