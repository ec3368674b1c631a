"""The task that finds out which daemons a primary of a limit can reach.

It connects to their control ports and closes the connections at once.
"""

import asyncio
from collections.abc import Callable
from contextlib import suppress

from wheatslip.quota.granter import Granter
from wheatslip.quota.reach import Contact

from wheatslipd.http.connectcheck import check_connection
from wheatslipd.quota.knowndaemons import KnownDaemons
from wheatslipd.telemetry import logs

REST_SECONDS = 1.0  # between two rounds
DOUBT_SECONDS = 0.5  # the same while the share may change
LOST_SECONDS = 0.1  # the same while a daemon that left the list was not tried yet
CONNECT_TIMEOUT_SECONDS = 0.5
ACTIVE_SECONDS = 10.0  # since the last ask, for which a daemon counts as a primary


class ReachProber:
    """Probes while this daemon grants tokens as a primary."""

    def __init__(self, granter: Granter, known: KnownDaemons, clock: Callable[[], float]):
        """`clock` is monotonic, in seconds."""
        self._granter = granter
        self._clock = clock
        self._known = known
        self._wake = asyncio.Event()

    def on_lost(self) -> None:
        """Probe at once, because daemons left the list without a word."""
        self._wake.set()

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            with suppress(TimeoutError):
                async with asyncio.timeout(self._pause()):
                    await self._wake.wait()
            self._wake.clear()
            if self._is_active():
                await self._probe_round()

    def _is_active(self) -> bool:
        return self._granter.was_primary_since(self._clock() - ACTIVE_SECONDS)

    def _pause(self) -> float:
        reach = self._granter.reach
        if not self._is_active() or not reach.is_in_doubt:
            return REST_SECONDS
        return LOST_SECONDS if reach.has_untried_lost else DOUBT_SECONDS

    async def _probe_round(self) -> None:
        names = self._granter.reach.next_probes()
        results = await asyncio.gather(*(self._probe(name) for name in names))
        contacts = dict(zip(names, results, strict=True))
        share = self._granter.share
        self._granter.on_probes(contacts, self._clock())
        silent = [name for name, contact in contacts.items() if contact is Contact.SILENT]
        if self._granter.share != share:
            logs.info(
                "quota-reach", share=round(self._granter.share, 3), silent=",".join(silent)
            )

    async def _probe(self, name: str) -> Contact:
        instance = self._known.get(name)
        if instance is None:
            return Contact.SILENT
        try:
            await check_connection(
                instance.address, instance.control_port, CONNECT_TIMEOUT_SECONDS, "reach"
            )
        except ConnectionRefusedError:
            return Contact.REFUSED
        except (OSError, TimeoutError):
            return Contact.SILENT
        return Contact.ACCEPTED
