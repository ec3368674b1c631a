"""Controller of the limits: tells the owners' side and the entry's side who is listed.

Members that are listed as leaving are no candidates, so that their limits move before they end.
"""

from collections.abc import Callable

from circuits import Component
from wheatslip.config.bundle import Bundle, Workspace
from wheatslip.quota.granter import Granter
from wheatslip.store.instances import Instance, InstanceState

from wheatslipd.quota.asker import OwnerAsker
from wheatslipd.quota.reachprober import ReachProber
from wheatslipd.quota.relaycalls import RelayCalls


class QuotaController(Component):
    """Knows the workspaces that have a limit."""

    channel = "*"

    def __init__(
        self,
        granter: Granter,
        asker: OwnerAsker,
        relay_calls: RelayCalls,
        prober: ReachProber,
        clock: Callable[[], float],
    ):
        """`clock` is monotonic, in seconds."""
        super().__init__()
        self._granter = granter
        self._asker = asker
        self._relay_calls = relay_calls
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
        lost = self._listed - {member.name for member in members}
        self._listed = frozenset(listed)
        self._granter.set_members(listed, self._clock(), lost)
        self._asker.set_instances(listed)
        self._relay_calls.set_instances({member.name: member for member in members})
        self._prober.set_instances(listed, has_lost=bool(lost))

    def bundle_in_force(self, bundle: Bundle) -> None:
        """Note which workspaces have a limit. Each ask carries the limit itself."""
        self.limited = tuple(w for w in bundle.workspaces if w.limit is not None)
