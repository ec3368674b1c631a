"""Connections of one entry to the owners of limits, and one ask over them.

A connection stays open for later asks. It is closed after a time without asks, after an
ask that was not answered in time, and when its daemon is no longer listed.
"""

import asyncio
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import msgspec
from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.exceptions import GRPCError, StreamTerminatedError
from result import Err, Ok, Result
from wheatslip.quota.messages import TokenGrant, TokenRequest
from wheatslip.store.instances import Instance

from wheatslipd.feed.codec import StructCodec
from wheatslipd.quota.askfailure import (
    DECLINED_STATUS,
    OTHER_DAEMON_STATUS,
    UNSUPPORTED_STATUSES,
    AskFailure,
)
from wheatslipd.quota.service import GET_TOKENS_METHOD
from wheatslipd.tls import PeerTls

ASK_TIMEOUT_SECONDS = 0.1  # for the connection and the answer together
IDLE_CLOSE_SECONDS = 60.0  # time without asks after which a connection is closed


@dataclass(slots=True, eq=False)
class _OpenChannel:
    """A channel to an owner; `used_at` is in seconds of the loop's clock."""

    channel: Channel
    method: UnaryUnaryMethod[TokenRequest, TokenGrant]
    used_at: float
    idle_timer: asyncio.TimerHandle | None = None


class OwnerChannels:
    """The connections of one entry to owners, by name."""

    def __init__(self, tls: PeerTls):
        self._tls = tls
        self._instances: Mapping[str, Instance] = {}
        self._channels: dict[str, _OpenChannel] = {}

    @property
    def open_channels(self) -> tuple[str, ...]:
        """Names of the owners to which a channel is kept."""
        return tuple(self._channels)

    def set_instances(self, instances: Mapping[str, Instance]) -> None:
        """Set the listed daemons by name; close the channels to all others."""
        before, self._instances = self._instances, instances
        for name in ended_processes(self._channels, before, instances):
            self._close(name)

    async def ask(self, owner: str, request: TokenRequest) -> Result[TokenGrant, AskFailure]:
        """Ask a listed owner, for at most `ASK_TIMEOUT_SECONDS`."""
        instance = self._instances.get(owner)
        if instance is None:
            return Err(AskFailure.SILENT)
        was_open = owner in self._channels
        opened = self._open(instance)
        try:
            async with asyncio.timeout(ASK_TIMEOUT_SECONDS):
                result = await _ask_once(opened, request)
                is_listed = owner in self._instances  # else `set_instances` closed the channel
                if was_open and is_listed and result == Err(AskFailure.SILENT):
                    # The open connection broke. Only a new one tells whether a process listens.
                    opened = self._open(instance)
                    result = await _ask_once(opened, request)
        except TimeoutError:
            result = Err(AskFailure.SILENT)
        is_failed = result.is_err() and result != Err(AskFailure.DECLINED)
        if is_failed and self._channels.get(owner) is opened:
            self._close(owner)
        return result

    def close(self) -> None:
        """Close all channels."""
        for name in list(self._channels):
            self._close(name)

    def _open(self, instance: Instance) -> _OpenChannel:
        loop = asyncio.get_running_loop()
        opened = self._channels.get(instance.name)
        if opened is None:
            channel = Channel(
                instance.address,
                instance.control_port,
                codec=StructCodec(),
                ssl=self._tls.client,
            )
            method: UnaryUnaryMethod[TokenRequest, TokenGrant] = UnaryUnaryMethod(
                channel, GET_TOKENS_METHOD, TokenRequest, TokenGrant
            )
            opened = self._channels[instance.name] = _OpenChannel(channel, method, loop.time())
            self._check_idle_later(instance.name, opened, IDLE_CLOSE_SECONDS)
        opened.used_at = loop.time()
        return opened

    def _check_idle_later(self, name: str, opened: _OpenChannel, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        opened.idle_timer = loop.call_later(seconds, self._close_if_idle, name, opened)

    def _close_if_idle(self, name: str, opened: _OpenChannel) -> None:
        idle_seconds = asyncio.get_running_loop().time() - opened.used_at
        if idle_seconds >= IDLE_CLOSE_SECONDS:
            self._close(name)
        else:
            self._check_idle_later(name, opened, IDLE_CLOSE_SECONDS - idle_seconds)

    def _close(self, name: str) -> None:
        opened = self._channels.pop(name, None)
        if opened is None:
            return
        if opened.idle_timer is not None:
            opened.idle_timer.cancel()
        opened.channel.close()


async def _ask_once(
    opened: _OpenChannel, request: TokenRequest
) -> Result[TokenGrant, AskFailure]:
    try:
        return Ok(await opened.method(request))
    except ConnectionRefusedError:
        return Err(AskFailure.REFUSED)
    except GRPCError as error:
        if error.status is OTHER_DAEMON_STATUS:
            return Err(AskFailure.REFUSED)
        if error.status is DECLINED_STATUS:
            return Err(AskFailure.DECLINED)
        is_unsupported = error.status in UNSUPPORTED_STATUSES
        return Err(AskFailure.UNSUPPORTED if is_unsupported else AskFailure.SILENT)
    except (OSError, StreamTerminatedError, msgspec.DecodeError):
        return Err(AskFailure.SILENT)


def ended_processes(
    names: Iterable[str], before: Mapping[str, Instance], listed: Mapping[str, Instance]
) -> list[str]:
    """Those of `names` that are no longer listed, or with another process or control port than
    in the list `before`, which has all of them.
    """
    return [
        name
        for name in names
        if name not in listed or not _is_same_process(before[name], listed[name])
    ]


def _is_same_process(old: Instance, new: Instance) -> bool:
    """Whether two list entries of a name are of the same process and control port."""
    return (old.incarnation, old.address, old.control_port) == (
        new.incarnation,
        new.address,
        new.control_port,
    )
