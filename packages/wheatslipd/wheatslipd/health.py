"""One question to the local backend server's health endpoint."""

import asyncio

from wheatslipd.backend import Backend, BackendAnswer
from wheatslipd.http.body import Body, BodyBroken
from wheatslipd.http.messages import RequestHead, ResponseHead

MAX_BODY_BYTES = 64 * 1024


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
    except (TimeoutError, BodyBroken):
        return None
    return answer.response.head


def _nothing() -> None:
    pass
