"""Fixtures of several test modules."""

import asyncio

import pytest
import uvloop

RUN_SECONDS = 30.0  # after which a test that hangs is stopped


@pytest.fixture(params=["asyncio", "uvloop"])
def run_on_loop(request):
    """Runs a scenario on each of the two event loops of the settings."""
    factory = {"asyncio": asyncio.new_event_loop, "uvloop": uvloop.new_event_loop}

    def run_scenario(scenario):
        with asyncio.Runner(loop_factory=factory[request.param]) as runner:
            runner.run(asyncio.wait_for(scenario(), RUN_SECONDS))

    return run_scenario
