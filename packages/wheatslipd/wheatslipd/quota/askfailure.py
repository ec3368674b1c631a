"""Why an owner has not answered an ask, whichever way it was sent."""

from enum import Enum, auto

from grpclib.const import Status

# grpclib reports the answer of a server without the method as UNKNOWN.
UNSUPPORTED_STATUSES = frozenset({Status.UNIMPLEMENTED, Status.UNKNOWN})


class AskFailure(Enum):
    """Why an owner has not answered an ask."""

    # No process listens there, or that of another daemon: the owner has ended.
    REFUSED = auto()
    SILENT = auto()  # no answer in time, or the connection broke; its process may run
    UNSUPPORTED = auto()  # it runs a version that does not know the method
