"""Who may send requests by routes: credentials of the callers, from the entry to the server.

Guards against requests that run without a valid credential or with a removed one, requests
refused with a valid one, forged identities, and credentials that leave the entry.
"""

import asyncio
from contextlib import asynccontextmanager

import pytest
from wheatslip.attempts import Attempts
from wheatslip.call import COMMON_RANK, CallClass, Rank
from wheatslip.config.bundle import credential_digest
from wheatslip.hop import HOP_HEADER, decode_hop
from wheatslip.quarantine import Quarantine
from wheatslipd.entry import forward, sendguard
from wheatslipd.gate import peerport
from wheatslipd.settings import LogLevel
from wheatslipd.telemetry import logs

from standins.cluster import HOST, eventually
from standins.plainbackend import ServerFault
from test.helper import BUNDLE, Installation, bundle, record_heads, recorded_events, run
from test.routed_fleet import configuration, fleet

IDENTITY_HEADERS = "credential = Key\nworkspace = Tenant"
KEY = "key-of-alpha-81f3"
OTHER_KEY = "key-of-alpha-20c7"
UNKNOWN_KEY = "key-of-nobody-5d1e"
NEW_KEY = "key-of-beta-77aa"


def tenants_configuration(version=1, **keys_by_tenant):
    """The default configuration with tenants, and with an open route /open/."""
    content = configuration(version)
    tenants = keys_by_tenant or {"alpha": [KEY, OTHER_KEY]}
    content["tenants"] = {name: {"api_keys": keys} for name, keys in tenants.items()}
    open_route = content["routes"]["view"] | {"path_prefix": "/open/", "no_auth": True}
    content["routes"]["open"] = open_route
    return content


@asynccontextmanager
async def guarded_fleet(*names, **options):
    """A fleet whose callers need credentials."""
    initial = options.pop("initial_configuration", None) or tenants_configuration()
    options = {"extra_header_settings": IDENTITY_HEADERS} | options
    async with fleet(*names, initial_configuration=initial, **options) as cluster:
        yield cluster


async def send_lines(cluster, name, path, *lines):
    """Send a request with exactly these header lines; returns the status.

    A surrogate in a line stands for a byte that is not UTF-8.
    """
    reader, writer = await asyncio.open_connection(
        HOST, cluster.daemons[name].entry_server.port
    )
    head = [f"GET {path} HTTP/1.1", "Host: papers.example", "Request-Id: r-1", *lines, "", ""]
    writer.write("\r\n".join(head).encode(errors="surrogateescape"))
    status = int((await reader.readline()).split()[1])
    writer.close()
    return status


def received(cluster):
    return [r for backend in cluster.backends.values() for r in backend.received]


def forget_received(cluster):
    for backend in cluster.backends.values():
        backend.received.clear()


@pytest.fixture
def events():
    with recorded_events() as captured:
        yield captured


BAD_HEADERS = {
    "unknown": (f"Key: {UNKNOWN_KEY}",),
    "empty": ("Key:",),
    "blank": ("Key:   ",),
    "twice": (f"Key: {KEY}", f"Key: {KEY}"),
    "known-and-unknown": (f"Key: {KEY}", f"key: {UNKNOWN_KEY}"),
    "listed": (f"Key: {KEY}, {OTHER_KEY}",),
    "other-header": (f"Authorization: Bearer {KEY}",),
    "not-utf-8": ("Key: \udcff",),
    "other-case": (f"Key: {KEY.upper()}",),
}


def test_a_request_without_exactly_one_known_credential_gets_401_and_reaches_no_server():
    async def scenario():
        async with guarded_fleet("a", "b") as cluster:
            for lines in ((), *BAD_HEADERS.values()):
                for path in ("/view/1", "/submit/1", "/nowhere/1"):
                    assert await send_lines(cluster, "a", path, *lines) == 401, lines
            assert received(cluster) == []
            sends = cluster.daemons["a"]._shared.metrics.sends
            assert not sends.values.store  # nothing was spent
            assert await send_lines(cluster, "a", "/view/1", f"Key: {KEY}") == 200
            assert sends.values.store
            assert await send_lines(cluster, "a", "/nowhere/1", f"Key: {KEY}") == 404

    run(scenario)


