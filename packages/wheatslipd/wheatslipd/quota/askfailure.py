"""Why an owner has not answered an ask, whichever way it was sent."""

from collections.abc import Awaitable, Callable
from enum import Enum, auto
from typing import TypeVar

from grpclib.const import Status
from result import Err, Result

# grpclib reports the answer of a server without the method as UNKNOWN.
UNSUPPORTED_STATUSES = frozenset({Status.UNIMPLEMENTED, Status.UNKNOWN})


class AskFailure(Enum):
    """Why an owner has not answered an ask."""

    # No process listens there, or that of another daemon: the owner has ended.
    REFUSED = auto()
    SILENT = auto()  # no answer in time, or the connection broke; its process may run
    UNSUPPORTED = auto()  # it runs a version that does not know the method


T = TypeVar("T")


async def repeat_if_silent(
    ask: Callable[[], Awaitable[Result[T, AskFailure]]],
) -> Result[T, AskFailure]:
    """Ask, and again if the connection broke.

    Only a new one tells whether a process listens.
    """
    result = await ask()
    return await ask() if result == Err(AskFailure.SILENT) else result
