"""Questions to the health endpoint while it is not known who stands beside the daemon."""

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

QUESTIONS = 3


@pytest.mark.parametrize(
    ("took", "pause"),
    [
        (0.0, HEALTH_INTERVAL_SECONDS),
        (0.1, HEALTH_INTERVAL_SECONDS - 0.1),
        (HEALTH_TIMEOUT_SECONDS, 0.0),
        (0.4, 0.0),
    ],
)
def test_questions_begin_a_pause_apart_and_at_once_after_one_that_took_longer(
    monkeypatch, took, pause
):
    """A start that holds up the loop makes the first question run out of time. The daemon was
    ready meanwhile, and refused all callers for a whole pause more.
    """
    now = [0.0]
    pauses = []

    async def ask_health(*_):
        now[0] += took

    async def sleep(seconds):
        now[0] += seconds
        pauses.append(seconds)
        if len(pauses) == QUESTIONS:
            raise asyncio.CancelledError

    monkeypatch.setattr(registrar, "ask_health", ask_health)
    stub = SimpleNamespace(sleep=sleep, Event=asyncio.Event)
    monkeypatch.setattr(registrar, "asyncio", stub)
    asker = Registrar(
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
        asyncio.run(asker.run())
    assert pauses == [pytest.approx(pause)] * QUESTIONS
