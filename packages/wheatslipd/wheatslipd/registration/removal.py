"""The task that removes the entries of dead daemons from the platform's list.

It is needed if daemons write their own entries. The daemons that read the platform remove dead
entries in the order of their ranks, with a delay per rank, so that usually only one of them
calls the platform. A running daemon whose entry is removed writes it again.
"""

from collections.abc import Awaitable, Callable, Sequence

from result import Err, Ok
from wheatslip.store.instances import INSTANCE_KIND, Instance, decode_instance
from wheatslip.store.objects import Conflict, ObjectStore

from wheatslipd.controllers.view import Peer, View
from wheatslipd.telemetry import logs
from wheatslipd.timeouts import sleep_lateness

SCAN_SECONDS = 5.0  # between two scans for dead entries
# A scan that is later is left out: this daemon was held up, and has not tried its peers since.
MAX_LATENESS_SECONDS = 1.0
RANK_DELAY_SECONDS = 2 * SCAN_SECONDS  # per rank


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
        note_lost: Callable[[Sequence[Instance], int], Awaitable[bool]],
    ):
        """`name` is the name of this daemon, whose entry is never removed. `rank` returns how
        many daemons remove entries of a zone before this one does, None if it removes none.
        `version_of` returns the version of an instance's list entry. `note_lost` is called with
        the instances to remove and the number of listed ones, and returns whether to go on.
        """
        self._name = name
        self._store = store
        self._view = view
        self._clock = clock
        self._rank = rank
        self._version_of = version_of
        self._note_lost = note_lost

    async def run(self) -> None:
        """Scan for dead entries until cancelled."""
        while True:
            if await sleep_lateness(SCAN_SECONDS) < MAX_LATENESS_SECONDS:
                await self.remove_dead()

    async def remove_dead(self) -> None:
        """Remove the entries of peers that this daemon considers dead, subject to its rank."""
        now = self._clock()
        pools = self._view.membership.pools.values()
        peers = [peer for pool in pools for peer in pool]
        dead = [peer.instance for peer in peers if self._should_remove(peer, now)]
        if not dead or not await self._note_lost(dead, len(peers)):
            return
        for instance in dead:
            await self._remove(instance.name, instance.incarnation)

    def _should_remove(self, peer: Peer, now: float) -> bool:
        rank = self._rank(peer.instance.zone)
        if rank is None or peer.instance.name == self._name:
            return False
        return peer.upstream.is_dead(now - rank * RANK_DELAY_SECONDS)

    async def _remove(self, name: str, incarnation: int) -> None:
        answer = await self._store.delete(INSTANCE_KIND, name, self._version_of(name))
        match answer:
            case Err(Conflict(current)) if current is not None:
                # The list may come from a daemon that has read a newer version.
                listed = decode_instance(current.value).ok()
                if listed is None or listed.incarnation != incarnation:
                    return  # it has restarted since, or another program wrote there
                answer = await self._store.delete(INSTANCE_KIND, name, current.version)
        logs.info("dead-entry-removed", name=name, done=isinstance(answer, Ok))
