"""Bundles, signatures and releases, with concurrent operators and lost responses."""

import asyncio
from random import Random

import pytest
from result import Err, Ok
from wheatslip.config.bundle import RateLimit, decode_bundle
from wheatslip.config.bundleini import parse_bundle
from wheatslip.config.changes import Change, ChangeKind, changes_between
from wheatslip.config.head import Head
from wheatslip.config.releases import Refused, Releases, VersionConflict
from wheatslip.config.signing import (
    SignedBundle,
    load_keyring,
    load_private_key,
    sign,
    verify,
    write_key_pair,
)
from wheatslip.store.objectclient import ObjectClient
from wheatslip.store.objects import Conflict, TooOld

from standins.platform import Faults
from test.helper import BUNDLE, OPERATORS, Installation, bundle, run


def test_bundle_is_unchanged_after_encoding_and_decoding():
    assert decode_bundle(bundle().canonical()) == Ok(bundle())


@pytest.mark.parametrize(
    ("text", "problem_text"),
    [
        ("", "[bundle] version"),
        ("[bundle]\nversion = 0", "[bundle] version = '0'"),
        ("[bundle]\nversion = 1\ncolour = red", "colour = 'red': expected a known key"),
        ("[bundle]\nversion = 1\n[pool p]\nslots = many", "slots = 'many'"),
        ("[bundle]\nversion = 1\n[service s]\nworkspace = w\npool = p", "pool = 'p'"),
        ("[bundle]\nversion = 1\n[kind nowhere/k]\n", "nowhere"),
        ("[bundle]\nversion = 1\n[castle c]\n", "[castle c]"),
        ("[bundle\nversion", "an INI file"),
    ],
)
def test_problem_names_the_file_and_the_faulty_item(text, problem_text):
    problems = parse_bundle(text, "b.ini").unwrap_err()
    assert any(problem_text in str(problem) for problem in problems)
    assert all(str(problem).startswith("b.ini: ") for problem in problems)


def test_all_problems_are_reported_at_once():
    text = BUNDLE.replace("slots = 4", "slots = x\nqueue = y")
    assert len(parse_bundle(text, "b.ini").unwrap_err()) == 2


def test_changes_name_the_item_and_its_fields():
    new = bundle(BUNDLE.replace("slots = 4", "slots = 5"))
    assert changes_between(bundle(), new) == [
        Change(ChangeKind.CHANGED, "pool papers", ("slots",))
    ]


@pytest.fixture
def keys(tmp_path):
    for operator in OPERATORS:
        write_key_pair(operator, tmp_path)
    private = {name: load_private_key(tmp_path / f"{name}.key") for name in OPERATORS}
    return private, load_keyring(tmp_path)


def test_bundle_needs_two_operators_signatures_of_its_exact_bytes(keys):
    private, keyring = keys
    body = bundle().canonical().decode()
    signatures = tuple(sign(bundle(), name, private[name]) for name in OPERATORS)
    assert verify(SignedBundle(body, signatures), keyring) == Ok(bundle())
    assert isinstance(verify(SignedBundle(body, signatures[:1]), keyring), Err)
    assert isinstance(verify(SignedBundle(body, (signatures[0], signatures[0])), keyring), Err)
    tampered = body.replace('"slots":4', '"slots":9')
    assert tampered != body
    assert isinstance(verify(SignedBundle(tampered, signatures), keyring), Err)
    unknown_signer = sign(bundle(), "stranger", private["anna"])
    assert isinstance(verify(SignedBundle(body, (signatures[0], unknown_signer)), keyring), Err)


async def propose_and_sign(installation, new):
    """Returns the `Releases` that can roll out the bundle."""
    releases = Releases(installation.client, load_keyring(installation.folder))
    (await releases.propose(new)).unwrap()
    for operator in OPERATORS:
        key = load_private_key(installation.folder / f"{operator}.key")
        (await releases.sign(new.version, new.digest(), operator, key)).unwrap()
    return releases


def test_of_two_concurrent_rollouts_one_wins_and_the_other_is_refused(tmp_path):
    async def main():
        async with Installation(tmp_path) as installation:
            candidates = [bundle(), bundle(BUNDLE.replace("slots = 4", "slots = 5"))]
            for candidate in candidates:
                releases = await propose_and_sign(installation, candidate)
            answers = await asyncio.gather(
                *(releases.roll_out(1, candidate.digest()) for candidate in candidates)
            )
            winners = [a.ok_value for a in answers if isinstance(a, Ok)]
            losers = [a.err_value for a in answers if isinstance(a, Err)]
            assert losers == [VersionConflict(winners[0])]
            assert (await releases.head()).ok_value == winners[0]

    run(main)


def test_rollout_with_a_lost_response_reports_its_actual_result(tmp_path):
    async def main():
        async with Installation(tmp_path) as installation:
            releases = await propose_and_sign(installation, bundle())
            installation.platform.faults = Faults(lose_write_answers=1)
            answer = await releases.roll_out(1, bundle().digest())
            assert answer == Ok(Head(1, bundle().digest()))
            assert installation.platform.store.version == 4  # proposal, two signatures, head

    run(main)


