"""`wheatslip workspace` commands against the platform's stand-in and daemons' status pages."""

import asyncio
import json
from contextlib import asynccontextmanager

import eliot
import msgspec
import pytest
from aiohttp import web
from wheatslip.config.bundle import Bundle, Workspace, credential_digest
from wheatslip.config.limithistory import LimitSince, limit_since
from wheatslip_cli.output import ExitCode, Format
from wheatslip_cli.workspace_commands import ListWorkspaces, ShowWorkspace

from standins.cluster import HOST
from test.helper import Installation, bundle, run
from test.test_zone_commands import settings_file

CLOSED_PAGE = f"{HOST}:9"  # where nothing listens


def with_limit(version, rate, burst=0.0):
    """The usual bundle, with a limit, a priority and a second credential of `alpha`."""
    usual = bundle(version=version)
    alpha, beta = usual.workspaces
    limited = msgspec.structs.replace(
        alpha,
        more_credentials_sha256=(credential_digest("second"),),
        priority=2,
        rate=rate,
        burst=burst,
    )
    return msgspec.structs.replace(usual, workspaces=(limited, beta))


@asynccontextmanager
async def status_page(name, quotas):
    """A page of a daemon, as far as the commands read it; yields its address."""

    async def status(request):
        return web.json_response({"name": name, "version": 3} | quotas)

    app = web.Application()
    app.router.add_get("/status", status)
    runner = web.AppRunner(app)
    await runner.setup()
    site = web.TCPSite(runner, HOST, 0)
    await site.start()
    try:
        yield f"{HOST}:{runner.addresses[0][1]}"
    finally:
        await runner.cleanup()


async def in_thread(command, capsys):
    """Run a command, which has an event loop of its own; returns its code and its output."""
    code = await asyncio.to_thread(command)
    return code, capsys.readouterr()


def test_workspaces_are_listed_with_their_limits_and_never_with_digests(tmp_path, capsys):
    async def main():
        async with Installation(tmp_path) as installation:
            for number, rate in ((1, 5.0), (2, 8.0), (3, 8.0)):
                await installation.release(with_limit(number, rate, burst=4.0))
            path = settings_file(installation, tmp_path)
            code, out = await in_thread(ListWorkspaces(path, Format.JSON), capsys)
            assert code is ExitCode.GOOD
            alpha, beta = json.loads(out.out)
            assert alpha == {
                "workspace": "alpha",
                "rate": 8.0,
                "burst": 4.0,
                "priority": 2,
                "share": 1.0,
                "credentials": 2,
                "version": 3,
                "limit_since": 2,
                "known_since": 1,
            }
            assert (beta["rate"], beta["credentials"], beta["limit_since"]) == (0.0, 1, 1)
            code, table = await in_thread(ListWorkspaces(path), capsys)
            for digest in ("alpha-secret", "second", "beta-secret"):
                assert credential_digest(digest)[:8] not in out.out + table.out

    run(main)


def test_an_unknown_workspace_and_a_wrong_address_are_bad_usage(tmp_path, capsys):
    async def main():
        async with Installation(tmp_path) as installation:
            path = settings_file(installation, tmp_path)
            code, out = await in_thread(ListWorkspaces(path, Format.JSON), capsys)
            assert code is ExitCode.GOOD and json.loads(out.out) == []
            await installation.release(bundle())
            code, out = await in_thread(ShowWorkspace("gamma", path), capsys)
            assert code is ExitCode.BAD_USAGE and "workspaces: alpha, beta" in out.err
            code, out = await in_thread(ListWorkspaces(path, pages="nowhere"), capsys)
            assert code is ExitCode.BAD_USAGE and "IP:PORT" in out.err

    run(main)


