"""Load that a backend server reports: what is no number changes nothing."""

import asyncio

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from wheatslip.backendload import decode_backend_load

from standins.plainbackend import PlainBackend
from test.helper import run
from test.routed_fleet import configuration, fleet


@settings(deadline=None, database=None)
@given(st.binary(max_size=30) | st.lists(st.floats()).map(lambda n: repr(n)[1:-1].encode()))
def test_no_load_header_raises(value):
    """Guards against a load that is infinite or no number, which ended the daemon."""
    for text in (value, b"inf,0,4", b"nan,0,4,100", b"1,0,nan", b"1,0,4,inf", b"1,0,1e400"):
        load = decode_backend_load(text)
        if load is not None:
            assert load.slots >= 1
            assert load.running < 1e10
            assert 0.01 <= load.slowness < 1e10


@pytest.mark.parametrize("load", [b"inf,0,4,100", b"nan,0,4", b"1,0,4,nan", b"-inf,0,inf"])
def test_a_load_that_is_no_number_ends_no_daemon(load):
    """Guards against a health answer whose load ended the daemon each time it was read."""

    async def scenario():
        make_backend = lambda name: PlainBackend(f"i-{name}", load=load)  # noqa: E731
        async with fleet("a", make_backend=make_backend, configured=False) as installation:
            installation.store.write("config", "main", configuration())
            await installation.send_heartbeat("a", 1)
            await installation.ready()
            assert (await installation.send_request("a"))[0] == 200
            await asyncio.sleep(0.3)  # some probes
            assert not installation.tasks["a"].done()

    run(scenario)
