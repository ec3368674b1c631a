"""Daemons keep the rate of requests at a cold backend server within its limit."""

import asyncio
from contextlib import asynccontextmanager

from wheatslip.store.registration import Heartbeat, Registration

from test.helper import run
from test.routed_fleet import configuration, fleet
from test.test_coldstarts import MAX_STARTS_PER_SECOND, max_in_any_second

COLD_SECONDS = 1.5
COLD_START_SETTINGS = {"cold_start_s": COLD_SECONDS, "cold_per_s": 8}
SETTINGS = {
    "extra_backend_settings": "cold-overage = 1.5\ncold-slack = 8",
    "extra_header_settings": "cold = Cold-Remaining",
}


@asynccontextmanager
async def cold_fleet(*daemon_names, **options):
    config = configuration()
    config["services"]["papers"] |= COLD_START_SETTINGS
    async with fleet(
        *daemon_names, initial_configuration=config, **SETTINGS, **options
    ) as cluster:
        yield cluster


def turn_cold(backend):
    backend.cold_until = asyncio.get_running_loop().time() + COLD_SECONDS


def max_per_second_while_cold(backend):
    """Largest number of requests that arrived in any second of its cold period."""
    return max_in_any_second(at for at in backend.arrivals if at < backend.cold_until)


async def send_at_rate(cluster, seconds, rate=100, daemon_name="a"):
    """Sends `rate` requests per second without awaiting answers; returns the statuses."""
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    pending = []
    while loop.time() < end:
        pending.append(asyncio.create_task(cluster.send_request(daemon_name)))
        await asyncio.sleep(1 / rate)
    return [(await answer)[0] for answer in pending]


def test_cold_server_gets_limited_requests_until_it_is_warm():
    async def scenario():
        async with cold_fleet("a") as cluster:
            backend = cluster.backends["a"]
            backend.server_id = "i-next"
            turn_cold(backend)
            assert await cluster.send_heartbeat("a", 1) == 200
            backend.arrivals.clear()
            statuses = await send_at_rate(cluster, COLD_SECONDS)
            assert 0 < max_per_second_while_cold(backend) <= MAX_STARTS_PER_SECOND
            assert set(statuses) <= {200, 503} and statuses.count(200) >= 8
            assert set(await send_at_rate(cluster, 0.3)) == {200}

    run(scenario)


def test_running_server_that_turns_cold_is_limited_after_its_heartbeat():
    async def scenario():
        async with cold_fleet("a") as cluster:
            await cluster.send_heartbeat("a", 1)
            turn_cold(cluster.backends["a"])
            await cluster.send_heartbeat("a", 2)
            cluster.backends["a"].arrivals.clear()
            await send_at_rate(cluster, COLD_SECONDS)
            assert max_per_second_while_cold(cluster.backends["a"]) <= MAX_STARTS_PER_SECOND

    run(scenario)


def test_daemon_that_starts_beside_a_cold_server_limits_its_first_requests():
    async def scenario():
        async with cold_fleet("a", "b") as cluster:
            turn_cold(cluster.backends["a"])
            await cluster.stop("a")
            cluster.backends["a"].arrivals.clear()
            await cluster.start("a")
            await cluster.ready()
            await send_at_rate(cluster, COLD_SECONDS / 2, daemon_name="b")
            assert max_per_second_while_cold(cluster.backends["a"]) <= MAX_STARTS_PER_SECOND

    run(scenario)


def test_other_servers_handle_requests_beyond_the_limit_of_a_cold_server():
    async def scenario():
        async with cold_fleet("a", "b") as cluster:
            for backend in cluster.backends.values():
                backend.service = 0.01
            turn_cold(cluster.backends["a"])
            await cluster.send_heartbeat("a", 1)
            for backend in cluster.backends.values():
                backend.arrivals.clear()
            statuses = await send_at_rate(cluster, COLD_SECONDS / 2)
            assert set(statuses) == {200}
            assert max_per_second_while_cold(cluster.backends["a"]) <= MAX_STARTS_PER_SECOND

    run(scenario)


def test_warm_time_of_a_new_server_comes_from_its_own_heartbeat():
    registration = Registration("papers", "10.0.0.9:80")
    registration.on_heartbeat(
        "i-1", Heartbeat("papers", "10.0.0.9:80", 4, 1, warm_in=3.0), 10.0
    )
    assert registration.current.warm_at == 13.0
    registration.on_heartbeat("i-1", Heartbeat("papers", "10.0.0.9:80", 4, 2), 12.0)
    assert registration.current.warm_at == 12.0


def test_server_registered_by_health_has_a_warm_time_only_if_reported():
    registration = Registration("papers", "10.0.0.9:80")
    registration.on_health("i-1", 4, is_healthy=True)
    assert registration.current.warm_at is None
    registration = Registration("papers", "10.0.0.9:80")
    registration.on_health("i-1", 4, is_healthy=True, warm_at=9.0)
    assert registration.current.warm_at == 9.0


def test_unregistered_server_at_a_known_address_gets_at_most_one_request():
    async def scenario():
        async with cold_fleet("a", "b") as cluster:
            await cluster.send_heartbeat("a", 1)
            await cluster.send_heartbeat("b", 1)
            backend = cluster.backends["a"]
            backend.server_id = "i-next"  # restarted after a crash, no heartbeat yet
            backend.received.clear()
            statuses = [(await cluster.send_request("ab"[n % 2]))[0] for n in range(30)]
            assert set(statuses) == {200} and len(backend.received) <= 1
            await cluster.send_heartbeat("a", 2, server="i-a")  # the registered server is back
            backend.server_id = "i-a"
            await asyncio.gather(*(cluster.send_request("a") for _ in range(30)))
            assert len(backend.received) > 1

    run(scenario)
