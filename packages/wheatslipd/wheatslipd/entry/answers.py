"""The HTTP answers for outcomes that are not a backend server's answer."""

import math

from wheatslip.hop import OUTCOME_HEADER, encode_outcome
from wheatslip.outcome import NotRun, Reason, Unknown
from wheatslip.retryafter import DEFAULT_RETRY_AFTER_SECONDS

from wheatslipd.http.exchange import Exchange
from wheatslipd.http.messages import Headers, ResponseHead

_NOT_RUN_STATUS = {
    Reason.BAD_REQUEST: 400,
    Reason.UNAUTHENTICATED: 401,
    Reason.NO_SUCH_SERVICE: 404,
    Reason.NO_ROUTE: 404,
    Reason.OVER_SHARE: 429,
    Reason.DEADLINE: 504,
}
_UNKNOWN_STATUS = {
    Reason.DEADLINE: 504,
    Reason.DUPLICATE: 409,
    Reason.KEY_TOO_OLD: 409,
}
NOT_RUN_DEFAULT = 503  # HTTP status
UNKNOWN_DEFAULT = 502  # HTTP status
RETRY_AFTER_MS = b"wheatslip-retry-after-ms"


def status_of(outcome: NotRun | Unknown, *, by_routes: bool = False) -> int:
    """The HTTP status of an outcome that is not an answer; `by_routes` as in `send_refusal`."""
    if isinstance(outcome, Unknown):
        return _UNKNOWN_STATUS.get(outcome.reason, UNKNOWN_DEFAULT)
    if by_routes and outcome.reason is Reason.DEADLINE:
        return NOT_RUN_DEFAULT
    return _NOT_RUN_STATUS.get(outcome.reason, NOT_RUN_DEFAULT)


async def send_refusal(
    exchange: Exchange,
    outcome: NotRun | Unknown,
    extra: Headers | None = None,
    *,
    by_routes: bool = False,
) -> None:
    """Answer with a refusal; `extra` headers go with it.

    `by_routes`: the caller knows HTTP only, so the status alone must say that the request was
    not run, and `Retry-After` has fractions of a second. Otherwise our own headers say both.
    """
    headers: Headers = [(OUTCOME_HEADER, encode_outcome(outcome)), *(extra or [])]
    status = status_of(outcome, by_routes=by_routes)
    if by_routes:
        if status == NOT_RUN_DEFAULT and isinstance(outcome, NotRun):
            wait = outcome.retry_after or DEFAULT_RETRY_AFTER_SECONDS
            headers.append((b"retry-after", b"%.3f" % wait))
    elif isinstance(outcome, NotRun) and outcome.retry_after is not None:
        # Retry-After has whole seconds only, so the exact time goes with it.
        headers.append((b"retry-after", b"%d" % math.ceil(outcome.retry_after)))
        headers.append((RETRY_AFTER_MS, b"%d" % math.ceil(outcome.retry_after * 1000)))
    await exchange.respond(ResponseHead(status, headers))