def test_an_open_route_serves_without_a_credential_and_refuses_a_bad_one():
    """Guards against calls of backend servers that are refused, and against forged names."""

    async def scenario():
        async with guarded_fleet("a") as cluster:
            assert await send_lines(cluster, "a", "/open/1", "Tenant: forged") == 200
            (request,) = received(cluster)
            assert "tenant" not in request.headers
            forget_received(cluster)
            for name, lines in BAD_HEADERS.items():
                if name != "other-header":  # on an open route that is a request without one
                    assert await send_lines(cluster, "a", "/open/1", *lines) == 401, name
            assert received(cluster) == []
            assert await send_lines(cluster, "a", "/open/1", f"Key: {KEY}") == 200
            assert received(cluster)[0].headers["tenant"] == "alpha"

    run(scenario)


def test_the_server_gets_the_workspace_and_not_the_credential():
    async def scenario():
        async with guarded_fleet("a", "b") as cluster:
            for number in range(12):
                status, _, _ = await cluster.send_request(
                    "ab"[number % 2],
                    Key=(KEY, OTHER_KEY)[number % 2],
                    Tenant="forged",
                    Connection="tenant, key",
                )
                assert status == 200
            assert {request.headers["tenant"] for request in received(cluster)} == {"alpha"}
            assert not [r for r in received(cluster) if "key" in r.headers]

    run(scenario)


def test_without_the_setting_nobody_is_identified():
    """Guards against a change for deployments that do not ask for credentials."""

    async def scenario():
        async with guarded_fleet("a", extra_header_settings="") as cluster:
            for headers in ({}, {"Key": UNKNOWN_KEY}, {"Key": KEY, "Tenant": "t"}):
                assert (await cluster.send_request("a", **headers))[0] == 200
            (_, second, third) = received(cluster)
            assert (second.headers["key"], third.headers["tenant"]) == (UNKNOWN_KEY, "t")
        async with guarded_fleet("a", initial_configuration=configuration()) as cluster:
            for headers in ({}, {"Key": UNKNOWN_KEY, "Tenant": "forged"}):
                assert (await cluster.send_request("a", **headers))[0] == 200
            assert not [r for r in received(cluster) if {"key", "tenant"} & set(r.headers)]

    run(scenario)


def test_keys_are_removed_and_added_while_connections_stay_open():
    async def scenario():
        async with guarded_fleet("a", "b", "c") as cluster:

            async def statuses(key):
                return {(await cluster.send_request(name, Key=key))[0] for name in "abc"}

            assert await statuses(KEY) == {200} and await statuses(NEW_KEY) == {401}

            def open_connections():
                return [d.entry_server.open_connections for d in cluster.daemons.values()]

            connections = open_connections()
            changed = tenants_configuration(2, alpha=[OTHER_KEY], beta=[NEW_KEY])
            cluster.store.write("config", "main", changed)
            await cluster.ready(2)
            forget_received(cluster)
            assert await statuses(KEY) == {401} and received(cluster) == []
            assert await statuses(OTHER_KEY) == {200} and await statuses(NEW_KEY) == {200}
            # The last keys go: nobody may send, although no key is held.
            cluster.store.write("config", "main", tenants_configuration(3, alpha=[], beta=[]))
            await cluster.ready(3)
            forget_received(cluster)
            assert await statuses(OTHER_KEY) == {401} and await statuses("") == {401}
            assert {(await cluster.send_request(name))[0] for name in "abc"} == {401}
            assert received(cluster) == []
            assert connections == open_connections()

    run(scenario)


def test_a_request_that_waits_at_a_gate_is_answered_although_its_key_is_removed():
    async def scenario():
        async with guarded_fleet("a") as cluster:
            backend = cluster.backends["a"]
            backend.service = 0.4
            gate = cluster.daemons["a"].server_side.gate
            requests = [
                asyncio.create_task(cluster.send_request("a", Key=KEY)) for _ in range(8)
            ]

            async def is_waiting():
                return gate.load_report().queued > 0

            await eventually(is_waiting)
            cluster.store.write("config", "main", tenants_configuration(2, alpha=[OTHER_KEY]))
            await cluster.ready(2)
            assert gate.load_report().queued > 0
            assert (await cluster.send_request("a", Key=KEY))[0] == 401
            assert [(await request)[0] for request in requests] == [200] * 8

    run(scenario)


