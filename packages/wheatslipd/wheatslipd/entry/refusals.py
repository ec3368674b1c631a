"""HTTP responses for outcomes without a response of a backend server."""

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
    Reason.OVER_LIMIT: 429,
    Reason.DEADLINE: 504,
    Reason.TOO_LARGE: 413,
    Reason.TOO_SLOW: 408,
}
_UNKNOWN_STATUS = {
    Reason.DEADLINE: 504,
    Reason.DUPLICATE: 409,
    Reason.KEY_TOO_OLD: 409,
    Reason.TOO_LARGE: 413,
}
DEFAULT_NOT_RUN_STATUS = 503
DEFAULT_UNKNOWN_STATUS = 502
RETRY_AFTER_MS_HEADER = b"wheatslip-retry-after-ms"


def status_of(outcome: NotRun | Unknown, *, by_routes: bool = False) -> int:
    """The HTTP status of a refusal; `by_routes` as in `send_refusal`."""
    if isinstance(outcome, Unknown):
        return _UNKNOWN_STATUS.get(outcome.reason, DEFAULT_UNKNOWN_STATUS)
    if by_routes and outcome.reason is Reason.DEADLINE:
        return DEFAULT_NOT_RUN_STATUS
    return _NOT_RUN_STATUS.get(outcome.reason, DEFAULT_NOT_RUN_STATUS)


async def send_refusal(
    exchange: Exchange,
    outcome: NotRun | Unknown,
    extra_headers: Headers | None = None,
    *,
    by_routes: bool = False,
) -> None:
    """Respond with a refusal.

    With `by_routes`, callers do not read `wheatslip-*` headers: the status alone must show that
    the request was not run, and `Retry-After` has fractions of a second.
    """
    headers: Headers = [(OUTCOME_HEADER, encode_outcome(outcome)), *(extra_headers or [])]
    status = status_of(outcome, by_routes=by_routes)
    if by_routes:
        has_time = status == DEFAULT_NOT_RUN_STATUS or outcome.reason is Reason.OVER_LIMIT
        if has_time and isinstance(outcome, NotRun):
            wait = outcome.retry_after or DEFAULT_RETRY_AFTER_SECONDS
            headers.append((b"retry-after", b"%.3f" % wait))
    elif isinstance(outcome, NotRun) and outcome.retry_after is not None:
        # Retry-After has whole seconds only, so a second header carries the exact time.
        headers.append((b"retry-after", b"%d" % math.ceil(outcome.retry_after)))
        headers.append((RETRY_AFTER_MS_HEADER, b"%d" % math.ceil(outcome.retry_after * 1000)))
    await exchange.respond(ResponseHead(status, headers))
