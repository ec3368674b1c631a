"""Keeps an entry from sending requests that end the servers that run them.

A fingerprint is computed only if the quarantine is not empty or the body is streamed.
"""

from collections.abc import Callable

from wheatslip.hop import FINGERPRINT_HEADER, SUSPECT_HEADER
from wheatslip.outcome import NotRun, Outcome, Reason, Unknown
from wheatslip.quarantine import Quarantine
from wheatslip.retryafter import held_refusal

from wheatslipd.http.identity import fingerprint_of
from wheatslipd.http.messages import Headers, RequestHead


class SendGuard:
    """Checks one request in flight against the quarantine, and records how its tries end."""

    def __init__(
        self,
        quarantine: Quarantine,
        unix: Callable[[], float],
        workspace: str,
        service: str,
    ):
        """`unix` is the wall clock, in seconds. `workspace` is the one in the hop, by which the
        gate computes the same fingerprint: empty if nobody was identified.
        """
        self._quarantine = quarantine
        self._unix = unix
        self._workspace = workspace
        self._service = service
        self.fingerprint = ""  # empty until it is computed
        self._is_suspect = False  # a server ended during an earlier try

    def refusal(self, head: RequestHead, body: bytes) -> NotRun | None:
        """The refusal of a held request; None if the request may be sent."""
        if not len(self._quarantine):
            return None
        fingerprint = self._ensure_fingerprint(head, body)
        seconds = self._quarantine.held_for(fingerprint, self._unix())
        return held_refusal(seconds) if seconds > 0 else None

    def headers(self, head: RequestHead, body: bytes, *, is_whole: bool) -> Headers:
        """Headers for the gate, which computes the fingerprint itself from a whole body."""
        headers: Headers = []
        if not is_whole:
            headers.append((FINGERPRINT_HEADER, self._ensure_fingerprint(head, body).encode()))
        if self._is_suspect:
            headers.append((SUSPECT_HEADER, b"1"))
        return headers

    def on_outcome(self, outcome: Outcome) -> None:
        """Record the outcome of a try."""
        if isinstance(outcome, Unknown) and outcome.reason is Reason.SERVER_ENDED:
            self._is_suspect = True

    def on_answer(self) -> None:
        """Clear the request: a server answered it without failing."""
        if self.fingerprint:
            self._quarantine.answered(self.fingerprint)

    def _ensure_fingerprint(self, head: RequestHead, body: bytes) -> str:
        if not self.fingerprint:
            self.fingerprint = fingerprint_of(head, self._workspace, self._service, body)
        return self.fingerprint