def test_requests_of_an_entry_of_the_previous_version_are_identified_at_the_gate():
    """Guards against a removed key or a forged name that passes by an older entry.

    An entry without the settings forwards both headers, as the previous version does.
    """

    async def scenario():
        options = {"without_extra_headers": frozenset("a")}
        async with guarded_fleet("a", "b", **options) as cluster:
            cluster.backends["a"].fault = ServerFault.SHED  # all requests go on to b
            server = cluster.backends["b"]
            assert (await cluster.send_request("a", Key=KEY, Tenant="forged"))[0] == 200
            (request,) = server.received
            assert request.headers["tenant"] == "alpha" and "key" not in request.headers
            server.received.clear()
            for lines in BAD_HEADERS.values():
                if not lines[0].startswith("Auth"):
                    assert await send_lines(cluster, "a", "/view/1", *lines) == 401, lines
            assert await send_lines(cluster, "a", "/open/1", f"Key: {UNKNOWN_KEY}") == 401
            assert server.received == []
            assert await send_lines(cluster, "a", "/open/1", "Tenant: forged") == 200
            assert "tenant" not in server.received[0].headers
            cluster.store.write("config", "main", tenants_configuration(2, alpha=[OTHER_KEY]))
            await cluster.ready(2)
            server.received.clear()
            assert (await cluster.send_request("a", Key=KEY))[0] == 401
            assert server.received == []

    run(scenario)


def test_a_gate_of_the_previous_version_passes_the_workspace_on():
    async def scenario():
        options = {"without_extra_headers": frozenset("b")}
        async with guarded_fleet("a", "b", **options) as cluster:
            cluster.backends["a"].fault = ServerFault.SHED
            status, _, _ = await cluster.send_request("a", Key=KEY, Tenant="forged")
            (request,) = cluster.backends["b"].received
            assert (status, request.headers["tenant"]) == (200, "alpha")
            assert "key" not in request.headers

    run(scenario)


@pytest.mark.parametrize("older", [frozenset(), frozenset("a"), frozenset("b")])
def test_fingerprints_are_equal_at_entry_and_gate(monkeypatch, older):
    """Guards against requests that end servers and are held at one of both only."""
    at_entry, at_gate = [], []

    def record(module, name, results):
        original = getattr(module, name)

        def recorded(*args):
            results.append(original(*args))
            return results[-1]

        monkeypatch.setattr(module, name, recorded)

    record(sendguard, "fingerprint_of", at_entry)
    record(peerport, "fingerprint_of_request", at_gate)
    monkeypatch.setattr(Quarantine, "__len__", lambda self: 1)

    async def scenario():
        async with guarded_fleet("a", "b", without_extra_headers=older) as cluster:
            cluster.backends["a"].fault = ServerFault.SHED
            for path in ("/view/1", "/open/1"):
                assert (await cluster.send_request("a", path, Key=KEY))[0] == 200
            assert (await cluster.send_request("a", "/open/1"))[0] == 200

    run(scenario)
    assert len(set(at_entry)) >= 2 and set(at_gate) == set(at_entry)


def test_the_credential_is_seen_nowhere(monkeypatch, tmp_path, events):
    """Guards against credentials in logs, forwarded requests, traces, responses and metrics."""
    monkeypatch.setattr(logs, "_min_level", LogLevel.DEBUG)
    seen = []
    trace_file = tmp_path / "traces"

    async def scenario():
        traces = f"sample = 1\nfile = {trace_file}"
        async with guarded_fleet("a", "b", trace_settings=traces) as cluster:
            for daemon in cluster.daemons.values():
                record_heads(daemon.peer_server, seen)
            for fault in ServerFault:
                if fault is ServerFault.HANG:
                    continue
                cluster.backends["a"].fault = fault
                for name in "ab":
                    for path in ("/view/1", "/open/1", "/nowhere/1"):
                        for key in (KEY, UNKNOWN_KEY):
                            seen.append(await answer_of(cluster, name, path, key))
            for lines in BAD_HEADERS.values():
                await send_lines(cluster, "a", "/view/1", *lines)
            seen.append(received(cluster))
            for daemon in cluster.daemons.values():
                seen.append(daemon.status())
                seen.append(daemon._report.metrics())
                seen.append(daemon.feed.cache.bundle)
            others = [o for key, o in cluster.store.objects.items() if key[0] != "config"]
            seen.append(others)

    async def answer_of(cluster, name, path, key):
        try:
            status, body, headers = await cluster.send_request(name, path, Key=key)
        except Exception as error:  # a truncated response
            return repr(error)
        return status, body, dict(headers)

    run(scenario)
    forwarded = [decode_hop(h.get(HOP_HEADER)) for h in seen if hasattr(h, "target")]
    assert {hop.workspace for hop in forwarded} == {"alpha"}
    assert len(trace_file.read_text().splitlines()) > 10
    everything = repr(seen) + repr(events) + trace_file.read_text()
    assert "try-ended" in everything
    for key in (KEY, OTHER_KEY, UNKNOWN_KEY):
        assert key not in everything


