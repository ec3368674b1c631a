"""The operators' pages on circuits.web: health, status and metrics.

circuits.web brings a loop of its own, so the pages run in a thread of theirs and ask the
daemon's loop for what they show; they share no state with it. circuits.web takes a fifth of the
processor time of a start to load, so the daemon imports this module when all else runs.
"""

import asyncio
import os
from threading import Event as ThreadEvent

import msgspec
from circuits import Component, handler
from circuits.core.pollers import EPoll
from circuits.web import Controller, Server

from wheatslipd.telemetry.pagesource import PageSource

START_TIMEOUT = 10.0  # seconds until the server listens


class _Pages(Controller):
    """The pages, by method name."""

    channel = "/"

    def __init__(self, source: PageSource):
        super().__init__()
        self._source = source

    def health(self) -> str:
        """200 while callers may come: see `StateReport`; otherwise 503."""
        status = self._source.ask(self._source.status)
        self.response.status = 200 if status.ready else 503
        return "ready\n" if status.ready else "not ready\n"

    def status(self) -> str:
        """The daemon's state."""
        self.response.headers["Content-Type"] = "application/json"
        return msgspec.json.encode(self._source.ask(self._source.status)).decode()

    def metrics(self) -> str:
        """Prometheus' text format."""
        self.response.headers["Content-Type"] = "text/plain; version=0.0.4"
        return self._source.ask(self._source.metrics).decode()

    def lift(self, fingerprint: str = "") -> str:
        """Let a held request run again, at all daemons; by POST, as it changes something."""
        if self.request.method != "POST":
            self.response.status = 405
            return "only POST\n"
        was_held = self._source.ask(lambda: self._source.lift(fingerprint))
        self.response.status = 200 if was_held else 404
        return "lifted\n" if was_held else "no such request is held here\n"


class _ReadyWatch(Component):
    """Notes the port on which the server listens."""

    channel = "*"

    def __init__(self) -> None:
        super().__init__()
        self.is_ready = ThreadEvent()
        self.port = 0

    @handler("ready", channel="*")
    def _on_ready(self, server: object, bind: tuple[str, int], *rest: object) -> None:
        self.port = bind[1]
        self.is_ready.set()


class PageServer:
    """The thread with the pages."""

    def __init__(self, address: str, port: int, source: PageSource):
        self._server = Server((address, port), display_banner=False)
        # The default is select, which spins once a descriptor is 1024 or above: the health
        # page of a daemon with that many connections was not answered any more.
        self._poller = EPoll().register(self._server)
        self._watch = _ReadyWatch().register(self._server)
        _Pages(source).register(self._server)

    async def start(self) -> int:
        """Start the thread; returns the port."""
        self._server.start()
        await asyncio.to_thread(self._watch.is_ready.wait, START_TIMEOUT)
        return int(self._watch.port)

    async def stop(self) -> None:
        """Stop the thread."""
        await asyncio.to_thread(self._server.stop)
        self._close_poller()

    def _close_poller(self) -> None:
        """circuits leaves the poller's own descriptors open."""
        self._poller._poller.close()
        os.close(self._poller._ctrl_recv)
        os.close(self._poller._ctrl_send)
