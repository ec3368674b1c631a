"""Builds the parts of the limits of one daemon: as an entry, and as an owner."""

from dataclasses import dataclass

from wheatslip.quota.granter import Granter
from wheatslip.quota.holder import TokenHolder
from wheatslip.store.backoff import Backoff
from wheatslip.store.objects import ObjectStore

from wheatslipd.controllers.quota import QuotaController
from wheatslipd.quota.asker import OwnerAsker
from wheatslipd.quota.channels import OwnerChannels
from wheatslipd.quota.client import QuotaClient
from wheatslipd.quota.knowndaemons import KnownDaemons
from wheatslipd.quota.lossstore import LossStore
from wheatslipd.quota.lostdaemons import LostDaemons
from wheatslipd.quota.reachprober import ReachProber
from wheatslipd.quota.relaycalls import RelayCalls
from wheatslipd.quota.report import QuotaReport
from wheatslipd.quota.service import QuotaService
from wheatslipd.settings import Settings
from wheatslipd.shared import SharedState
from wheatslipd.tls import PeerTls


@dataclass(frozen=True, slots=True)
class Quota:
    """The parts of the limits of one daemon."""

    service: QuotaService
    granter: Granter
    channels: OwnerChannels
    client: QuotaClient
    controller: QuotaController
    report: QuotaReport
    relay_calls: RelayCalls
    prober: ReachProber
    lost: LostDaemons
    loss_store: LossStore


def build_quota(
    settings: Settings, shared: SharedState, tls: PeerTls, store: ObjectStore
) -> Quota:
    """Build the parts. The client's `run` must run while requests are accepted."""
    clock = shared.monotonic
    granter = Granter(settings.name, settings.quota)
    known = KnownDaemons(clock)
    prober = ReachProber(granter, known, clock)
    lost = LostDaemons(granter, known, prober.on_lost, clock)
    loss_store = LossStore(
        settings.name,
        store,
        lost.learn,
        lambda: Backoff(shared.rng, last=settings.feed.retry_last),
        shared.unix,
    )
    relay_calls = RelayCalls(tls, known)
    service = QuotaService(settings.name, granter, clock, relay_calls)
    channels = OwnerChannels(tls)
    asker = OwnerAsker(settings.name, service, granter.candidates_of, channels, clock)
    holder = TokenHolder(settings.quota)
    client = QuotaClient(settings.name, holder, asker, shared.metrics, clock)
    controller = QuotaController(
        granter, service, asker, known, lost, loss_store, prober, clock
    )
    report = QuotaReport(controller, client, granter, clock)
    return Quota(
        service,
        granter,
        channels,
        client,
        controller,
        report,
        relay_calls,
        prober,
        lost,
        loss_store,
    )
