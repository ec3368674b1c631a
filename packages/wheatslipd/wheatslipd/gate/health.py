"""Requests to the health endpoint of the local backend server."""

from wheatslipd.gate.backend import Backend, BackendAnswer
from wheatslipd.http.body import Body, BodyTruncated
from wheatslipd.http.matching import CHECK
from wheatslipd.http.messages import MILLISECONDS_PER_SECOND, RequestHead, ResponseHead
from wheatslipd.timeouts import reply_timeout

MAX_BODY_BYTES = 64 * 1024  # the rest of a longer response is not read


async def ask_health(backend: Backend, path: str, timeout: float) -> ResponseHead | None:
    """Return the response head, whatever its status; None on failure or timeout (seconds)."""
    body = Body(_do_nothing, _do_nothing)
    body.finish()
    head = RequestHead(b"GET", path.encode(), [(b"host", b"localhost")])
    try:
        async with reply_timeout(timeout, "health"):
            answer = await backend.send(head, body, CHECK)
            if not isinstance(answer, BackendAnswer):
                return None
            try:
                await answer.response.body.read_up_to(MAX_BODY_BYTES)
            finally:
                backend.release(answer)
    except (TimeoutError, BodyTruncated):
        return None
    return answer.response.head


def cold_remaining(head: ResponseHead, header: bytes) -> float | None:
    """Seconds for which the server stays cold, 0 without the header.

    None if the setting for the header is empty, or if its value is invalid.
    """
    if not header:
        return None
    try:
        return max(0.0, float(head.get(header) or b"0")) / MILLISECONDS_PER_SECOND
    except ValueError:
        return None


def _do_nothing() -> None:
    pass
