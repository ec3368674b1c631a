"""Reads what the response of another daemon tells besides the answer itself.

It carries the load of the backend server, the bundle version of its daemon, what the server
announces, and whether the request was refused.
"""

from collections.abc import Callable

from wheatslip.attempts import SERVER_ERROR
from wheatslip.chooser import Chooser
from wheatslip.hop import (
    LOAD_HEADER,
    NOTICE_HEADER,
    OUTCOME_HEADER,
    decode_load,
    decode_notice,
    decode_refusal,
)
from wheatslip.outcome import NotRun, Reason, Unknown
from wheatslip.servernotice import ServerNotice
from wheatslip.upstream import Upstream

from wheatslipd.controllers.view import Peer, View
from wheatslipd.entry.refusals import RETRY_AFTER_MS_HEADER
from wheatslipd.http.matching import Naming, may_answer
from wheatslipd.http.messages import ResponseHead
from wheatslipd.noticeheaders import read_notice
from wheatslipd.settings import HeaderNames
from wheatslipd.telemetry import logs

ANSWERED = b"answered"  # value of the outcome header of a backend server's response


class PeerResponseReader:
    """Passes on what responses tell to the chooser, the upstreams and the feed."""

    def __init__(
        self,
        names: HeaderNames,
        naming: Naming,
        chooser: Chooser,
        view: View,
        clock: Callable[[], float],
        on_newer_version: Callable[[int, str], None],
    ):
        """`on_newer_version` is called with a bundle version newer than this daemon's, and the
        address of the daemon that has it.
        """
        self._names = names
        self._naming = naming
        self._chooser = chooser
        self._view = view
        self._clock = clock
        self._on_newer_version = on_newer_version

    def read(
        self, peer: Peer, head: ResponseHead, request_id: bytes
    ) -> NotRun | Unknown | None:
        """Apply what a response tells. Return the peer's refusal; None if the backend server
        has responded to the request `request_id`.

        A gate of the version before may pass on the response to another request.
        """
        self._apply_report(peer, head)
        refusal = _decode_refusal(head)
        if refusal is None and not may_answer(self._naming, request_id, head.headers):
            name = peer.instance.name
            logs.warning("answer-unmatched", daemon=name, repeat_key=name)
            refusal = Unknown(Reason.CONNECTION_LOST)
        self._apply_notice(peer.upstream, head, refusal)
        return refusal

    def _apply_report(self, peer: Peer, head: ResponseHead) -> None:
        """Apply the load, bundle version and server failure that a response reports."""
        now = self._clock()
        value = head.get(LOAD_HEADER)
        report = decode_load(value) if value else None
        if report is None:
            return
        self._chooser.on_report(peer.upstream, report, now)
        if report.version > self._view.version:
            self._on_newer_version(report.version, peer.instance.address)
        if (head.get(OUTCOME_HEADER) or b"") == ANSWERED:
            peer.upstream.on_answer(now, failed=head.status >= SERVER_ERROR)

    def _apply_notice(
        self, upstream: Upstream, head: ResponseHead, refusal: NotRun | Unknown | None
    ) -> None:
        """Remember what the backend server announces, or what its gate knows of that.

        The server's own headers count too: its daemon's version may not read them.
        """
        now = self._clock()
        memory = upstream.notices
        gate_notice = decode_notice(head.get(NOTICE_HEADER) or b"")
        if refusal is not None:
            if isinstance(refusal, NotRun):
                memory.on_refusal(gate_notice, now)
            return
        start = gate_notice.start if gate_notice is not None else memory.start
        previous = ServerNotice(start, memory.rate, memory.is_leaving(now))
        memory.on_answer(read_notice(head, self._names, previous), now)


def _decode_refusal(head: ResponseHead) -> NotRun | Unknown | None:
    """The peer's refusal; None if this is a response of the backend server."""
    value = head.get(OUTCOME_HEADER)
    if value is None:
        return Unknown(Reason.CONNECTION_LOST)
    wait = head.get(RETRY_AFTER_MS_HEADER) or b""
    return decode_refusal(value, int(wait) / 1000 if wait.isdigit() else None)
