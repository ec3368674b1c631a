"""A request that an entry has forwarded, and what is decoded from it."""

from dataclasses import dataclass

from wheatslip.call import COMMON_RANK, UNLIMITED, Call, CallClass, Rank, RequestKind
from wheatslip.fingerprint import HASHED_BODY_BYTES
from wheatslip.hop import FINGERPRINT_HEADER, Hop
from wheatslip.runtracker import Run

from wheatslipd.http.exchange import Exchange
from wheatslipd.http.identity import fingerprint_of
from wheatslipd.telemetry.tracing import HopTrace


@dataclass(slots=True, eq=False)
class ForwardedRequest:
    """A forwarded request and what was decoded from it.

    `workspace` is empty if nobody was identified; the call may have another one then.
    """

    exchange: Exchange
    hop: Hop
    call: Call
    trace: HopTrace
    fingerprint: str
    workspace: str

    def run(self) -> Run:
        """The record of this request for the server-end detector."""
        return Run(self.fingerprint, self.call.service, self.call.kind.name)


def fingerprint_of_request(exchange: Exchange, hop: Hop) -> str:
    """The fingerprint that the entry sent, or else one of the head and the buffered body."""
    head = exchange.head
    received_fingerprint = head.get(FINGERPRINT_HEADER)
    if received_fingerprint is not None:
        return received_fingerprint.decode("ascii", "replace")
    body = exchange.body.peek(HASHED_BODY_BYTES)
    return fingerprint_of(head, hop.workspace, hop.service, body)


def decode_call(hop: Hop, now: float, request_id: str, rank: Rank = COMMON_RANK) -> Call:
    """Build the call from a decoded hop; its remaining times count from `now`."""
    call_class = CallClass.URGENT if hop.urgent else CallClass.NORMAL
    return Call(
        hop.workspace,
        hop.service,
        RequestKind(hop.kind, hop.repeatable, call_class),
        now + hop.remaining,
        hop.key,
        hop.depth,
        target=_time_after(now, hop.target),
        hold_until=_time_after(now, hop.hold),
        request_id=request_id,
        rank=rank,
    )


def _time_after(now: float, seconds: float | None) -> float:
    """The time `seconds` after `now`; `UNLIMITED` if there is no bound."""
    return UNLIMITED if seconds is None else now + seconds
