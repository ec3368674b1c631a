"""Why a call to an owner of a limit has failed, and the gRPC statuses that tell it."""

from enum import Enum, auto

from grpclib.const import Status

# The answer to a call for another daemon, which has ended: this one has its address now.
OTHER_DAEMON_STATUS = Status.NOT_FOUND
# grpclib reports the answer of a server without the method as UNKNOWN.
UNSUPPORTED_STATUSES = frozenset({Status.UNIMPLEMENTED, Status.UNKNOWN})


class AskFailure(Enum):
    """Why an owner has not answered a call."""

    # No process listens there, or that of another daemon: the owner has ended.
    REFUSED = auto()
    SILENT = auto()  # no answer in time, or the connection broke; its process may run
    UNSUPPORTED = auto()  # it runs a version that does not know the method
    DECLINED = auto()  # another daemon is active for the limit: the next candidate is asked
