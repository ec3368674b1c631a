"""How outcomes that are not a backend server's answer look in HTTP."""

import math

from wheatslip.hop import OUTCOME_HEADER, encode_outcome
from wheatslip.outcome import NotRun, Reason, Unknown

from wheatslipd.http.exchange import Exchange
from wheatslipd.http.messages import Headers, ResponseHead

_NOT_RUN_STATUS = {
    Reason.BAD_REQUEST: 400,
    Reason.UNAUTHENTICATED: 401,
    Reason.NO_SUCH_SERVICE: 404,
    Reason.OVER_SHARE: 429,
    Reason.DEADLINE: 504,
}
_UNKNOWN_STATUS = {
    Reason.DEADLINE: 504,
    Reason.DUPLICATE: 409,
    Reason.KEY_TOO_OLD: 409,
}
NOT_RUN_DEFAULT = 503
UNKNOWN_DEFAULT = 502
RETRY_AFTER_MS = b"wheatslip-retry-after-ms"


def status_of(outcome: NotRun | Unknown) -> int:
    """The HTTP status of a refusal or an unknown outcome."""
    if isinstance(outcome, NotRun):
        return _NOT_RUN_STATUS.get(outcome.reason, NOT_RUN_DEFAULT)
    return _UNKNOWN_STATUS.get(outcome.reason, UNKNOWN_DEFAULT)


async def send_refusal(
    exchange: Exchange, outcome: NotRun | Unknown, extra: Headers | None = None
) -> None:
    """Answer with a refusal; `extra` headers go with it."""
    headers: Headers = [(OUTCOME_HEADER, encode_outcome(outcome)), *(extra or [])]
    if isinstance(outcome, NotRun) and outcome.retry_after is not None:
        # Retry-After knows whole seconds only; the exact time stands beside it.
        headers.append((b"retry-after", b"%d" % math.ceil(outcome.retry_after)))
        headers.append((RETRY_AFTER_MS, b"%d" % math.ceil(outcome.retry_after * 1000)))
    await exchange.respond(ResponseHead(status_of(outcome), headers))
