"""Controller of the members: converts the instance list into peers by pool.

During an outage of the platform an entry may expire although its daemon is running; the daemon
then writes it again. A peer without an entry is therefore removed only after
`LAPSE_GRACE_SECONDS`, or at once if it was leaving or unreachable.
"""

from collections import OrderedDict
from types import MappingProxyType

from circuits import Component
from wheatslip.noticememory import NoticeMemory
from wheatslip.owners import OwnerHistory
from wheatslip.store.instances import Instance, InstanceState
from wheatslip.upstream import Upstream

from wheatslipd.controllers.events import leaving, members_changed, rejoined
from wheatslipd.controllers.view import Membership, Peer
from wheatslipd.http.pool import ConnectionPool
from wheatslipd.settings import Settings
from wheatslipd.shared import SharedState
from wheatslipd.telemetry import logs
from wheatslipd.timeouts import PatientTimer
from wheatslipd.tls import PeerTls

MAX_CONNECTIONS_PER_PEER = 256
MAX_KEPT_NOTICES = 1000  # of removed peers; the oldest are forgotten
LAPSE_GRACE_SECONDS = 2.0  # a running daemon writes its expired entry again within this time


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
        # What the servers of removed peers have announced, by name: a daemon that restarts is
        # another peer, but its server may be the same.
        self._kept_notices: OrderedDict[str, NoticeMemory] = OrderedDict()
        # Timers that end the grace period of a missing entry, by name.
        self._grace_timers: dict[str, PatientTimer] = {}
        self._has_list = False
        # True: this daemon writes its own entry, so the entry contains nothing new for it.
        self._lists_itself = settings.lists_itself
        # The incarnation of this daemon that was listed as leaving.
        self._leaving_incarnation: int | None = None

    def instances_updated(
        self, instances: tuple[Instance, ...], removed: tuple[str, ...], whole: bool
    ) -> None:
        """Apply the complete list, or changes of it."""
        if whole:
            listed = {instance.name for instance in instances}
            removed = tuple(name for name in self._peers if name not in listed)
        for name in removed:
            self._handle_missing_entry(name)
        for instance in instances:
            self._cancel_grace(instance.name)
            self._update(instance)
        self._has_list = True
        self._publish()

    def _handle_missing_entry(self, name: str) -> None:
        """Remove the peer of a missing entry, at once or after the grace period."""
        peer = self._peers.get(name)
        if peer is None or name in self._grace_timers:
            return
        upstream = peer.upstream
        if upstream.is_leaving(self._monotonic()) or upstream.unreachable_since is not None:
            self._remove(name)
            return
        logs.info("entry-missing", name=name, grace=LAPSE_GRACE_SECONDS)
        self._grace_timers[name] = PatientTimer(
            LAPSE_GRACE_SECONDS, lambda: self._remove_missing(name), "missing-entry"
        )

    def _cancel_grace(self, name: str) -> None:
        """Cancel the grace period, if any: the entry is listed again or its peer is removed."""
        timer = self._grace_timers.pop(name, None)
        if timer is not None:
            timer.cancel()

    def _remove_missing(self, name: str) -> None:
        """Remove the peer of an entry that is still missing after the grace period."""
        logs.info("entry-gone", name=name)
        self._remove(name)
        self._publish()

    def _update(self, instance: Instance) -> None:
        peer = self._peers.get(instance.name)
        if peer is not None and instance.incarnation < peer.instance.incarnation:
            return
        if peer is None or not self._is_same_process(peer.instance, instance):
            if peer is not None:
                self._remove(instance.name)
            self._peers[instance.name] = self._new_peer(instance)
        else:
            peer.instance = instance
            peer.upstream.notices.on_listed(instance.server_start)
        is_leaving = instance.state is InstanceState.LEAVING
        self._peers[instance.name].upstream.listed_leaving |= is_leaving
        if instance.name == self._name and not self._lists_itself:
            self._handle_own_entry(instance, is_leaving)

    def _handle_own_entry(self, instance: Instance, is_leaving: bool) -> None:
        """Fire an event if the list marks this daemon as leaving, or as restarted.

        The first listed entry of this daemon may be outdated: one of an earlier process.
        """
        if is_leaving:
            self._leaving_incarnation = instance.incarnation
            self.fire(leaving("listed as leaving"))
        elif (
            self._leaving_incarnation is not None
            and instance.incarnation > self._leaving_incarnation
        ):
            self._leaving_incarnation = None
            self.fire(rejoined())

    def _new_peer(self, instance: Instance) -> Peer:
        # A peer in the first list may have started before this daemon, so it counts as warm.
        joined = self._monotonic() if self._has_list else 0.0
        notices = self._kept_notices.pop(instance.name, None) or NoticeMemory()
        notices.on_listed(instance.server_start)
        upstream = Upstream(instance.name, instance.zone, joined=joined, notices=notices)
        connections = ConnectionPool(
            instance.address, instance.peer_port, MAX_CONNECTIONS_PER_PEER, self._tls.client
        )
        return Peer(instance, upstream, connections)

    def _remove(self, name: str) -> None:
        self._cancel_grace(name)
        peer = self._peers.pop(name, None)
        if peer is not None:
            peer.connections.close()
            self._kept_notices[name] = peer.upstream.notices
            if len(self._kept_notices) > MAX_KEPT_NOTICES:
                self._kept_notices.popitem(last=False)

    @staticmethod
    def _is_same_process(old: Instance, new: Instance) -> bool:
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
        self._view.update_initialized()
        members = [peer.instance.name for peer in frozen.get(self._pool, ())]
        self._owners.change(members, self._unix())
        self.fire(members_changed(tuple(peer.instance for peer in self._peers.values())))
        logs.info("members", instances=len(self._peers), own_pool=len(members))
