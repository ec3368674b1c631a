"""The operators' pages, served by circuits.web: health, status, metrics and lift.

The pages run in a thread, because circuits.web has its own event loop, and get their content by
calls into the daemon's loop. The daemon imports this module last: circuits.web loads slowly.
"""

import asyncio
import atexit
import os
from threading import Event as ThreadEvent
from threading import Thread

import msgspec
from circuits import Component, handler
from circuits.core.pollers import EPoll
from circuits.web import Controller, Server

from wheatslipd.telemetry.pagesource import PageSource

START_TIMEOUT_SECONDS = 10.0  # for the server to listen
STOP_TIMEOUT_SECONDS = 2.0  # for the thread to end


class _Pages(Controller):
    """Serves each page from the method of that name."""

    channel = "/"

    def __init__(self, source: PageSource):
        super().__init__()
        self._source = source

    def health(self) -> str:
        """Respond 200 while the daemon accepts callers (see `StateReport`), 503 otherwise."""
        status = self._source.call_in_loop(self._source.status)
        self.response.status = 200 if status.ready else 503
        return "ready\n" if status.ready else "not ready\n"

    def status(self) -> str:
        """Respond with the daemon's `Status` as JSON."""
        self.response.headers["Content-Type"] = "application/json"
        return msgspec.json.encode(self._source.call_in_loop(self._source.status)).decode()

    def metrics(self) -> str:
        """Respond with the metrics in the Prometheus text format."""
        self.response.headers["Content-Type"] = "text/plain; version=0.0.4"
        return self._source.call_in_loop(self._source.metrics).decode()

    def lift(self, fingerprint: str = "") -> str:
        """Let a held request run again on all daemons; POST only."""
        if self.request.method != "POST":
            self.response.status = 405
            return "only POST\n"
        was_held = self._source.call_in_loop(lambda: self._source.lift(fingerprint))
        self.response.status = 200 if was_held else 404
        return "lifted\n" if was_held else "no such request is held here\n"


class _PortWatcher(Component):
    """Records the port on which the server listens."""

    channel = "*"

    def __init__(self) -> None:
        super().__init__()
        self.listening = ThreadEvent()
        self.port = 0

    @handler("ready", channel="*")
    def _on_ready(self, server: object, bind: tuple[str, int], *rest: object) -> None:
        self.port = bind[1]
        self.listening.set()


class PageServer:
    """Runs the pages in a thread."""

    def __init__(self, address: str, port: int, source: PageSource):
        self._server = Server((address, port), display_banner=False)
        # The default poller uses select, which spins on descriptors of 1024 and above: a
        # daemon with that many connections would not serve its health page.
        self._poller = EPoll().register(self._server)
        self._port_watcher = _PortWatcher().register(self._server)
        _Pages(source).register(self._server)
        self._thread: Thread | None = None

    async def start(self) -> int:
        """Start the thread and return the port."""
        self._thread, _ = self._server.start()
        await asyncio.to_thread(self._port_watcher.listening.wait, START_TIMEOUT_SECONDS)
        return int(self._port_watcher.port)

    async def stop(self) -> None:
        await asyncio.to_thread(self._stop_server)
        # circuits registers it and would keep the whole daemon until the process ends.
        atexit.unregister(self._server.stop)
        self._close_poller()

    def _stop_server(self) -> None:
        """Stop the server, and wait for its thread, which still uses the poller."""
        self._server.stop()
        if self._thread is not None:
            self._thread.join(STOP_TIMEOUT_SECONDS)

    def _close_poller(self) -> None:
        """Close the poller's descriptors, which circuits leaves open."""
        self._poller._poller.close()
        os.close(self._poller._ctrl_recv)
        os.close(self._poller._ctrl_send)
