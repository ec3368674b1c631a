"""Controller of the bundle in force, which only a newer verified bundle replaces."""

from circuits import Component
from wheatslip.config.bundle import Bundle
from wheatslip.config.head import Head

from wheatslipd.controllers.events import bundle_in_force
from wheatslipd.controllers.view import Configuration, View
from wheatslipd.telemetry import logs
from wheatslipd.telemetry.metrics import Metrics


class BundleController(Component):
    """Owns the configuration in force."""

    channel = "*"

    def __init__(self, view: View, metrics: Metrics):
        super().__init__()
        self._view = view
        self._metrics = metrics

    def bundle_verified(self, bundle: Bundle, head: Head) -> None:
        """Put a verified bundle in force if it is newer than the current one."""
        if bundle.version <= self._view.version:
            logs.debug("older-bundle-ignored", version=bundle.version, ours=self._view.version)
            return
        self._view.configuration = Configuration(bundle)
        self._view.update_initialized()
        self._metrics.bundle_version.set({}, bundle.version)
        logs.info("bundle-in-force", version=bundle.version, digest=head.digest[:12])
        self.fire(bundle_in_force(bundle))
