"""Routed requests end to end: daemons, registering servers and the adapter's store."""

import asyncio
import json
from random import Random

from wheatslip.store.instances import INSTANCE_KIND
from wheatslip.upstream import DEAD_AFTER_FAILURES, DEAD_AFTER_SECONDS
from wheatslipd.registration.removal import RANK_DELAY_SECONDS

from fleet_adapter.wire import KINDS
from fleet_standins.store import Fault
from standins.cluster import HOST, eventually
from standins.plainbackend import ServerFault
from test.helper import run
from test.routed_fleet import configuration, fleet


def test_a_request_reaches_the_server_with_what_it_must_know():
    async def scenario():
        async with fleet("a") as one:
            status, body, _ = await one.ask(
                "a",
                "/submit/2?x=1",
                "POST",
                b"paper",
                **{"Deadline-Remaining": "900", "Caller-Service": "forged", "X-Kept": "yes"},
            )
            assert (status, body) == (200, b"i-a")
            (got,) = one.backends["a"].received
            assert (got.method, got.target, got.body) == ("POST", "/submit/2?x=1", b"paper")
            assert got.headers["caller-service"] == "papers"
            assert got.headers["expect-instance"] == "i-a"
            assert 0 < int(got.headers["deadline-remaining"]) <= 900
            assert got.headers["request-id"] == "r-1" and got.headers["x-kept"] == "yes"
            assert not [name for name in got.headers if name.startswith("wheatslip-")]

    run(scenario)


def test_what_has_no_route_or_host_is_refused():
    async def scenario():
        async with fleet("a") as one:
            assert (await one.ask("a", "/other/1"))[0] == 404
            assert (await one.ask("a", Host="nobody.example"))[0] == 404
            assert (await one.ask("a", **{"Deadline-Remaining": "soon"}))[0] == 400
            for hosts in (b"", b"Host: papers.example\r\nHost: papers.example\r\n"):
                port = one.daemons["a"].entry_server.port
                reader, writer = await asyncio.open_connection(HOST, port)
                writer.write(b"GET /view/1 HTTP/1.1\r\n" + hosts + b"\r\n")
                assert (await reader.readline()).startswith(b"HTTP/1.1 400")
                writer.close()
            assert one.backends["a"].run_request_ids == []

    run(scenario)


def test_without_a_configuration_the_answer_is_503_not_404():
    async def scenario():
        async with fleet("a", configured=False) as one:
            status, _, headers = await one.ask("a")
            assert status == 503 and float(headers["Retry-After"]) > 0
            assert not one.daemons["a"].status().ready

    run(scenario)


def test_a_server_that_turns_requests_away_costs_no_answer():
    async def scenario():
        async with fleet("a", "b") as one:
            one.backends["a"].fault = ServerFault.SHED
            for number in range(6):
                method, path = [("GET", "/view/1"), ("POST", "/submit/1")][number % 2]
                status, body, _ = await one.ask("a", path, method)
                assert (status, body) == (200, b"i-b")

    run(scenario)


def test_a_reset_request_runs_again_only_if_it_may():
    async def scenario():
        async with fleet("a", "b") as one:
            for trouble in (ServerFault.RESET, ServerFault.CUT, ServerFault.FAIL):
                for backend in one.backends.values():
                    backend.fault = ServerFault.NONE
                    backend.run_request_ids.clear()
                one.backends["a"].fault = trouble
                statuses = set()
                for number in range(12):
                    status, _, _ = await one.ask(
                        "b", "/submit/1", "POST", **{"Request-Id": f"s-{number}"}
                    )
                    statuses.add(status)
                run_request_ids = (
                    one.backends["a"].run_request_ids + one.backends["b"].run_request_ids
                )
                assert len(run_request_ids) == len(set(run_request_ids))
                assert statuses <= {200, 500, 502}
                assert (await one.ask("b"))[0] == 200

    run(scenario)


