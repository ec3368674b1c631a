"""Calls by which a daemon that becomes the primary of a limit takes it over.

They are rare, so each has a connection of its own.
"""

from collections import OrderedDict
from collections.abc import Mapping

import msgspec
from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.const import Status
from grpclib.exceptions import GRPCError, StreamTerminatedError
from result import Err, Ok, Result
from wheatslip.quota.messages import TakeoverAnswer, TakeoverRequest
from wheatslip.store.instances import Instance, InstanceState

from wheatslipd.feed.codec import StructCodec
from wheatslipd.quota.askfailure import (
    OTHER_DAEMON_STATUS,
    UNSUPPORTED_STATUSES,
    AskFailure,
)
from wheatslipd.tls import PeerTls

MAX_DEPARTED = 1000  # limits memory; the oldest are forgotten
TAKE_OVER_METHOD = "/wheatslip.Quota/TakeOver"


class TakeoverCalls:
    """Sends takeover requests to listed daemons, also to those that are leaving."""

    def __init__(self, tls: PeerTls):
        self._tls = tls
        self._instances: Mapping[str, Instance] = {}
        # Those that are no longer listed after they left; their processes may still run.
        self._departed: OrderedDict[str, Instance] = OrderedDict()

    def set_instances(self, instances: Mapping[str, Instance]) -> None:
        """Set all daemons in the list by name."""
        for name, instance in self._instances.items():
            if name not in instances and instance.state is InstanceState.LEAVING:
                self._departed[name] = instance
        while len(self._departed) > MAX_DEPARTED:
            self._departed.popitem(last=False)
        self._instances = instances

    async def send(self, request: TakeoverRequest) -> Result[TakeoverAnswer, AskFailure]:
        """Ask the request's owner. The caller limits the time."""
        instance = self._instances.get(request.owner) or self._departed.get(request.owner)
        if instance is None:
            return Err(AskFailure.SILENT)
        channel = Channel(
            instance.address, instance.control_port, codec=StructCodec(), ssl=self._tls.client
        )
        method: UnaryUnaryMethod[TakeoverRequest, TakeoverAnswer] = UnaryUnaryMethod(
            channel, TAKE_OVER_METHOD, TakeoverRequest, TakeoverAnswer
        )
        try:
            return Ok(await method(request))
        except ConnectionRefusedError:
            return Err(AskFailure.REFUSED)
        except GRPCError as error:
            return Err(_failure_of(error.status))
        except (OSError, StreamTerminatedError, msgspec.DecodeError):
            return Err(AskFailure.SILENT)
        finally:
            channel.close()


def _failure_of(status: Status) -> AskFailure:
    if status is OTHER_DAEMON_STATUS:
        return AskFailure.REFUSED
    return AskFailure.UNSUPPORTED if status in UNSUPPORTED_STATUSES else AskFailure.SILENT