def test_figures_of_daemons_are_summed_and_those_without_are_named(tmp_path, capsys):
    """A sum without a daemon must not pass for that of all."""

    async def main():
        quota = {"workspace": "alpha", "used": 7, "refused": 2, "granted": 9}
        async with (
            Installation(tmp_path) as installation,
            status_page("a", {"quotas": [quota]}) as first,
            status_page("b", {"quotas": [quota | {"used": 1, "further": 0}]}) as second,
            status_page("old", {}) as old,
        ):
            await installation.release(with_limit(1, 5.0))
            path = settings_file(installation, tmp_path)
            pages = ",".join((first, second, old, CLOSED_PAGE))
            show = ShowWorkspace("alpha", path, Format.JSON, pages)
            code, out = await in_thread(show, capsys)
            assert code is ExitCode.GOOD
            (row,) = json.loads(out.out)
            assert (row["used"], row["refused"], row["granted"]) == (8, 4, 18)
            assert [daemon["daemon"] for daemon in row["daemons"]] == ["a", "b"]
            assert row["not_answered"] == [old, CLOSED_PAGE]
            assert old in out.err and CLOSED_PAGE in out.err
            await installation.release(bundle(version=2))
            # Without limits in force no daemon has figures.
            code, out = await in_thread(ListWorkspaces(path, pages=old), capsys)
            assert code is ExitCode.GOOD and old not in out.err
            await installation.release(with_limit(3, 5.0))
            code, out = await in_thread(ShowWorkspace("alpha", path, pages=first), capsys)
            assert code is ExitCode.GOOD and "granted" in out.out and first not in out.err
            listed = ListWorkspaces(path, Format.JSON, first)
            code, out = await in_thread(listed, capsys)
            assert [row["used"] for row in json.loads(out.out)] == [7, 0]

    run(main)


def test_the_figures_are_those_of_a_real_daemon(tmp_path, capsys):
    """The form of the status page must not drift away from what the command reads."""

    async def main():
        events = []
        eliot.add_destinations(events.append)
        async with Installation(tmp_path) as installation:
            node = await installation.add("papers-1")
            listening = [e for e in events if e.get("message_type") == "listening"][-1]
            eliot.remove_destination(events.append)
            await installation.release(with_limit(1, 1.0, burst=1.0))
            await installation.ready()
            caller = installation.caller()
            requests = [
                await caller.send(node.entry, "papers", "submit", once=True) for _ in range(4)
            ]
            refused = [one for one in requests if one.reason == "over-limit"]
            assert 0 < len(refused) < 4
            path = settings_file(installation, tmp_path)
            pages = f"{HOST}:{listening['pages_port']}"
            show = ShowWorkspace("alpha", path, Format.JSON, pages)
            code, out = await in_thread(show, capsys)
            (row,) = json.loads(out.out)
            used = 4 - len(refused)
            assert code is ExitCode.GOOD and "not in the sums" not in out.err
            assert (row["used"], row["refused"]) == (used, len(refused))
            assert row["granted"] >= used  # a token may have expired unused
            (daemon,) = row["daemons"]
            assert daemon["daemon"] == "papers-1"

    run(main)


def version(number, rate=0.0, name="alpha"):
    return Bundle(number, (Workspace(name, "", rate=rate),))


@pytest.mark.parametrize(
    ("past", "since"),
    [
        ([], LimitSince(4, 4)),
        ([version(3, 5.0), version(2, 5.0), version(1, 5.0)], LimitSince(1, 1)),
        ([version(3, 5.0), version(2, 4.0), version(1, 5.0)], LimitSince(3, 1)),
        # A version that is not kept ends the history.
        ([version(3, 5.0), version(1, 5.0)], LimitSince(3, 3)),
        # Proposals of one version: only one of them was in force, and it is not known which.
        ([version(3, 5.0), version(3, 4.0), version(2, 5.0)], LimitSince(4, 4)),
        ([version(3, 5.0), version(3, 5.0, "beta"), version(2, 5.0)], LimitSince(4, 4)),
        # A proposal of a later version, or of this one that lost, was never in force.
        ([version(5, 1.0), version(4, 1.0), version(3, 5.0)], LimitSince(3, 3)),
        ([version(3, 5.0, "beta"), version(2, 5.0)], LimitSince(4, 2)),
    ],
)
def test_a_limit_is_as_old_as_the_bundles_kept_prove(past, since):
    """A beaten proposal must not date a limit."""
    assert limit_since(version(4, 5.0), past, "alpha") == since
