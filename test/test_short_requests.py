"""Slots that only short requests may use, so that calls do not wait behind long requests."""

import heapq
from dataclasses import dataclass
from random import Random

import pytest
from wheatslip.admission import (
    Admission,
    AdmissionSettings,
    ColdRate,
    SlotSettings,
    Ticket,
    UsableSlots,
)
from wheatslip.call import Call, RequestKind

from standins.cluster import eventually
from test.helper import run
from test.routed_fleet import configuration, fleet
from test.test_identity import IDENTITY_HEADERS, tenants_configuration

LONG = RequestKind("history", repeatable=True)
SHORT = RequestKind("index", repeatable=True)
SERVICE_SECONDS = {LONG.name: 0.23, SHORT.name: 0.027}
TARGET_SECONDS = {LONG.name: 0.8, SHORT.name: 0.127}
SLOTS = 2
SERVER_SLOTS = 3
SLOT_SETTINGS = SlotSettings(share=0.8, short_share=1.0, few=3)  # those of the platform


def make_call(kind, now):
    target = now + TARGET_SECONDS[kind.name]
    return Call("w", "s", kind, now + 1.0, target=target, hold_until=target)


def make_admission(short_slots=SERVER_SLOTS):
    """A gate that knows the service times of both kinds."""
    admission = Admission(AdmissionSettings(slots=SLOTS, short_slots=short_slots))
    for _ in range(50):
        for kind in (LONG, SHORT):
            ticket = admission.arrive(make_call(kind, 0.0), 0.0)
            admission.finish(ticket, SERVICE_SECONDS[kind.name], worked=True)
    return admission


def start_long_requests(admission, count=SLOTS):
    return [admission.arrive(make_call(LONG, 1.0), 1.0) for _ in range(count)]


@dataclass
class Replay:
    """Requests of both kinds at one gate, with exponential arrivals and fixed service times."""

    admission: Admission
    long_per_second: float
    short_per_second: float
    seconds: float = 200.0

    def run(self):
        """Return the part of the short calls that were answered within their target."""
        rng = Random(5)
        events = []
        for kind, rate in ((LONG, self.long_per_second), (SHORT, self.short_per_second)):
            now = 1.0
            while now < self.seconds:
                now += rng.expovariate(rate)
                heapq.heappush(events, (now, len(events), "arrival", kind))
        number = len(events)
        arrived, in_time = 0, 0
        while events:
            now, _, event, subject = heapq.heappop(events)
            if event == "arrival":
                arrived += subject is SHORT
                ticket = self.admission.arrive(make_call(subject, now), now)
                started = [ticket] if isinstance(ticket, Ticket) and ticket.started else []
            else:
                is_in_time = now <= subject.call.target
                in_time += subject.call.kind is SHORT and is_in_time
                started = self.admission.finish(subject, now, worked=True)
            for ticket in started:
                number += 1
                end = now + SERVICE_SECONDS[ticket.call.kind.name]
                heapq.heappush(events, (end, number, "end", ticket))
        return in_time / arrived


def test_calls_are_refused_behind_long_requests_only_without_slots_of_their_own():
    # Long requests use 0.8 of their slots. A request that makes two calls should seldom fail.
    load = {"long_per_second": 7.0, "short_per_second": 4.0}
    assert Replay(make_admission(), **load).run() >= 0.95
    assert Replay(make_admission(short_slots=0), **load).run() < 0.85


def test_long_requests_use_no_slot_of_short_ones():
    admission = make_admission()
    start_long_requests(admission)
    ticket = admission.arrive(make_call(LONG, 1.0), 1.0)
    assert ticket.started is None


@pytest.mark.parametrize("short_slots", [0, SLOTS])
def test_short_requests_wait_where_no_slots_are_kept_for_them(short_slots):
    admission = make_admission(short_slots)
    running = start_long_requests(admission)
    # Near its end, a long request lets a short one wait.
    ticket = admission.arrive(make_call(SHORT, 1.2), 1.2)
    assert isinstance(ticket, Ticket) is False or ticket.started is None
    assert len(running) == admission.in_flight


def test_a_kind_without_responses_is_not_taken_for_short():
    admission = make_admission()
    start_long_requests(admission)
    kind = RequestKind("new", repeatable=True)
    call = Call("w", "s", kind, 2.0, target=1.1, hold_until=1.1)
    admission.arrive(call, 1.0)
    assert admission.in_flight == SLOTS


def test_short_requests_keep_the_rate_of_a_cold_server():
    admission = make_admission()
    admission.cold.set_rate(ColdRate(seconds=10.0, per_second=2.0))
    admission.cold.assume_cold(1.0)
    start_long_requests(admission, count=1)
    admission.arrive(make_call(SHORT, 1.0), 1.0)
    assert admission.in_flight == 1


@pytest.mark.parametrize("has_ranks", [True, False])
@pytest.mark.parametrize(("reported", "slots"), [(12, 9), (6, 4), (3, 2)])
def test_short_requests_have_slots_with_credentials_or_on_servers_with_few(
    reported, slots, has_ranks
):
    """Guards against slots for short requests in deployments that do not need them."""
    have_slots = has_ranks or reported == 3
    expected = UsableSlots(slots, reported if have_slots else 0)
    assert SLOT_SETTINGS.usable(reported, has_ranks=has_ranks) == expected


def test_by_default_no_server_has_few_slots():
    settings = SlotSettings(share=0.8, short_share=1.0, few=0)
    assert settings.usable(1, has_ranks=False) == UsableSlots(1)


def test_without_a_share_short_requests_have_no_slots():
    settings = SlotSettings(share=0.8, short_share=0.0, few=3)
    assert settings.usable(3, has_ranks=True) == UsableSlots(2)


@pytest.mark.parametrize(
    ("reported", "with_credentials", "without"),
    [
        (12, UsableSlots(9, 12), UsableSlots(9)),
        (6, UsableSlots(4, 6), UsableSlots(4)),
        (3, UsableSlots(2, 3), UsableSlots(2, 3)),
    ],
)
def test_slots_of_short_requests_follow_the_configuration_and_the_registration(
    reported, with_credentials, without
):
    """Guards against a daemon that keeps the slots of an earlier configuration, or that decides
    differently when the server registers before or after the configuration is in force.
    """
    slot_settings = "slot-share = 0.8\nshort-slot-share = 1\nfew-slots = 3"

    async def scenario():
        async with fleet(
            "a",
            initial_configuration=configuration(),
            extra_header_settings=IDENTITY_HEADERS,
            extra_backend_settings=slot_settings,
        ) as cluster:
            admission = cluster.daemons["a"].server_side.gate.admission

            async def has(expected):
                async def check():
                    actual = UsableSlots(
                        admission.settings.slots, admission.settings.short_slots
                    )
                    return actual == expected

                await eventually(check)

            assert await cluster.send_heartbeat("a", 1, slots=reported) == 200
            await has(without)
            cluster.store.write("config", "main", tenants_configuration(2))
            await cluster.ready(version=2)
            await has(with_credentials)
            # Another start of the server registers while the configuration has credentials.
            cluster.backends["a"].server_id = "i-a-2"
            await cluster.send_heartbeat("a", 1, slots=reported + 1)
            await has(SLOT_SETTINGS.usable(reported + 1, has_ranks=True))
            await cluster.send_heartbeat("a", 2, slots=reported)
            await has(with_credentials)
            cluster.store.write("config", "main", configuration(3))
            await cluster.ready(version=3)
            await has(without)

    run(scenario)