def test_an_unsigned_or_skipped_version_is_not_rolled_out(tmp_path):
    async def main():
        async with Installation(tmp_path) as installation:
            releases = Releases(installation.client, load_keyring(tmp_path))
            await releases.propose(bundle())
            answer = await releases.roll_out(1, bundle().digest())
            assert isinstance(answer.err_value, Refused)
            version_3 = bundle(version=3)
            await propose_and_sign(installation, version_3)
            answer = await releases.roll_out(3, version_3.digest())
            assert isinstance(answer.err_value, VersionConflict)

    run(main)


def test_daemons_refuse_a_head_without_signatures(tmp_path):
    async def main():
        async with Installation(tmp_path) as installation:
            node = await installation.add("papers-1")
            releases = Releases(installation.client, load_keyring(tmp_path))
            await releases.propose(bundle())
            head = Head(1, bundle().digest())
            await installation.client.put("head", "bundle", head, 0)
            calls_before = node.daemon.feed.client.calls
            # Two reads, of the head and of the bundle, suffice to apply a signed bundle.
            while node.daemon.feed.client.calls < calls_before + 2:
                await asyncio.sleep(0.01)
            assert node.daemon.view.version == 0

    run(main)


def test_stale_update_conflicts_and_watch_of_an_unknown_version_is_too_old(tmp_path):
    async def main():
        async with Installation(tmp_path) as installation:
            client: ObjectClient = installation.client
            first = (await client.put("thing", "a", 1, 0)).unwrap()
            conflict = (await client.put("thing", "a", 2, 0)).unwrap_err()
            assert conflict == Conflict(first)
            assert await client.changes("thing", 99, wait=0) == Err(TooOld())
            listing = (await client.changes("thing", 0, wait=5)).unwrap()
            assert [item.name for item in listing.items] == ["a"]
            unreachable = ObjectClient("127.0.0.1:1", Random(1))
            assert isinstance(await unreachable.get("thing", "a"), Err)
            await unreachable.close()

    run(main)


WORKSPACE_LIMITS = f"""
[bundle]
version = 1
[workspace w]
credential-sha256 = {"a" * 64}, {"b" * 64}
priority = 2
rate = 170
burst = 40
[workspace plain]
credential-sha256 = {"c" * 64}
[pool p]
[service s]
workspace = w
pool = p
[route r]
host = h
services = s
open = yes
"""


def test_credentials_limits_and_open_routes_are_read():
    read = parse_bundle(WORKSPACE_LIMITS, "b.ini").unwrap()
    plain, workspace = read.workspaces
    assert workspace.credentials == ("a" * 64, "b" * 64)
    assert (workspace.priority, workspace.limit) == (2, RateLimit(170.0, 40.0))
    assert (plain.credentials, plain.limit) == (("c" * 64,), None)
    assert read.routes[0].open
    assert decode_bundle(read.canonical()) == Ok(read)


def test_a_bundle_without_the_new_keys_keeps_its_canonical_bytes():
    """A changed digest would make daemons refuse the bundles that operators have signed."""
    text = WORKSPACE_LIMITS.replace(f", {'b' * 64}", "").replace("open = yes", "open = no")
    text = text.replace("priority = 2", "priority = 0").replace("rate = 170\nburst = 40\n", "")
    canonical = parse_bundle(text, "b.ini").unwrap().canonical()
    for name in (b"more_credentials", b"rate", b"burst", b"open", b'"priority":2'):
        assert name not in canonical
    expected = b'{"credential_sha256":"' + b"a" * 64 + b'","name":"w","share":1.0}'
    assert expected in canonical


@pytest.mark.parametrize(
    ("line", "problem_text"),
    [
        ("rate = -1", "rate = '-1': expected a number from 0 to 1e+06"),
        ("rate = nan", "rate = 'nan': expected a number from 0 to 1e+06"),
        ("rate = inf", "rate = 'inf': expected a number from 0 to 1e+06"),
        ("rate = fast", "rate = 'fast': expected a number from 0 to 1e+06"),
        ("burst = -1", "burst = '-1': expected a number from 0 to 1e+06"),
        ("burst = nan", "burst = 'nan': expected a number from 0 to 1e+06"),
        ("burst = 5", "burst = '5': expected a burst only together with a rate above 0"),
        ("rate = 0\nburst = 5", "expected a burst only together with a rate above 0"),
        ("priority = -1", "priority = '-1': expected a whole number"),
        ("priority = 0.5", "priority = '0.5': expected a whole number"),
        (f"credential-sha256 = {'a' * 64}, x", "expected 64 hex digits"),
        ("credential-sha256 = ,", "expected 64 hex digits"),
        (
            f"credential-sha256 = {'d' * 64}, {'c' * 64}",
            "expected credentials other than those of workspace other",
        ),
    ],
)
def test_an_invalid_workspace_gives_a_clear_problem(line, problem_text):
    credential = "" if line.startswith("credential") else f"credential-sha256 = {'a' * 64}\n"
    text = (
        f"[bundle]\nversion = 1\n[workspace other]\ncredential-sha256 = {'c' * 64}\n"
        f"[workspace w]\n{credential}{line}\n"
    )
    problems = [str(problem) for problem in parse_bundle(text, "b.ini").unwrap_err()]
    assert len(problems) == 1
    assert problems[0].startswith("b.ini: [workspace w] ") and problem_text in problems[0]
