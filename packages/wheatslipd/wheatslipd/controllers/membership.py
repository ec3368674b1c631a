"""Controller of the members: the platform's list, turned into peers by pool.

An entry may lapse while the platform is in trouble, although its backend server lives; its
daemon writes it again within moments. So a peer whose entry vanishes is kept for `LAPSE_GRACE`,
and removed if the entry is still missing then. One that was leaving or unreachable is removed
at once.
"""

import asyncio
from types import MappingProxyType

from circuits import Component
from wheatslip.owners import OwnerHistory
from wheatslip.store.instances import Instance, InstanceState
from wheatslip.upstream import Upstream

from wheatslipd.controllers.events import leaving, returned
from wheatslipd.controllers.view import Membership, Peer
from wheatslipd.http.pool import ConnectionPool
from wheatslipd.settings import Settings
from wheatslipd.shared import SharedState
from wheatslipd.telemetry import logs
from wheatslipd.tls import PeerTls

PEER_CONNECTIONS = 256  # to one peer, at most
# Seconds within which a daemon that lives writes a lapsed entry again: the users' platform asks
# for that.
LAPSE_GRACE = 2.0


class MembershipController(Component):
    """Owns the table of peers."""

    channel = "*"

    def __init__(
        self, settings: Settings, shared: SharedState, owners: OwnerHistory, tls: PeerTls
    ):
        super().__init__()
        self._view = shared.view
        self._name = settings.name
        self._pool = settings.pool
        self._owners = owners
        self._tls = tls
        self._monotonic = shared.monotonic
        self._unix = shared.unix
        self._peers: dict[str, Peer] = {}
        self._missing: dict[str, asyncio.TimerHandle] = {}  # by name, to the end of the grace
        self._has_list = False
        self._lists_itself = settings.lists_itself  # so its entry tells it nothing
        self._left: int | None = None  # the incarnation of ours that was listed as leaving

    def instances_seen(
        self, instances: tuple[Instance, ...], gone: tuple[str, ...], whole: bool
    ) -> None:
        """Take over the list, or changes of it."""
        if whole:
            listed = {instance.name for instance in instances}
            gone = tuple(name for name in self._peers if name not in listed)
        for name in gone:
            self._on_missing(name)
        for instance in instances:
            self._stop_grace(instance.name)
            self._update(instance)
        self._has_list = True
        self._publish()

    def _on_missing(self, name: str) -> None:
        """An entry vanished: remove its peer, at once or after the grace."""
        peer = self._peers.get(name)
        if peer is None or name in self._missing:
            return
        upstream = peer.upstream
        if upstream.leaving or upstream.unreachable_since is not None:
            self._remove(name)
            return
        logs.info("entry-missing", name=name, grace=LAPSE_GRACE)
        loop = asyncio.get_running_loop()
        self._missing[name] = loop.call_later(LAPSE_GRACE, self._remove_missing, name)

    def _stop_grace(self, name: str) -> None:
        """The entry is listed again, or its peer is removed: end the grace, if one runs."""
        timer = self._missing.pop(name, None)
        if timer is not None:
            timer.cancel()

    def _remove_missing(self, name: str) -> None:
        """The entry is still missing after the grace."""
        logs.info("entry-gone", name=name)
        self._remove(name)
        self._publish()

    def _update(self, instance: Instance) -> None:
        known = self._peers.get(instance.name)
        if known is not None and instance.incarnation < known.instance.incarnation:
            return
        if known is None or not self._is_same_start(known.instance, instance):
            if known is not None:
                self._remove(instance.name)
            self._peers[instance.name] = self._new_peer(instance)
        else:
            known.instance = instance
        is_leaving = instance.state is InstanceState.LEAVING
        self._peers[instance.name].upstream.listed_leaving |= is_leaving
        if instance.name == self._name and not self._lists_itself:
            self._take_own(instance, is_leaving)

    def _take_own(self, instance: Instance, is_leaving: bool) -> None:
        """Follow the list where it marks this daemon as leaving, or as started anew.

        The list lags: its first entry may be that of the start before, under the same name.
        """
        if is_leaving:
            self._left = instance.incarnation
            self.fire(leaving("listed as leaving"))
        elif self._left is not None and instance.incarnation > self._left:
            self._left = None
            self.fire(returned())

    def _new_peer(self, instance: Instance) -> Peer:
        # A peer of the first list was here before this daemon, and counts as warmed up.
        joined = self._monotonic() if self._has_list else 0.0
        upstream = Upstream(instance.name, instance.zone, joined=joined)
        connections = ConnectionPool(
            instance.address, instance.peer_port, PEER_CONNECTIONS, self._tls.client
        )
        return Peer(instance, upstream, connections)

    def _remove(self, name: str) -> None:
        self._stop_grace(name)
        peer = self._peers.pop(name, None)
        if peer is not None:
            peer.connections.close()

    @staticmethod
    def _is_same_start(old: Instance, new: Instance) -> bool:
        return (old.incarnation, old.address, old.peer_port) == (
            new.incarnation,
            new.address,
            new.peer_port,
        )

    def _publish(self) -> None:
        pools: dict[str, list[Peer]] = {}
        for name in sorted(self._peers):
            peer = self._peers[name]
            pools.setdefault(peer.instance.pool, []).append(peer)
        frozen = MappingProxyType({pool: tuple(peers) for pool, peers in pools.items()})
        self._view.membership = Membership(frozen)
        self._view.note_known()
        members = [peer.instance.name for peer in frozen.get(self._pool, ())]
        self._owners.change(members, self._unix())
        logs.info("members", instances=len(self._peers), own_pool=len(members))
