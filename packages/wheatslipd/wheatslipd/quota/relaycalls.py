"""Calls by which a new primary of a limit passes asks on to the former one.

They are rare: for some seconds after a limit has moved, and once for a workspace that was not
asked for lately. docs/design/limits-in-partitions.md says what follows from the answers.
"""

import asyncio
from dataclasses import dataclass

import msgspec
from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.const import Status
from grpclib.exceptions import GRPCError, StreamTerminatedError
from result import Err, Ok, Result
from wheatslip.quota.messages import RelayedAnswer, TokenRequest
from wheatslip.store.instances import Instance

from wheatslipd.feed.codec import StructCodec
from wheatslipd.quota.askfailure import (
    UNSUPPORTED_STATUSES,
    AskFailure,
    repeat_if_silent,
)
from wheatslipd.quota.knowndaemons import KnownDaemons
from wheatslipd.timeouts import reply_timeout
from wheatslipd.tls import PeerTls

RELAY_METHOD = "/wheatslip.Quota/Relay"
OTHER_DAEMON_STATUS = Status.NOT_FOUND  # another daemon has the address of the one asked
IDLE_CLOSE_SECONDS = 10.0

RelayResult = Result[RelayedAnswer, AskFailure]


@dataclass(slots=True, eq=False)
class _OpenChannel:
    channel: Channel
    idle_timer: asyncio.TimerHandle


class RelayCalls:
    """Calls to daemons that are listed, or were until lately."""

    def __init__(self, tls: PeerTls, known: KnownDaemons):
        self._tls = tls
        self._known = known
        self._channels: dict[str, _OpenChannel] = {}

    async def relay(self, owner: str, request: TokenRequest, seconds: float) -> RelayResult:
        """Pass an ask on to `owner`, and wait for up to `seconds`."""
        instance = self._known.get(owner)
        if instance is None:
            return Err(AskFailure.SILENT)
        try:
            async with reply_timeout(seconds, "former-primary"):
                return await repeat_if_silent(lambda: self._call(instance, request))
        except TimeoutError:
            self._close(owner)
            return Err(AskFailure.SILENT)

    def close(self) -> None:
        """Close all connections."""
        for name in list(self._channels):
            self._close(name)

    async def _call(self, instance: Instance, request: TokenRequest) -> RelayResult:
        method: UnaryUnaryMethod[TokenRequest, RelayedAnswer] = UnaryUnaryMethod(
            self._open(instance), RELAY_METHOD, TokenRequest, RelayedAnswer
        )
        try:
            return Ok(await method(msgspec.structs.replace(request, owner=instance.name)))
        except ConnectionRefusedError:
            failure = AskFailure.REFUSED
        except GRPCError as error:
            failure = _failure_of(error.status)
        except (OSError, StreamTerminatedError, msgspec.DecodeError):
            failure = AskFailure.SILENT
        self._close(instance.name)
        return Err(failure)

    def _open(self, instance: Instance) -> Channel:
        opened = self._channels.pop(instance.name, None)
        if opened is not None:
            opened.idle_timer.cancel()
            channel = opened.channel
        else:
            channel = Channel(
                instance.address,
                instance.control_port,
                codec=StructCodec(),
                ssl=self._tls.client,
            )
        timer = asyncio.get_running_loop().call_later(
            IDLE_CLOSE_SECONDS, self._close, instance.name
        )
        self._channels[instance.name] = _OpenChannel(channel, timer)
        return channel

    def _close(self, name: str) -> None:
        opened = self._channels.pop(name, None)
        if opened is not None:
            opened.idle_timer.cancel()
            opened.channel.close()


def _failure_of(status: Status) -> AskFailure:
    if status is OTHER_DAEMON_STATUS:
        return AskFailure.REFUSED
    if status in UNSUPPORTED_STATUSES:
        return AskFailure.UNSUPPORTED
    return AskFailure.SILENT
