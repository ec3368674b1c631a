"""The conversion of tenants to workspaces, by the adapter to the users' platform."""

import json

from result import Ok
from wheatslip.config.bundle import (
    RateLimit,
    Workspace,
    credential_digest,
    decode_bundle,
)
from wheatslipd.controllers.view import Configuration

from fleet_adapter.configuration import read_configuration
from test.helper import recorded_events
from test.test_fleet_adapter import CONFIGURATION


def read_tenants(tenants, version=7):
    body = json.dumps(CONFIGURATION | {"tenants": tenants, "version": version}).encode()
    bundle = read_configuration(body).unwrap()
    # What followers decode must be what the reader of the platform has in force.
    assert decode_bundle(bundle.canonical()) == Ok(bundle)
    return bundle


def test_tenants_and_open_routes_are_converted():
    tenants = {
        "t-2": {"api_keys": ["key-b", "key-c"], "priority": 3, "rate_per_s": 170, "burst": 20},
        "t-1": {"api_keys": ["key-a"]},
    }
    bundle = read_tenants(tenants)
    owner, first, second = bundle.workspaces
    assert owner.name == "operator" and owner.credentials == ()
    assert {service.workspace for service in bundle.services} == {"operator"}
    assert first == Workspace("t-1", credential_digest("key-a"))
    assert second.credentials == (credential_digest("key-b"), credential_digest("key-c"))
    assert (second.priority, second.limit) == (3, RateLimit(170.0, 20.0))
    assert b"key-" not in bundle.canonical()

    routes = CONFIGURATION["routes"]
    with_open_route = routes | {"r-2": routes["r-2"] | {"no_auth": True}}
    body = json.dumps(CONFIGURATION | {"routes": with_open_route}).encode()
    assert [route.open for route in read_configuration(body).unwrap().routes] == [False, True]


def test_a_configuration_without_tenants_keeps_its_canonical_bytes():
    """A changed digest would make daemons of different versions refuse each other's bundles."""
    bundle = read_configuration(json.dumps(CONFIGURATION).encode()).unwrap()
    assert b'"workspaces":[{"credential_sha256":"","name":"operator","share":1.0}]' in (
        bundle.canonical()
    )
    assert read_tenants({}) == bundle
    assert not Configuration(bundle).requires_credentials


def test_without_any_key_a_configuration_with_tenants_still_requires_credentials():
    """Guards against an open fleet after the last key was removed."""
    for tenants in ({"t": {"api_keys": []}}, {"t": {}}, {"t": {"api_keys": "x"}}, {"": {}}):
        assert Configuration(read_tenants(tenants)).requires_credentials


def test_a_tenant_with_the_name_of_the_services_owner_is_a_workspace_of_its_own():
    """Guards against calls without a workspace that count as the tenant's."""
    bundle = read_tenants({"operator": {"api_keys": ["key-a"]}})
    names = [workspace.name for workspace in bundle.workspaces]
    assert names == ["operator", "operator-"]
    assert {service.workspace for service in bundle.services} == {"operator-"}


def test_an_invalid_value_of_a_tenant_is_logged_and_leaves_the_rest_in_force():
    """Guards against a removed key that stays in force because of another tenant's value."""
    good = {"api_keys": ["key-good"], "rate_per_s": 5, "burst": 1}
    bad = {
        "a": {"api_keys": ["key-a"], "rate_per_s": -1, "burst": 2},
        "b": {"api_keys": ["key-b", 7, "", "key-b"], "priority": -4, "rate_per_s": "9"},
        "c": {"api_keys": {"key-c": 1}, "priority": 1.5},
        "d": ["key-d"],
        "e": {"api_keys": ["key-good", "key-e"], "rate_per_s": 1e300},
        "line\nbreak": {"api_keys": ["key-f"]},
    }
    with recorded_events() as events:
        workspaces = {w.name: w for w in read_tenants({"Good": good} | bad).workspaces}
    assert sorted(workspaces) == ["Good", "a", "b", "c", "d", "e", "operator"]
    assert workspaces["Good"].limit == RateLimit(5.0, 1.0)
    assert workspaces["a"].credentials == (credential_digest("key-a"),)
    assert workspaces["a"].limit is None and workspaces["b"].limit is None
    assert workspaces["b"].credentials == (credential_digest("key-b"),)
    assert workspaces["b"].priority == workspaces["c"].priority == 1_000_000
    assert workspaces["c"].credentials == workspaces["d"].credentials == ()
    # A key of two tenants identifies the first by name.
    assert workspaces["e"].credentials == (credential_digest("key-e"),)
    assert workspaces["e"].limit == RateLimit(1e6)
    refused = [e for e in events if e["message_type"] == "tenant-value-refused"]
    assert {(event["tenant"], event["field"]) for event in refused} == {
        ("a", "rate_per_s"),
        ("a", "burst"),
        ("b", "api_keys[1]"),
        ("b", "api_keys[2]"),
        ("b", "priority"),
        ("b", "rate_per_s"),
        ("c", "api_keys"),
        ("c", "priority"),
        ("d", "-"),
        ("e", "api_keys[0]"),
        ("line\nbreak", "name"),
    }
    assert "key-" not in str(refused)


def test_a_number_out_of_range_does_not_cost_a_tenant_its_keys():
    body = json.dumps(CONFIGURATION | {"tenants": {"t": {"api_keys": ["k"]}}}).encode()
    body = body.replace(b'{"api_keys"', b'{"rate_per_s": 1e999, "api_keys"')
    _, tenant = read_configuration(body).unwrap().workspaces
    assert tenant.credentials == (credential_digest("k"),) and tenant.limit is None