def test_a_draining_server_gets_nothing_new_and_is_listed_as_leaving():
    async def scenario():
        async with fleet("a", "b") as one:
            assert await one.beat("a", 1) == 200
            assert await one.beat("a", 2, "draining") == 200
            before = len(one.backends["a"].run_request_ids)
            for _ in range(10):
                assert (await one.ask("a"))[1] == b"i-b"
            assert len(one.backends["a"].run_request_ids) == before

            async def listed():
                entry = one.store.objects[KINDS[INSTANCE_KIND], "a"]
                return json.loads(bytes(entry.spec))["state"] == "leaving"

            await eventually(listed)
            assert one.daemons["a"].status().ready

    run(scenario)


def test_the_entry_of_a_daemon_that_leaves_with_its_server_goes():
    async def scenario():
        async with fleet("a", "b") as one:
            await one.beat("a", 1)
            await one.beat("a", 2, "draining")
            await one.stop("a")
            assert (KINDS[INSTANCE_KIND], "a") not in one.store.objects
            assert (await one.ask("b"))[1] == b"i-b"

    run(scenario)


def test_the_entry_of_a_dead_daemon_is_removed_unless_it_has_started_anew():
    async def scenario():
        async with fleet("a", "b") as one:
            daemon = one.daemons["a"]
            (dead,) = (
                p for p in daemon.view.membership.peers("papers") if p.instance.name == "b"
            )
            for second in range(DEAD_AFTER_FAILURES):
                dead.upstream.on_unreachable(float(second), Random(1))
            remover = daemon.local_backend.remover
            remover._rank = lambda zone: 0
            remover._clock = lambda: DEAD_AFTER_SECONDS - 1
            await remover.remove_dead()
            assert (KINDS[INSTANCE_KIND], "b") in one.store.objects
            remover._clock = lambda: DEAD_AFTER_SECONDS + 1
            remover._version_of = lambda name: 1  # as it was before it started anew
            await remover._remove("b", dead.instance.incarnation + 1)
            assert (KINDS[INSTANCE_KIND], "b") in one.store.objects
            remover._version_of = daemon.feed.cache.version_of
            calls = len(one.store.calls)
            await remover.remove_dead()
            removals = [c for c in one.store.calls[calls:] if "wheatslip-instances/b" in c]
            assert removals and all(call.startswith("DELETE") for call in removals)

            async def is_back():
                return (KINDS[INSTANCE_KIND], "b") in one.store.objects

            await eventually(is_back)  # as it lives

    run(scenario)


def test_one_daemon_removes_a_dead_entry_and_the_others_leave_it_to_that_one():
    async def scenario():
        async with fleet(*"abcd") as one:
            for daemon in one.daemons.values():
                for peer in daemon.view.membership.peers("papers"):
                    for second in range(DEAD_AFTER_FAILURES):
                        if peer.instance.name == "d":
                            peer.upstream.on_unreachable(float(second), Random(1))
            removers = [daemon.local_backend.remover for daemon in one.daemons.values()]
            one.store.fault = Fault.BUSY  # so that the entry stays
            one.store.calls.clear()
            for remover in removers:
                remover._clock = lambda: DEAD_AFTER_SECONDS + 1
                await remover.remove_dead()
            assert len([c for c in one.store.calls if c.startswith("DELETE")]) <= 1
            for remover in removers:
                remover._clock = lambda: DEAD_AFTER_SECONDS + RANK_DELAY_SECONDS + 1
                await remover.remove_dead()
            assert [c for c in one.store.calls if c.startswith("DELETE")]
            one.store.fault = Fault.NONE

    run(scenario)


def test_a_new_server_beside_the_daemon_gets_work_under_its_own_id():
    async def scenario():
        async with fleet("a") as one:
            await one.beat("a", 1)
            await one.beat("a", 2, "draining")
            one.backends["a"].server_id = "i-new"
            await one.beat("a", 1)

            async def served():
                return (await one.ask("a"))[1] == b"i-new"

            await eventually(served)

    run(scenario)


