"""Probes of the health endpoint until a backend server has registered."""

import asyncio
from types import SimpleNamespace

import pytest
from wheatslip.store.registration import Registration
from wheatslipd.controllers.bus import Bus
from wheatslipd.registration import registrar
from wheatslipd.registration.registrar import (
    HEALTH_INTERVAL_SECONDS,
    HEALTH_TIMEOUT_SECONDS,
    Registrar,
)
from wheatslipd.settings import HeaderNames

PROBE_COUNT = 3


@pytest.mark.parametrize(
    ("probe_seconds", "sleep_seconds"),
    [
        (0.0, HEALTH_INTERVAL_SECONDS),
        (0.1, HEALTH_INTERVAL_SECONDS - 0.1),
        (HEALTH_TIMEOUT_SECONDS, 0.0),
        (0.4, 0.0),
    ],
)
def test_probes_start_at_a_fixed_interval_and_at_once_after_a_longer_one(
    monkeypatch, probe_seconds, sleep_seconds
):
    """If startup blocks the loop, the first probe times out. Waiting after it would make a
    daemon that is ready refuse all callers for another interval.
    """
    now = [0.0]
    sleeps = []

    async def ask_health(*_):
        now[0] += probe_seconds

    async def sleep(seconds):
        now[0] += seconds
        sleeps.append(seconds)
        if len(sleeps) == PROBE_COUNT:
            raise asyncio.CancelledError

    monkeypatch.setattr(registrar, "ask_health", ask_health)
    fake_asyncio = SimpleNamespace(sleep=sleep, Event=asyncio.Event)
    monkeypatch.setattr(registrar, "asyncio", fake_asyncio)
    registrar_under_test = Registrar(
        Registration("papers", "10.0.0.1:80"),
        backend=None,
        names=HeaderNames(),
        bus=Bus(),
        clock=lambda: now[0],
        on_load=lambda load: None,
        on_heartbeat=lambda registered: None,
        health_path="/health",
    )
    with pytest.raises(asyncio.CancelledError):
        asyncio.run(registrar_under_test.run())
    assert sleeps == [pytest.approx(sleep_seconds)] * PROBE_COUNT
