"""The streams of one entry to the owners of limits, and asks over them.

A stream stays open for later asks. It is closed after a time without asks, when an ask timed
out and nothing else was answered meanwhile, and when its daemon is no longer listed.
"""

import asyncio
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from result import Err, Result
from wheatslip.quota.messages import TokenGrant, TokenRequest
from wheatslip.store.instances import Instance

from wheatslipd.quota.askfailure import AskFailure, repeat_if_silent
from wheatslipd.quota.askstream import AskStream
from wheatslipd.timeouts import reply_timeout
from wheatslipd.tls import PeerTls

ASK_TIMEOUT_SECONDS = 0.1  # for the connection and the answer together
IDLE_CLOSE_SECONDS = 60.0  # time without asks after which a stream is closed


@dataclass(slots=True, eq=False)
class _OpenChannel:
    """A stream to an owner; `used_at` is in seconds of the loop's clock."""

    stream: AskStream
    used_at: float
    idle_timer: asyncio.TimerHandle | None = None


class OwnerChannels:
    """The streams of one entry to owners, by name."""

    def __init__(self, tls: PeerTls):
        self._tls = tls
        self._instances: Mapping[str, Instance] = {}
        self._channels: dict[str, _OpenChannel] = {}

    @property
    def open_channels(self) -> tuple[str, ...]:
        """Names of the owners to which a stream is open."""
        return tuple(name for name in self._channels if self._is_open(name))

    def set_instances(self, instances: Mapping[str, Instance]) -> None:
        """Set the listed daemons by name; close the streams to all others."""
        before, self._instances = self._instances, instances
        for name in ended_processes(self._channels, before, instances):
            self._close(name)

    async def ask(self, owner: str, request: TokenRequest) -> Result[TokenGrant, AskFailure]:
        """Ask a listed owner, for at most `ASK_TIMEOUT_SECONDS`."""
        asked_at = asyncio.get_running_loop().time()
        try:
            async with reply_timeout(ASK_TIMEOUT_SECONDS, "quota-owner"):
                return await repeat_if_silent(lambda: self._ask_once(owner, request))
        except TimeoutError:
            self._close_if_silent(owner, asked_at)
            return Err(AskFailure.SILENT)

    def close(self) -> None:
        """Close all streams; open asks fail, and no later one opens a stream."""
        self._instances = {}
        for name in list(self._channels):
            self._close(name)

    def _is_open(self, owner: str) -> bool:
        opened = self._channels.get(owner)
        return opened is not None and not opened.stream.has_ended

    async def _ask_once(
        self, owner: str, request: TokenRequest
    ) -> Result[TokenGrant, AskFailure]:
        instance = self._instances.get(owner)
        if instance is None:
            return Err(AskFailure.SILENT)
        opened = self._open(instance)
        result = await opened.stream.ask(request)
        if result == Err(AskFailure.REFUSED) and self._channels.get(owner) is opened:
            self._close(owner)  # another daemon may have answered there
        return result

    def _close_if_silent(self, owner: str, asked_at: float) -> None:
        """Close a stream on which nothing was answered since `asked_at`.

        If another ask was answered, the owner and the connection work, so the stream is kept
        for the asks that are still open.
        """
        opened = self._channels.get(owner)
        if opened is not None and opened.stream.last_answer_at < asked_at:
            self._close(owner)

    def _open(self, instance: Instance) -> _OpenChannel:
        loop = asyncio.get_running_loop()
        if not self._is_open(instance.name):
            self._close(instance.name)
            opened = _OpenChannel(AskStream(instance, self._tls), loop.time())
            self._channels[instance.name] = opened
            self._check_idle_later(instance.name, opened, IDLE_CLOSE_SECONDS)
        opened = self._channels[instance.name]
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
        opened.stream.close()


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