def test_a_restarted_daemon_waits_for_its_server_to_be_well_or_to_register():
    async def scenario():
        async with fleet("a") as one:
            one.backends["a"].health = 503
            await one.stop("a")
            await one.start("a")
            status, _, _ = await one.ask("a")
            assert status == 503 and one.backends["a"].run_request_ids == []
            await one.beat("a", 7)
            await one.ready()
            assert (await one.ask("a"))[0] == 200

    run(scenario)


def test_a_new_configuration_is_in_force_and_the_old_one_gone():
    async def scenario():
        async with fleet("a", "b") as one:
            one.store.write("config", "main", configuration(9, "/seen/"))
            await one.ready(9)
            assert (await one.ask("a", "/seen/1"))[0] == 200
            assert (await one.ask("b", "/view/1"))[0] == 404

    run(scenario)


def test_a_daemon_that_the_store_turns_away_learns_from_the_one_that_calls_it():
    async def scenario():
        async with fleet("a", "b") as one:
            await one.stop("b")
            one.store.fault = Fault.BUSY
            await one.start("b")
            assert one.daemons["b"].status().version == 0
            port = one.daemons["a"].feed.relay.port
            one.daemons["b"].feed.cache.instances["a"] = one.daemons["a"].feed.cache.instances[
                "a"
            ]
            assert port == one.daemons["a"].feed.cache.instances["a"].control_port
            one.daemons["b"].feed.handle_version_hint(1, HOST)

            async def learned():
                return one.daemons["b"].status().version == 1

            await eventually(learned)
            one.store.fault = Fault.NONE

    run(scenario)


def test_daemons_that_start_all_at_once_do_not_all_watch_the_store():
    async def scenario():
        async with fleet(*"abcdef", settle="1s") as one:
            following = [d for d in one.daemons.values() if not d.feed.is_watcher]
            assert len(following) == 4
            # The list twice, the configuration, the emptied zones and the ends of servers, all
            # stale, and the own entry.
            assert [daemon.feed.client.calls for daemon in following] == [6] * 4
            calls = [call for call in one.store.priced_calls if "watch=" not in call]
            assert len(calls) == 6 and all(call.startswith("POST") for call in calls)

    run(scenario)


def test_a_start_among_others_takes_one_priced_call_and_is_brought_up_to_date():
    """The stale reads show neither the newest configuration nor who has joined since."""

    async def scenario():
        async with fleet(*"abc", settle="1s") as one:
            watching = [name for name, daemon in one.daemons.items() if daemon.feed.is_watcher]
            (follower,) = {*"abc"} - {*watching}
            one.store.freeze_stale_reads()
            one.store.write("config", "main", configuration(2))
            await one.ready(2)
            await one.stop(follower)
            one.store.calls.clear()
            await one.start(follower)
            await one.ready(2)
            own = [call for call in one.store.priced_calls if follower in call.split("/")[-1]]
            others = [c for c in one.store.priced_calls if c not in own and "watch=" not in c]
            assert len(own) == 1 and own[0].startswith("PUT") and others == []

    run(scenario)


def test_a_zone_hears_of_news_though_all_that_watched_for_it_are_gone():
    async def scenario():
        async with fleet(*"abcd") as one:
            watching = [name for name, daemon in one.daemons.items() if daemon.feed.is_watcher]
            one.store.fault = Fault.BUSY  # so that they stay listed
            for name in watching:
                await one.stop(name)
            one.store.fault = Fault.NONE
            one.store.write("config", "main", configuration(version=2))

            async def learned():
                return all(d.status().version == 2 for d in one.daemons.values())

            await eventually(learned)

    run(scenario)


def test_a_caller_that_leaves_takes_its_request_along():
    async def scenario():
        async with fleet("a") as one:
            one.backends["a"].fault = ServerFault.HANG
            port = one.daemons["a"].entry_server.port
            _, writer = await asyncio.open_connection(HOST, port)
            writer.write(b"GET /view/1 HTTP/1.1\r\nHost: papers.example\r\n\r\n")

            async def in_flight(count):
                return one.daemons["a"].status().in_flight == count

            await eventually(lambda: in_flight(1))
            writer.transport.abort()
            await eventually(lambda: in_flight(0))

    run(scenario)
