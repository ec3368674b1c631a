"""The event bus: circuits' event queue, flushed from the asyncio event loop.

The event loop of circuits is not used, because it would poll beside asyncio's. Firing an event
schedules a flush in asyncio's loop, and the events that handlers fire are flushed in the same
iteration.
"""

import asyncio
from typing import Any

from circuits import Component, handler

from wheatslipd.telemetry import logs


class Bus(Component):
    """Root component of the controllers. Events must be fired from the loop's thread."""

    channel = "*"

    def __init__(self) -> None:
        super().__init__()
        self._loop: asyncio.AbstractEventLoop | None = None
        self._is_flush_scheduled = False
        # Completes with the error when a handler fails; None before `attach`.
        self.failed: asyncio.Future[str] | None = None

    def attach(self) -> None:
        """Start to flush from the running event loop."""
        self._loop = asyncio.get_running_loop()
        self.failed = self._loop.create_future()
        self._schedule_flush()

    def _fire(self, event: Any, channel: Any, priority: int = 0) -> None:
        super()._fire(event, channel, priority)
        self._schedule_flush()

    def _schedule_flush(self) -> None:
        if self._loop is not None and not self._is_flush_scheduled:
            self._is_flush_scheduled = True
            self._loop.call_soon(self._flush_all)

    def _flush_all(self) -> None:
        self._is_flush_scheduled = False
        while len(self):
            self.flush()

    @handler("exception", channel="*")
    def _on_exception(
        self, error_type: type, value: BaseException, traceback: list[str], **rest: Any
    ) -> None:
        """Report a failed handler: the state of its controller may be inconsistent, so the
        process must stop.
        """
        logs.error("controller-failed", error=repr(value), trace="".join(traceback))
        if self.failed is not None and not self.failed.done():
            self.failed.set_result(repr(value))
