"""The rank of a call from its entry to a gate, and a gate's settings where calls have ranks."""

import dataclasses
from types import SimpleNamespace

import pytest
from wheatslip.admission import RANKED_URGENT_SHARE, Admission, AdmissionSettings
from wheatslip.call import COMMON_RANK, Rank
from wheatslip.config.bundle import Bundle, Pool, Workspace
from wheatslip.hop import RANK_HEADER, Hop, decode_rank, encode
from wheatslipd.controllers.lifecycle import Lifecycle
from wheatslipd.controllers.view import View
from wheatslipd.entry.routefilter import RouteFilter
from wheatslipd.gate import peerport
from wheatslipd.gate.forwardedrequest import decode_call
from wheatslipd.settings import HeaderNames, Interface

from test.helper import run
from test.routed_fleet import fleet

RANKED = AdmissionSettings(4, 16, RANKED_URGENT_SHARE, has_ranks=True)


def test_a_rank_is_decoded_from_the_hop_and_an_invalid_one_is_ignored():
    assert decode_rank(encode(Rank(2, 3))) == Rank(2, 3)
    for invalid in (b"", b"[", b"[-1,0]", b"[0,-1]", b'["a",0]', b"[0.5,0]", b"{}"):
        assert decode_rank(invalid) is None, invalid
    hop = Hop("alpha", "papers", "read", repeatable=True, remaining=1.0, version=1, entry="a")
    assert decode_call(hop, 0.0, "").rank == COMMON_RANK
    assert decode_call(hop, 0.0, "", Rank(2, 3)).rank == Rank(2, 3)


@pytest.mark.parametrize(
    ("rank", "header"), [(Rank(2, 3), b"[2,3]"), (Rank(0, 1), b"[0,1]"), (COMMON_RANK, None)]
)
def test_a_gate_gets_the_rank_of_a_call_and_no_header_for_the_common_one(
    monkeypatch, rank, header
):
    """Without ranks, the bytes on the hop stay as they were; callers can't set a rank."""
    received = []
    build_call, decode = RouteFilter._build_call, peerport.decode_call

    def build_ranked_call(*arguments):
        return dataclasses.replace(build_call(*arguments), rank=rank)

    def decode_recorded_call(*arguments):
        call = decode(*arguments)
        received.append(call.rank)
        return call

    async def process(self, exchange, trace):
        headers.append(exchange.head.get(RANK_HEADER))
        return await process_request(self, exchange, trace)

    headers = []
    process_request = peerport.PeerPort._process
    monkeypatch.setattr(RouteFilter, "_build_call", build_ranked_call)
    monkeypatch.setattr(peerport, "decode_call", decode_recorded_call)
    monkeypatch.setattr(peerport.PeerPort, "_process", process)

    async def scenario():
        async with fleet("a") as installation:
            sent = {"wheatslip-rank": "[7,7]"}
            status, _, _ = await installation.send_request("a", **sent)
            assert status == 200
            (request,) = installation.backends["a"].received
            assert not [name for name in request.headers if name.startswith("wheatslip-")]

    run(scenario)
    assert headers == [header] and received == [rank]


def test_starts_and_refusals_are_counted_by_priority_only_where_calls_have_ranks():
    async def scenario():
        async with fleet("a") as installation:
            daemon = installation.daemons["a"]
            metrics = daemon.server_side.peer_port._metrics
            await installation.send_request("a")
            assert counted_by_priority(metrics) == []
            daemon.server_side.gate.admission.resize(RANKED)
            await installation.send_request("a")
            (line,) = counted_by_priority(metrics)
            assert 'outcome="started"' in line and 'priority="' in line
            assert line.endswith(" 1")

    run(scenario)


def counted_by_priority(metrics):
    lines = metrics.render().decode().splitlines()
    return [line for line in lines if line.startswith("wheatslip_priority_admissions_total{")]


def settings_of_gate(interface, *workspaces, credential=b"key"):
    """The settings of a gate after a bundle with these workspaces."""
    admission = Admission(AdmissionSettings())
    server_side = SimpleNamespace(
        gate=SimpleNamespace(admission=admission),
        backend=SimpleNamespace(set_connection_limit=lambda limit: None),
        idle_probe=SimpleNamespace(budget=SimpleNamespace(per_second=0.0)),
    )
    headers = HeaderNames(credential=credential)
    settings = SimpleNamespace(pool="papers", interface=interface, headers=headers)
    lifecycle = Lifecycle(settings, View(), server_side, None, None)
    pool = Pool("papers", slots=4, queue=16)
    lifecycle.bundle_in_force(Bundle(2, workspaces=workspaces, pools=(pool,)))
    return admission.settings


def test_calls_have_ranks_where_callers_by_routes_need_credentials():
    """Elsewhere urgent calls keep their quarter of the starts."""
    usual = AdmissionSettings(4, 16)
    with_credential, without = Workspace("alpha", "digest"), Workspace("alpha", "")
    all_removed = Workspace("alpha", "", more_credentials_sha256=())
    assert settings_of_gate(Interface.ROUTES, without, with_credential) == RANKED
    assert settings_of_gate(Interface.ROUTES, all_removed) == RANKED
    assert settings_of_gate(Interface.ROUTES, without) == usual
    assert settings_of_gate(Interface.ROUTES) == usual
    assert settings_of_gate(Interface.ROUTES, with_credential, credential=b"") == usual
    assert settings_of_gate(Interface.WORKSPACE, with_credential) == usual
