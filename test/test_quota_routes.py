"""Limits of workspaces on the routes interface, with the platform's configuration."""

from itertools import pairwise

from wheatslipd.entry.quotafilter import LOG_INTERVAL_SECONDS

from test.helper import recorded_events, run
from test.test_identity import KEY, guarded_fleet, received, tenants_configuration

NAMES = ("a", "b", "c")


def limited_configuration(version=1, rate=0.25, **tenant):
    content = tenants_configuration(version)
    content["tenants"]["alpha"] |= {"rate_per_s": rate} | tenant
    return content


def test_a_tenant_above_its_rate_gets_429_and_open_routes_are_not_counted():
    """Guards against a limit that one interface lacks, against a Retry-After without fractions
    of a second, and against calls of backend servers that count against a limit.
    """

    async def scenario():
        with recorded_events() as events:
            async with guarded_fleet(
                *NAMES, initial_configuration=limited_configuration()
            ) as cluster:
                statuses = []
                for name in NAMES:
                    status, _, headers = await cluster.send_request(name, Key=KEY)
                    statuses.append(status)
                assert statuses == [200, 429, 429]
                assert 2.0 < float(headers["Retry-After"]) <= 10.0
                assert len(received(cluster)) == 1
                for name in NAMES:
                    assert (await cluster.send_request(name, "/open/1"))[0] == 200
                quotas = [cluster.daemons[name].status().quotas[0] for name in NAMES]
                assert [quota.used for quota in quotas] == [1, 0, 0]
                assert [quota.refused for quota in quotas] == [0, 1, 1]
                assert sum(quota.granted for quota in quotas) == 1
                assert len({quota.owner for quota in quotas}) == 1
        found = [e for e in events if e.get("message_type") == "quota-exceeded"]
        assert {event["workspace"] for event in found} == {"alpha"}

    run(scenario)


def test_a_refused_tenant_is_logged_once_a_second():
    """Guards against a log line for each request of a workspace that sends too much."""

    async def scenario():
        with recorded_events() as events:
            async with guarded_fleet(
                "a", initial_configuration=limited_configuration()
            ) as cluster:
                for _ in range(30):
                    await cluster.send_request("a", Key=KEY)
                refused = cluster.daemons["a"].status().quotas[0].refused
        found = [e for e in events if e.get("message_type") == "quota-exceeded"]
        assert refused >= 28
        times = [event["timestamp"] for event in found]
        assert found
        assert all(
            later - earlier >= 0.9 * LOG_INTERVAL_SECONDS for earlier, later in pairwise(times)
        )

    run(scenario)


def test_another_limit_takes_effect_with_its_configuration():
    """Guards against a limit that only a restart changes, and against one that stays after it
    was removed.
    """

    async def scenario():
        async with guarded_fleet(
            *NAMES, initial_configuration=limited_configuration()
        ) as cluster:
            statuses = [(await cluster.send_request("a", Key=KEY))[0] for _ in range(2)]
            assert statuses == [200, 429]
            cluster.store.write("config", "main", limited_configuration(2, rate=0))
            await cluster.ready(version=2)
            statuses = [(await cluster.send_request("a", Key=KEY))[0] for _ in range(5)]
            assert statuses == [200] * 5
            assert not cluster.daemons["a"].status().quotas

    run(scenario)
