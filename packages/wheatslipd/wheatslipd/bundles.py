"""Controller of the bundle in force: only ever a newer, verified one replaces it."""

from collections.abc import Callable

from circuits import Component
from wheatslip.bundle import Bundle
from wheatslip.head import Head

from wheatslipd import logs
from wheatslipd.events import bundle_in_force
from wheatslipd.metrics import Metrics
from wheatslipd.view import Configuration, View


class BundleController(Component):
    """Owns the version in force. `fetch` asks the platform's task for a bundle."""

    channel = "*"

    def __init__(self, view: View, metrics: Metrics, fetch: Callable[[Head], None]):
        super().__init__()
        self._view = view
        self._metrics = metrics
        self._fetch = fetch
        self._asked = 0

    def head_seen(self, head: Head) -> None:
        """Ask for the head's bundle if it is newer than ours."""
        if head.version <= self._view.version:
            if head.version < self._view.version:
                logs.debug("older-head-ignored", version=head.version, ours=self._view.version)
            return
        self._asked = head.version
        self._fetch(head)

    def bundle_verified(self, bundle: Bundle, head: Head) -> None:
        """Put a verified bundle in force unless a newer one is."""
        if bundle.version != head.version or bundle.digest() != head.digest:
            logs.error("bundle-refused", version=bundle.version, why="not what the head names")
            return
        if bundle.version <= self._view.version:
            return
        self._view.configuration = Configuration(bundle)
        self._metrics.bundle_version.set({}, bundle.version)
        logs.info("bundle-in-force", version=bundle.version, digest=head.digest[:12])
        self.fire(bundle_in_force(bundle))
