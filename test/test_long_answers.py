"""Answers of the users' platform that are longer than a daemon reads."""

from result import Err, Ok
from wheatslip.store.instances import INSTANCE_KIND
from wheatslip.store.objects import TooOld

from fleet_adapter import calls
from fleet_adapter.store import FleetStore
from fleet_adapter.wire import KINDS
from fleet_standins.store import StoreStandIn
from standins.cluster import HOST
from test.helper import run


def test_changes_longer_than_a_daemon_reads_are_passed_by_a_whole_read(monkeypatch):
    """Guards against a watch that asks for the same long answer again and again."""
    monkeypatch.setattr(calls, "MAX_RESPONSE_BYTES", 20_000)

    async def scenario():
        stand_in = StoreStandIn()
        await stand_in.server.listen(HOST, 0)
        store = FleetStore(f"{HOST}:{stand_in.server.port}")
        value = {"pool": "p" * 60_000}
        since = 1
        for number in range(40):
            stand_in.write(KINDS[INSTANCE_KIND], "a", value | {"incarnation": number})
        assert await store.changes(INSTANCE_KIND, since, 0.0) == Err(TooOld())
        match await store.list(INSTANCE_KIND):
            case Ok(listing):
                assert [item.version for item in listing.items] == [stand_in.rev]
        await store.close()
        await stand_in.server.stop(0.0)

    run(scenario)
