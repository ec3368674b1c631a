"""Notes lost daemons on the platform, for daemons that start later.

Daemons tell each other of lost ones, but nobody is left to tell if all daemons on one side of a
partition restart at once. So a daemon notes those that it is about to remove from the list in
the object that has its own name, and each daemon reads the objects of all when it first has a
limit in force. Without limits there are no calls.
"""

import asyncio
from collections.abc import Callable, Sequence

from result import Err, Ok
from wheatslip.decoding import decode_json
from wheatslip.distribution.feedcache import LostInstance
from wheatslip.quota.reach import REMEMBER_SECONDS
from wheatslip.store.backoff import Backoff
from wheatslip.store.instances import LOST_KIND, Instance, InstanceState, find_problem
from wheatslip.store.losses import MAX_STORED_LOSSES, StoredLoss, StoredLosses
from wheatslip.store.objects import ObjectStore, StoredObject

from wheatslipd.feed.access import log_unavailable
from wheatslipd.feed.ownobject import OwnObject
from wheatslipd.telemetry import logs


class LossStore:
    """Maintains the object of this daemon, and reads those of all once."""

    def __init__(
        self,
        name: str,
        store: ObjectStore,
        apply: Callable[[tuple[LostInstance, ...]], object],
        backoff: Callable[[], Backoff],
        unix: Callable[[], float],
    ):
        """`apply` is called with the losses that were read; `unix` returns the Unix time."""
        self._name = name
        self._store = store
        self._apply = apply
        self._backoff = backoff
        self._unix = unix
        self._losses: tuple[StoredLoss, ...] = ()
        self._object = OwnObject(store, LOST_KIND, name)
        self._has_limits = asyncio.Event()

    def on_limits(self) -> None:
        """A limit is in force."""
        self._has_limits.set()

    async def run(self) -> None:
        """Read the losses once there are limits. Runs until cancelled."""
        await self._has_limits.wait()
        backoff = self._backoff()
        while not await self._read_all():
            await asyncio.sleep(backoff.next())
        await asyncio.Event().wait()  # the daemon stops when one of its tasks ends

    async def note(self, instances: Sequence[Instance], listed: int) -> bool:
        """Note instances before they are removed from the list of `listed` ones.

        Returns whether they may be removed. One that was listed as leaving is not lost.
        """
        lost = [one for one in instances if one.state is not InstanceState.LEAVING]
        if not lost or not self._has_limits.is_set():
            return True
        now = self._unix()
        names = {one.name for one in lost}
        self._losses = (
            *(one for one in self._losses if one.instance.name not in names),
            *(StoredLoss(one, now, 1.0 / max(1, listed)) for one in lost),
        )
        return await self._write() or await self._write()

    async def _write(self) -> bool:
        """Write the latest losses; return whether the platform has them."""
        oldest = self._unix() - REMEMBER_SECONDS
        self._losses = tuple(one for one in self._losses if one.at > oldest)
        match await self._object.write(StoredLosses(self._losses[-MAX_STORED_LOSSES:])):
            case Ok(_):
                return True
            case Err(StoredObject() as existing):
                self._merge(existing)
        return False

    async def _read_all(self) -> bool:
        """Apply the losses that daemons have noted; return whether the platform answered."""
        match await self._store.list(LOST_KIND, stale_ok=True):
            case Ok(listing):
                for item in listing.items:
                    if item.name == self._name:
                        self._object.adopt(item)
                        self._merge(item)
                losses = [one for item in listing.items for one in _decode(item)]
                now = self._unix()
                self._apply(
                    tuple(
                        LostInstance(one.instance, max(0.0, now - one.at), one.share)
                        for one in losses
                    )
                )
                return True
            case Err(unavailable):
                log_unavailable(unavailable)
        return False

    def _merge(self, existing: StoredObject) -> None:
        noted = {one.instance.name for one in self._losses}
        earlier = (one for one in _decode(existing) if one.instance.name not in noted)
        self._losses = (*earlier, *self._losses)


def _decode(item: StoredObject) -> tuple[StoredLoss, ...]:
    """The losses in an object; none if it was deleted or can't be read."""
    if item.deleted:
        return ()
    match decode_json(item.value, StoredLosses):
        case Ok(stored):
            return tuple(one for one in stored.losses if _is_usable(one))
        case Err(reason):
            logs.warning("losses-unreadable", name=item.name, error=reason)
    return ()


def _is_usable(loss: StoredLoss) -> bool:
    return find_problem(loss.instance.name, loss.instance) is None
