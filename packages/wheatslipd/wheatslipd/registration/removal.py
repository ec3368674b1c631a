"""The task that removes the entries of dead daemons from the platform's list.

Where daemons write their own entries, the entry of one that died would stay for ever. The
daemons that read the platform for their zone remove it, each by its rank: the first at once,
the next later, and those of other zones last, so that one entry costs one call whatever the
size of the fleet. A daemon whose entry is removed in error, because only the remover can't
reach it, sees that its entry is missing and writes it again.
"""

import asyncio
from collections.abc import Callable

from result import Err, Ok
from wheatslip.store.instances import INSTANCE_KIND, decode_instance
from wheatslip.store.objects import Conflict, ObjectStore

from wheatslipd.controllers.view import Peer, View
from wheatslipd.telemetry import logs

LOOK_SECONDS = 5.0  # between two looks for dead entries
# Seconds that each daemon leaves to the one of the rank before its own: two of its looks.
RANK_SECONDS = 2 * LOOK_SECONDS


class DeadEntryRemover:
    """Removes the entries of dead daemons."""

    def __init__(
        self,
        name: str,
        store: ObjectStore,
        view: View,
        clock: Callable[[], float],
        rank: Callable[[str], int | None],
        version_of: Callable[[str], int],
    ):
        """`name` is this daemon's own, whose entry is left alone. `rank` tells how many others
        are to remove entries of a zone before this one, None if it does not remove any;
        `version_of` the version at which an instance is listed.
        """
        self._name = name
        self._store = store
        self._view = view
        self._clock = clock
        self._rank = rank
        self._version_of = version_of

    async def run(self) -> None:
        """Run until cancelled."""
        while True:
            await asyncio.sleep(LOOK_SECONDS)
            await self.remove_dead()

    async def remove_dead(self) -> None:
        """Remove what is dead as far as this daemon can tell."""
        now = self._clock()
        pools = self._view.membership.pools.values()
        peers = [peer for pool in pools for peer in pool]
        for peer in peers:
            if self._is_ours_to_remove(peer, now):
                await self._remove(peer.instance.name, peer.instance.incarnation)

    def _is_ours_to_remove(self, peer: Peer, now: float) -> bool:
        rank = self._rank(peer.instance.zone)
        if rank is None or peer.instance.name == self._name:
            return False
        return peer.upstream.is_dead(now - rank * RANK_SECONDS)

    async def _remove(self, name: str, incarnation: int) -> None:
        answer = await self._store.delete(INSTANCE_KIND, name, self._version_of(name))
        match answer:
            case Err(Conflict(found)) if found is not None:
                # The list may come from a daemon that has read a later version.
                listed = decode_instance(found.value)
                if isinstance(listed, Ok) and listed.ok_value.incarnation != incarnation:
                    return  # it has started anew since
                answer = await self._store.delete(INSTANCE_KIND, name, found.version)
        logs.info("dead-entry-removed", name=name, done=isinstance(answer, Ok))
