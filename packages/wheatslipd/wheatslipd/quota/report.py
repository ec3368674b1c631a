"""The state of limits at one daemon, for the status page."""

from collections.abc import Callable

from wheatslip.config.bundle import Workspace
from wheatslip.quota.granter import Granter

from wheatslipd.controllers.quota import QuotaController
from wheatslipd.quota.client import QuotaClient
from wheatslipd.telemetry.pagesource import QuotaStatus


class QuotaReport:
    """Reads the state of the workspaces that have a limit in the bundle in force."""

    def __init__(
        self,
        controller: QuotaController,
        client: QuotaClient,
        granter: Granter,
        clock: Callable[[], float],
    ):
        """`clock` is monotonic, in seconds."""
        self._controller = controller
        self._client = client
        self._granter = granter
        self._clock = clock

    def read(self) -> tuple[QuotaStatus, ...]:
        """Return the state by workspace, in the order of the bundle."""
        stats = self._granter.stats(self._clock())
        granted = {each.workspace: each.granted for each in stats}
        return tuple(
            self._status_of(workspace, granted.get(workspace.name, 0))
            for workspace in self._controller.limited
        )

    @property
    def share(self) -> float:
        """The share of limits that this daemon grants as a primary."""
        return self._granter.share

    def _status_of(self, workspace: Workspace, granted: int) -> QuotaStatus:
        limit = workspace.limit
        assert limit is not None
        use = self._client.use_of(workspace.name)
        return QuotaStatus(
            workspace.name, limit.rate, limit.burst, use.owner, use.used, use.refused, granted
        )
