"""The bus: circuits' event queue, flushed from asyncio's loop.

circuits' own loop would poll beside asyncio's. Here nothing runs while no event waits: firing
an event schedules a flush, and events that handlers fire are flushed in the same turn.
"""

import asyncio
from typing import Any

from circuits import Component, handler

from wheatslipd.telemetry import logs


class Bus(Component):
    """Root of the controllers. Events are fired from the loop's thread only."""

    channel = "*"

    def __init__(self) -> None:
        super().__init__()
        self._loop: asyncio.AbstractEventLoop | None = None
        self._scheduled = False
        # Done once a handler has failed, with its error; None before `attach`.
        self.failed: asyncio.Future[str] | None = None

    def attach(self) -> None:
        """Flush from the running loop from now on."""
        self._loop = asyncio.get_running_loop()
        self.failed = self._loop.create_future()
        self._schedule()

    def _fire(self, event: Any, channel: Any, priority: int = 0) -> None:
        super()._fire(event, channel, priority)
        self._schedule()

    def _schedule(self) -> None:
        if self._loop is not None and not self._scheduled:
            self._scheduled = True
            self._loop.call_soon(self._flush_all)

    def _flush_all(self) -> None:
        self._scheduled = False
        while len(self):
            self.flush()

    @handler("exception", channel="*")
    def _on_exception(
        self, error_type: type, value: BaseException, traceback: list[str], **rest: Any
    ) -> None:
        """A handler raised: its controller may be half changed, so the process must stop."""
        logs.error("controller-failed", error=repr(value), trace="".join(traceback))
        if self.failed is not None and not self.failed.done():
            self.failed.set_result(repr(value))
