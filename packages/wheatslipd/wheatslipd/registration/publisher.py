"""The task that maintains this daemon's entry in the platform's list of instances.

It writes when the desired entry changes and when the list shows a different one. Other daemons
never write this entry, but remove it if they consider it dead (`DeadEntryRemover`).
"""

import asyncio
from contextlib import suppress
from random import Random

import msgspec
from result import Err, Ok
from wheatslip.store.backoff import Backoff
from wheatslip.store.instances import INSTANCE_KIND, Instance, InstanceState, decode_usable
from wheatslip.store.objects import Conflict, ObjectStore, StoredObject

from wheatslipd.telemetry import logs

# Longest backoff; must be below `membership.LAPSE_GRACE_SECONDS`, after which other daemons
# drop a daemon whose entry is missing.
MAX_RETRY_SECONDS = 1.0
# The first write waits this long for the list, which saves a restarted daemon two calls.
LIST_TIMEOUT_SECONDS = 0.3


class Publisher:
    """Publishes the list entry of one instance."""

    def __init__(self, store: ObjectStore, rng: Random):
        self._store = store
        self._rng = rng
        self._desired: Instance | None = None  # its incarnation is ignored
        self._stored: Instance | None = None  # the platform's entry, as last read or written
        self._version = 0  # of the stored entry; 0: there is none
        self._incarnation = 1  # of this start; higher than in the entry of the previous start
        self._is_first = True  # until an entry of this or a previous start is read or written
        self._last_sent: Instance | None = None  # the entry in the last write
        # Whether the entry of the previous start, or that there is none, was seen before the
        # first write.
        self._knows_previous = False
        self._changed = asyncio.Event()
        self._settled = asyncio.Event()  # set while the entry is up to date
        self._list_received = asyncio.Event()
        self._is_withdrawn = False
        self._needs_read = False  # whether the platform's entry may differ from `_stored`

    def publish(self, instance: Instance) -> None:
        """Set the desired entry; its incarnation is ignored."""
        self._desired = instance
        self._wake()

    def withdraw(self) -> None:
        """Remove the entry because the instance leaves permanently."""
        self._is_withdrawn = True
        self._wake()

    async def wait_settled(self, seconds: float) -> None:
        """Wait up to `seconds` until the entry is up to date."""
        with suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._settled.wait()

    def on_listed(
        self, listed: Instance | None, version: int = 0, list_version: int | None = None
    ) -> None:
        """Compare the entry that a list shows for this instance (None: no entry).

        `version` is that of the entry, `list_version` that of the list. A list older than the
        last write is ignored, and so is one that shows a write whose response is in flight.
        """
        self._list_received.set()
        if self._last_sent is None:
            self._knows_previous = True
        if listed == self._stored or (listed is not None and listed == self._last_sent):
            return
        if list_version is not None and list_version < self._version:
            return
        if listed is not None and version and self._is_first and self._last_sent is None:
            # The entry of the previous start. If `version` is wrong, the first write fails.
            self._adopt(listed, version)
            return
        self._needs_read = True
        self._wake()

    async def run(self) -> None:
        """Write the entry whenever it must change, until cancelled."""
        with suppress(TimeoutError):
            async with asyncio.timeout(LIST_TIMEOUT_SECONDS):
                await self._list_received.wait()
        while True:
            await self._changed.wait()
            self._changed.clear()
            await self._sync_entry()
            if not self._changed.is_set():
                self._settled.set()

    def _wake(self) -> None:
        self._settled.clear()
        self._changed.set()

    async def _sync_entry(self) -> None:
        backoff = Backoff(self._rng, last=MAX_RETRY_SECONDS)
        while self._desired is not None and not await self._sync_once(self._desired):
            await asyncio.sleep(backoff.next())

    async def _sync_once(self, desired: Instance) -> bool:
        """Write the entry if necessary; returns whether it is up to date."""
        if self._needs_read and not await self._read(desired.name):
            return False
        if self._is_withdrawn:
            return await self._delete(desired.name)
        self._renew_incarnation(desired)
        entry = msgspec.structs.replace(desired, incarnation=self._incarnation)
        if entry == self._stored:
            return True
        self._last_sent = entry
        match await self._store.put(INSTANCE_KIND, desired.name, entry, self._version):
            case Ok(stored):
                self._version = stored.version
                self._stored = entry
                self._is_first = False
                logs.info("published", name=entry.name, state=entry.state.value)
                return self._desired is desired
            case Err(Conflict(current)):
                self._last_sent = None
                self._adopt_object(current)
                return False
            case Err(error):
                # The entry may have been written even if no response was received.
                self._needs_read = True
                logs.warning("publish-failed", detail=str(error), repeat_key="publish")
                return False
        raise AssertionError

    async def _read(self, name: str) -> bool:
        match await self._store.get(INSTANCE_KIND, name):
            case Ok(current):
                self._adopt_object(current)
                self._needs_read = False
                return True
        return False

    def _renew_incarnation(self, desired: Instance) -> None:
        """Use a new incarnation if the server is live again after its entry was leaving.

        Other daemons send no more requests to an incarnation once it was listed as leaving.
        """
        stored = self._stored
        if stored is None or desired.state is InstanceState.LEAVING:
            return
        if stored.state is InstanceState.LEAVING:
            self._incarnation = max(self._incarnation, stored.incarnation + 1)

    async def _delete(self, name: str) -> bool:
        if self._version == 0:
            return True
        return isinstance(await self._store.delete(INSTANCE_KIND, name, self._version), Ok)

    def _adopt_object(self, current: StoredObject | None) -> None:
        """Adopt the platform's stored entry; None: it has none."""
        if current is None:
            self._adopt(None, 0)
            return
        match decode_usable(current.name, current.value):
            case Ok(stored):
                self._adopt(stored, current.version)
            case Err(reason):
                self._adopt(None, current.version)
                logs.error("instance-unreadable", name=current.name, error=reason)

    def _adopt(self, stored: Instance | None, version: int) -> None:
        """Continue from a stored entry and its version; None: no readable entry."""
        self._stored = stored
        self._version = version
        if not self._is_first or stored is None:
            return
        # The response to the last write may be lost: an equal entry is from this start then,
        # unless it may have been there before.
        if stored != self._last_sent or not self._knows_previous:
            self._incarnation = stored.incarnation + 1
        self._is_first = False
