"""Controller of the limits: tells the owners' side and the entry's side who is listed.

Members that are listed as leaving are no candidates, so that their limits move before they end.
"""

from collections.abc import Callable

from circuits import Component
from wheatslip.config.bundle import Bundle, Workspace
from wheatslip.distribution.feedcache import LostInstance
from wheatslip.quota.granter import Granter
from wheatslip.store.instances import Instance, InstanceState

from wheatslipd.quota.asker import OwnerAsker
from wheatslipd.quota.knowndaemons import KnownDaemons
from wheatslipd.quota.lossstore import LossStore
from wheatslipd.quota.lostdaemons import LostDaemons
from wheatslipd.quota.reachprober import ReachProber
from wheatslipd.quota.service import QuotaService


class QuotaController(Component):
    """Knows the workspaces that have a limit."""

    channel = "*"

    def __init__(
        self,
        granter: Granter,
        service: QuotaService,
        asker: OwnerAsker,
        known: KnownDaemons,
        lost: LostDaemons,
        loss_store: LossStore,
        prober: ReachProber,
        clock: Callable[[], float],
    ):
        """`clock` is monotonic, in seconds."""
        super().__init__()
        self._granter = granter
        self._service = service
        self._asker = asker
        self._known = known
        self._lost = lost
        self._loss_store = loss_store
        self._prober = prober
        self._clock = clock
        self._listed: frozenset[str] = frozenset()  # that do not leave
        self.limited: tuple[Workspace, ...] = ()

    def members_changed(self, members: tuple[Instance, ...]) -> None:
        """Apply the published members."""
        listed = {
            member.name: member
            for member in members
            if member.state is not InstanceState.LEAVING
        }
        known = {member.name: member for member in members}
        lost = self._listed - known.keys()
        self._listed = frozenset(listed)
        self._known.set_listed(known)
        self._granter.set_members(listed, self._clock(), lost)
        self._asker.set_instances(listed)
        if listed:
            self._service.on_list()
        if lost:
            self._prober.on_lost()

    def losses_told(self, lost: tuple[LostInstance, ...]) -> None:
        """Apply what the parent knows of lost daemons."""
        self._lost.learn(lost)

    def bundle_in_force(self, bundle: Bundle) -> None:
        """Note which workspaces have a limit. Each ask carries the limit itself."""
        self.limited = tuple(w for w in bundle.workspaces if w.limit is not None)
        if self.limited:
            self._loss_store.on_limits()
