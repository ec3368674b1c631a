"""Cold backend servers behind real daemons: what they are sent stays below their bound."""

import asyncio
from contextlib import asynccontextmanager

from wheatslip.store.registration import Heartbeat, Registration

from test.helper import run
from test.routed_fleet import configuration, fleet
from test.test_coldstarts import BOUND, most_in_any_second

COLD_SECONDS = 1.5
COLD = {"cold_start_s": COLD_SECONDS, "cold_per_s": 8}
SETTINGS = {
    "extra_backend_settings": "cold-overage = 1.5\ncold-slack = 8",
    "extra_header_settings": "cold = Cold-Remaining",
}


@asynccontextmanager
async def cold_fleet(*names, **options):
    initial_configuration = configuration()
    initial_configuration["services"]["papers"] |= COLD
    async with fleet(
        *names, initial_configuration=initial_configuration, **SETTINGS, **options
    ) as one:
        yield one


def turn_cold(backend):
    backend.cold_until = asyncio.get_running_loop().time() + COLD_SECONDS


def most_while_cold(backend):
    """The most requests that it got in any second of its coldness."""
    return most_in_any_second(at for at in backend.arrivals if at < backend.cold_until)


async def press(one, seconds, rate=100, by="a"):
    """Ask at `rate` a second whatever comes of it; the statuses."""
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    asked = []
    while loop.time() < end:
        asked.append(asyncio.create_task(one.send_request(by)))
        await asyncio.sleep(1 / rate)
    return [(await answer)[0] for answer in asked]


def test_a_server_that_started_cold_gets_no_more_than_its_bound_and_then_all():
    async def scenario():
        async with cold_fleet("a") as one:
            backend = one.backends["a"]
            backend.server_id = "i-next"
            turn_cold(backend)
            assert await one.send_heartbeat("a", 1) == 200
            backend.arrivals.clear()
            statuses = await press(one, COLD_SECONDS)
            assert 0 < most_while_cold(backend) <= BOUND
            assert set(statuses) <= {200, 503} and statuses.count(200) >= 8
            assert set(await press(one, 0.3)) == {200}

    run(scenario)


def test_a_server_that_turned_cold_on_its_feet_is_heeded_by_its_heartbeat():
    async def scenario():
        async with cold_fleet("a") as one:
            await one.send_heartbeat("a", 1)
            turn_cold(one.backends["a"])
            await one.send_heartbeat("a", 2)
            one.backends["a"].arrivals.clear()
            await press(one, COLD_SECONDS)
            assert most_while_cold(one.backends["a"]) <= BOUND

    run(scenario)


def test_a_daemon_that_starts_beside_a_cold_server_asks_before_it_sends():
    async def scenario():
        async with cold_fleet("a", "b") as one:
            turn_cold(one.backends["a"])
            await one.stop("a")
            one.backends["a"].arrivals.clear()
            await one.start("a")
            await one.ready()
            await press(one, COLD_SECONDS / 2, by="b")
            assert most_while_cold(one.backends["a"]) <= BOUND

    run(scenario)


def test_others_take_what_a_cold_server_has_no_turn_for():
    async def scenario():
        async with cold_fleet("a", "b") as one:
            for backend in one.backends.values():
                backend.service = 0.01
            turn_cold(one.backends["a"])
            await one.send_heartbeat("a", 1)
            for backend in one.backends.values():
                backend.arrivals.clear()
            statuses = await press(one, COLD_SECONDS / 2)
            assert set(statuses) == {200}
            assert most_while_cold(one.backends["a"]) <= BOUND

    run(scenario)


def test_coldness_of_a_new_server_is_that_of_its_own_heartbeat():
    registration = Registration("papers", "10.0.0.9:80")
    registration.on_heartbeat(
        "i-1", Heartbeat("papers", "10.0.0.9:80", 4, 1, warm_in=3.0), 10.0
    )
    assert registration.current.warm_at == 13.0
    registration.on_heartbeat("i-1", Heartbeat("papers", "10.0.0.9:80", 4, 2), 12.0)
    assert registration.current.warm_at == 12.0


def test_a_server_known_by_its_health_alone_has_told_or_not():
    registration = Registration("papers", "10.0.0.9:80")
    registration.on_health("i-1", 4, is_healthy=True)
    assert registration.current.warm_at is None
    registration = Registration("papers", "10.0.0.9:80")
    registration.on_health("i-1", 4, is_healthy=True, warm_at=9.0)
    assert registration.current.warm_at == 9.0


def test_one_who_is_not_the_registered_server_gets_one_request_and_others_the_rest():
    async def scenario():
        async with cold_fleet("a", "b") as one:
            await one.send_heartbeat("a", 1)
            await one.send_heartbeat("b", 1)
            backend = one.backends["a"]
            backend.server_id = "i-next"  # it crashed and came back; no heartbeat yet
            backend.received.clear()
            statuses = [(await one.send_request("ab"[n % 2]))[0] for n in range(30)]
            assert set(statuses) == {200} and len(backend.received) <= 1
            await one.send_heartbeat("a", 2, server="i-a")  # it is there after all
            backend.server_id = "i-a"
            await asyncio.gather(*(one.send_request("a") for _ in range(30)))
            assert len(backend.received) > 1

    run(scenario)
