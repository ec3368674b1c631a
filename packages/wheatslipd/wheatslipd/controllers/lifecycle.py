"""Controller of draining, a bundle's limits, the local backend server and version hints."""

import dataclasses

from circuits import Component
from wheatslip.admission import DEFAULT_URGENT_SHARE, RANKED_URGENT_SHARE, UsableSlots
from wheatslip.config.bundle import Bundle
from wheatslip.store.instances import Instance
from wheatslip.store.registration import RegisteredServer

from wheatslipd.controllers.view import View
from wheatslipd.feed.feed import Feed
from wheatslipd.gate.serverside import ServerSide
from wheatslipd.registration.localbackend import LocalBackend
from wheatslipd.settings import Interface, Settings
from wheatslipd.telemetry import logs


class Lifecycle(Component):
    """Opens and closes the gate, applies a bundle's limits, and passes hints to the feed."""

    channel = "*"

    def __init__(
        self,
        settings: Settings,
        view: View,
        server_side: ServerSide,
        feed: Feed,
        local_backend: LocalBackend | None,
    ):
        """`local_backend` is None if the platform lists the instances."""
        super().__init__()
        self._settings = settings
        self._view = view
        self._server_side = server_side
        self._gate = server_side.gate
        self._feed = feed
        self._local_backend = local_backend

    def leaving(self, cause: str) -> None:
        """Stop accepting new requests; requests in flight continue."""
        if not self._view.leaving:
            logs.info("draining", cause=cause, in_flight=self._gate.admission.in_flight)
        self._view.leaving = True
        self._gate.on_server_leaving()

    def backend_leaving(self, server: str) -> None:
        """Leave with the backend server, until another start of it registers."""
        if self._local_backend is not None:
            self._local_backend.on_leaving(server)
        else:
            self.leaving("the backend server says that it leaves")

    def rejoined(self) -> None:
        """Accept new requests again: only an earlier process of this daemon was leaving."""
        if self._view.leaving and not self._view.stopping:
            logs.info("drain-taken-back")
            self._view.leaving = False
            self._server_side.notices.leaving = False
            self._gate.on_server_available()

    def bundle_in_force(self, bundle: Bundle) -> None:
        """Apply the limits of the own pool and the shares of the workspaces."""
        pool = next((p for p in bundle.pools if p.name == self._settings.pool), None)
        if pool is None:
            logs.warning("pool-not-in-bundle", pool=self._settings.pool, version=bundle.version)
            return
        admission = self._gate.admission
        has_ranks = self._has_ranks(bundle)
        usable = UsableSlots(pool.slots)
        if self._local_backend is not None:
            usable = self._local_backend.apply_pool(pool, has_ranks=has_ranks)
        admission.resize(
            dataclasses.replace(
                admission.settings,
                slots=usable.slots,
                short_slots=usable.short_slots,
                queue=pool.queue,
                urgent_share=RANKED_URGENT_SHARE if has_ranks else DEFAULT_URGENT_SHARE,
                has_ranks=has_ranks,
            )
        )
        admission.set_shares({w.name: w.share for w in bundle.workspaces})
        self._server_side.backend.set_connection_limit(pool.connections)
        self._server_side.idle_probe.budget.per_second = pool.probes_per_second

    def _has_ranks(self, bundle: Bundle) -> bool:
        """Whether callers by routes need a credential, so that entries give calls ranks."""
        is_identified = self._settings.interface is Interface.ROUTES and bool(
            self._settings.headers.credential
        )
        return is_identified and bundle.requires_credentials

    def backend_registered(self, registered: RegisteredServer) -> None:
        """Apply the registration of the local backend server, and publish it."""
        assert self._local_backend is not None
        self._server_side.notices.on_registered(registered.start, leaving=registered.leaving)
        self._local_backend.apply_registration(registered)
        if registered.leaving:
            self.leaving(f"backend server {registered.server} leaves")
        else:
            self._view.leaving = False
            self._gate.on_server_available()
        self._local_backend.publish()

    def instances_updated(
        self, instances: tuple[Instance, ...], removed: tuple[str, ...], whole: bool
    ) -> None:
        """Compare the own entry with the list, or with changes of it."""
        if self._local_backend is not None:
            self._local_backend.check_entry(instances, removed, whole)

    def newer_version_seen(self, version: int, address: str) -> None:
        """Fetch `version` from the daemon at `address` if it is newer than the one in force."""
        if version > self._view.version:
            self._feed.handle_version_hint(version, address)