@pytest.mark.parametrize(
    ("tenant_priority", "route_priority", "key", "no_auth", "expected"),
    [
        (3, 2, KEY, False, ("alpha", CallClass.NORMAL, Rank(3, 2))),
        (0, 0, KEY, False, ("alpha", CallClass.NORMAL, Rank(0, 0))),
        (1, 0, KEY, True, ("alpha", CallClass.NORMAL, Rank(1, 0))),
        (0, 2, None, True, ("operator", CallClass.URGENT, COMMON_RANK)),
        (None, 0, None, False, ("operator", CallClass.URGENT, COMMON_RANK)),
        (None, 2, None, False, ("operator", CallClass.NORMAL, COMMON_RANK)),
        (None, 2, KEY, True, ("operator", CallClass.NORMAL, COMMON_RANK)),
    ],
)
def test_the_call_has_the_workspace_class_and_rank(
    monkeypatch, tenant_priority, route_priority, key, no_auth, expected
):
    """Guards against callers that go ahead of backend servers' calls, or in the wrong order.

    Without a tenant's priority there are no tenants, so calls are as before.
    """
    content = configuration()
    content["routes"]["view"] |= {"priority": route_priority, "no_auth": no_auth}
    if tenant_priority is not None:
        content["tenants"] = {"alpha": {"api_keys": [KEY], "priority": tenant_priority}}
    calls = []

    def make_attempts(call, *args):
        calls.append(call)
        return Attempts(call, *args)

    monkeypatch.setattr(forward, "Attempts", make_attempts)

    async def scenario():
        async with guarded_fleet("a", initial_configuration=content) as cluster:
            headers = {"Key": key} if key else {}
            assert (await cluster.send_request("a", **headers))[0] == 200

    run(scenario)
    (call,) = calls
    assert (call.workspace, call.call_class, call.rank) == expected


def test_on_the_workspace_interface_the_entry_sets_the_workspace_header(tmp_path):
    """Guards against a credential or a forged name that reaches a backend server there."""
    heads = []

    async def scenario():
        async with Installation(tmp_path) as installation:
            node = await installation.add(
                "papers-1",
                prepare_backend=lambda backend: record_heads(backend.server, heads),
                extra_settings=f"[headers]\n{IDENTITY_HEADERS}\n",
            )
            digests = [credential_digest(credential) for credential in ("alpha-secret", KEY)]
            text = BUNDLE.replace(digests[0], ", ".join(digests))
            await installation.release(bundle(text))
            await installation.ready()
            url = f"http://{HOST}:{node.entry}/x"
            for credential, expected in (("alpha-secret", 200), (KEY, 200), (OTHER_KEY, 401)):
                headers = {
                    "Authorization": f"Bearer {credential}",
                    "Wheatslip-Service": "papers",
                    "Key": "other",
                    "Tenant": "forged",
                    "X-Request": credential[:5],
                }
                async with installation.session.get(url, headers=headers) as answer:
                    assert answer.status == expected

    run(scenario)
    requests = [dict(head.headers) for head in heads if head.get(b"x-request")]
    assert [request[b"tenant"] for request in requests] == [b"alpha", b"alpha"]
    assert [r[b"wheatslip-workspace"] for r in requests] == [b"alpha", b"alpha"]
    assert not [r for r in requests if b"key" in r or b"authorization" in r]
