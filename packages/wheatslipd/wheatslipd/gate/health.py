"""One request to the local backend server's health endpoint."""

import asyncio

from wheatslipd.gate.backend import Backend, BackendAnswer
from wheatslipd.http.body import Body, BodyTruncated
from wheatslipd.http.messages import MILLISECONDS_PER_SECOND, RequestHead, ResponseHead

MAX_BODY_BYTES = 64 * 1024  # of the answer; what comes beyond is not read


async def ask_health(backend: Backend, path: str, timeout: float) -> ResponseHead | None:
    """The head of the answer, whatever its status; None if none came in `timeout` seconds."""
    body = Body(_nothing, _nothing)
    body.finish()
    head = RequestHead(b"GET", path.encode(), [(b"host", b"localhost")])
    try:
        async with asyncio.timeout(timeout):
            answer = await backend.send(head, body)
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
    """Seconds that the server stays cold by its answer, 0 without the header; None if servers
    report no such header (`header` is empty), or if it can't be read.
    """
    if not header:
        return None
    try:
        return max(0.0, float(head.get(header) or b"0")) / MILLISECONDS_PER_SECOND
    except ValueError:
        return None


def _nothing() -> None:
    pass
