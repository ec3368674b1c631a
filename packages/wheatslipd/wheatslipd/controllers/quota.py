"""Controller of the limits: tells the owners' side and the entry's side who is listed.

Members that are listed as leaving are no candidates, so that their limits move before they end.
"""

from collections.abc import Callable

from circuits import Component
from wheatslip.config.bundle import Bundle, Workspace
from wheatslip.quota.granter import Granter
from wheatslip.store.instances import Instance, InstanceState

from wheatslipd.quota.asker import OwnerAsker
from wheatslipd.quota.relaycalls import RelayCalls


class QuotaController(Component):
    """Knows the workspaces that have a limit."""

    channel = "*"

    def __init__(
        self,
        granter: Granter,
        asker: OwnerAsker,
        relay_calls: RelayCalls,
        clock: Callable[[], float],
    ):
        """`clock` is monotonic, in seconds."""
        super().__init__()
        self._granter = granter
        self._asker = asker
        self._relay_calls = relay_calls
        self._clock = clock
        self.limited: tuple[Workspace, ...] = ()

    def members_changed(self, members: tuple[Instance, ...]) -> None:
        """Apply the published members."""
        listed = {
            member.name: member
            for member in members
            if member.state is not InstanceState.LEAVING
        }
        self._granter.set_members(listed, self._clock())
        self._asker.set_instances(listed)
        self._relay_calls.set_instances({member.name: member for member in members})

    def bundle_in_force(self, bundle: Bundle) -> None:
        """Note which workspaces have a limit. Each ask carries the limit itself."""
        self.limited = tuple(w for w in bundle.workspaces if w.limit is not None)
