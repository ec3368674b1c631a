"""The task that keeps this daemon's own entry in the platform's list of instances.

It writes on a change, and when the list shows that the entry is not what it should be. No other
daemon writes this entry, but those that take it for dead remove it (`DeadEntryRemover`).
"""

import asyncio
from contextlib import suppress
from random import Random

import msgspec
from result import Err, Ok
from wheatslip.store.backoff import Backoff
from wheatslip.store.instances import INSTANCE_KIND, Instance, InstanceState, decode_instance
from wheatslip.store.objects import Conflict, ObjectStore, StoredObject

from wheatslipd.telemetry import logs

# Longest wait in seconds before a write is tried again. Others drop a
# daemon whose entry is missing for longer than `membership.LAPSE_GRACE_SECONDS`.
RETRY_LAST = 1.0
# Seconds that the first write waits for the list. Without the list a
# daemon that starts again needs three calls (refused creation, read, write) instead of one.
LIST_TIMEOUT = 0.3


class Publisher:
    """Publishes one instance."""

    def __init__(self, store: ObjectStore, rng: Random):
        self._store = store
        self._rng = rng
        self._wanted: Instance | None = None  # what the entry should be, but its incarnation
        self._stored: Instance | None = None  # what the platform holds, as far as is known
        self._version = 0  # of the stored entry; 0: there is none
        self._incarnation = 1  # of this start: one more than that of the start before, if any
        self._is_first = True  # nothing of this start, or of one before, was found or written
        self._attempted: Instance | None = None  # the last write that was sent
        self._changed = asyncio.Event()
        self._settled = asyncio.Event()
        self._listed = asyncio.Event()  # set once a list was seen
        self._is_withdrawn = False
        self._needs_read = False  # what the platform holds may differ from `_stored`

    def publish(self, instance: Instance) -> None:
        """Message: the entry should be this, but for its incarnation."""
        self._wanted = instance
        self._wake()

    def withdraw(self) -> None:
        """Message: the instance leaves for good, so the entry should go."""
        self._is_withdrawn = True
        self._wake()

    async def wait_settled(self, seconds: float) -> None:
        """Wait until the entry is as it should be, at most for so long."""
        with suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._settled.wait()

    def seen(self, listed: Instance | None, version: int = 0, at: int | None = None) -> None:
        """Message: the list shows this entry in our name; None if it shows none.

        `version` is that of the entry, `at` that of the list. A list from before our last write
        is ignored, and so is one that shows a write whose answer is still on its way.
        """
        self._listed.set()
        if listed == self._stored or (listed is not None and listed == self._attempted):
            return
        if at is not None and at < self._version:
            return
        if listed is not None and version and self._is_first and self._attempted is None:
            # That of the start before. If the version is wrong, the first write is refused.
            self._take_over(listed, version)
            return
        self._needs_read = True
        self._wake()

    async def run(self) -> None:
        """Run until cancelled."""
        with suppress(TimeoutError):
            async with asyncio.timeout(LIST_TIMEOUT):
                await self._listed.wait()
        while True:
            await self._changed.wait()
            self._changed.clear()
            await self._settle()
            if not self._changed.is_set():
                self._settled.set()

    def _wake(self) -> None:
        self._settled.clear()
        self._changed.set()

    async def _settle(self) -> None:
        backoff = Backoff(self._rng, last=RETRY_LAST)
        while self._wanted is not None and not await self._step(self._wanted):
            await asyncio.sleep(backoff.next())

    async def _step(self, wanted: Instance) -> bool:
        """Write the entry if need be; whether it is as it should be now."""
        if self._needs_read and not await self._read(wanted.name):
            return False
        if self._is_withdrawn:
            return await self._delete(wanted.name)
        self._start_anew_after_leaving(wanted)
        entry = msgspec.structs.replace(wanted, incarnation=self._incarnation)
        if entry == self._stored:
            return True
        self._attempted = entry
        match await self._store.put(INSTANCE_KIND, wanted.name, entry, self._version):
            case Ok(stored):
                self._version = stored.version
                self._stored = entry
                self._is_first = False
                logs.info("published", name=entry.name, state=entry.state.value)
                return self._wanted is wanted
            case Err(Conflict(found)):
                self._attempted = None
                self._learn(found)
                return False
            case Err(trouble):
                # The entry may have been written although no answer came.
                self._needs_read = True
                logs.warning("publish-failed", detail=str(trouble), repeat_key="publish")
                return False
        raise AssertionError

    async def _read(self, name: str) -> bool:
        match await self._store.get(INSTANCE_KIND, name):
            case Ok(found):
                self._learn(found)
                self._needs_read = False
                return True
        return False

    def _start_anew_after_leaving(self, wanted: Instance) -> None:
        """Take a new incarnation if the server is live again after its entry said that it
        leaves: others never send anything to an incarnation again that was listed as leaving.
        """
        stored = self._stored
        if stored is None or wanted.state is InstanceState.LEAVING:
            return
        if stored.state is InstanceState.LEAVING:
            self._incarnation = max(self._incarnation, stored.incarnation + 1)

    async def _delete(self, name: str) -> bool:
        if self._version == 0:
            return True
        return isinstance(await self._store.delete(INSTANCE_KIND, name, self._version), Ok)

    def _learn(self, found: StoredObject | None) -> None:
        """Take over what the platform holds as this entry; None: nothing."""
        if found is None:
            self._take_over(None, 0)
            return
        match decode_instance(found.value):
            case Ok(stored):
                self._take_over(stored, found.version)
            case Err(why):
                self._take_over(None, found.version)
                logs.error("instance-unreadable", name=found.name, error=why)

    def _take_over(self, stored: Instance | None, version: int) -> None:
        """Go on from an entry at a version; None: there is none that can be read."""
        self._stored = stored
        self._version = version
        if not self._is_first or stored is None:
            return
        # An entry that equals our last write is ours: its answer was lost.
        if stored != self._attempted:
            self._incarnation = stored.incarnation + 1
        self._is_first = False
