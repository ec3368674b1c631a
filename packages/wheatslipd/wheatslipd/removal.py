"""The task that removes entries of daemons that are gone for good from the platform's list.

Where daemons write their own entries, nobody else takes back that of one that died. The
daemons that read the platform for their zone do. One removed in error, as the two can't
reach each other, sees its entry missing and writes it again.
"""

import asyncio
from collections.abc import Callable

from result import Ok
from wheatslip import instances as lists
from wheatslip.objects import ObjectStore

from wheatslipd import logs
from wheatslipd.view import View

LOOK_SECONDS = 5.0


class DeadEntryRemover:
    """Removes the entries of dead daemons, while `is_due` says that it is this one's turn."""

    def __init__(
        self,
        name: str,
        store: ObjectStore,
        view: View,
        clock: Callable[[], float],
        is_due: Callable[[], bool],
    ):
        """`name` is this daemon's own, whose entry is left alone."""
        self._name = name
        self._store = store
        self._view = view
        self._clock = clock
        self._is_due = is_due

    async def run(self) -> None:
        """Run until cancelled."""
        while True:
            await asyncio.sleep(LOOK_SECONDS)
            if self._is_due():
                await self.remove_dead()

    async def remove_dead(self) -> None:
        """Remove what is dead as far as this daemon can tell."""
        now = self._clock()
        pools = self._view.membership.pools.values()
        peers = [peer for pool in pools for peer in pool]
        for peer in peers:
            name = peer.instance.name
            if name != self._name and peer.upstream.is_dead(now):
                await self._remove(name, peer.instance.incarnation)

    async def _remove(self, name: str, incarnation: int) -> None:
        match await self._store.get(lists.KIND, name):
            case Ok(found) if found is not None:
                listed = lists.decode_instance(found.value)
                if isinstance(listed, Ok) and listed.ok_value.incarnation != incarnation:
                    return  # it has started anew since
                answer = await self._store.delete(lists.KIND, name, found.version)
                logs.info("dead-entry-removed", name=name, done=isinstance(answer, Ok))
