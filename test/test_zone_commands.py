"""`wheatslip zone` commands against the platform's stand-in, and the checks of signatures."""

import asyncio
import json
import time
from collections import Counter

from wheatslip.config.drainrequests import ZoneDrainRequests
from wheatslip.config.signing import load_private_key, sign_drain
from wheatslip.config.zonedrains import ZoneDrain
from wheatslip_cli.output import ExitCode, Format
from wheatslip_cli.zone_commands import DrainZone, ListZones, RestoreZone

from standins.caller import Reported, make_key
from standins.cluster import eventually
from test.helper import OPERATORS, Installation, bundle, run


def settings_file(installation, tmp_path):
    name = OPERATORS[0]
    path = tmp_path / "operator.ini"
    path.write_text(
        f"[platform]\naddress = {installation._address}\n"
        f"[operator]\nname = {name}\nkey = {tmp_path / name}.key\nkeyring = {tmp_path}\n"
    )
    return path


async def wait_until_drained(installation, *zones):
    async def is_known():
        return all(
            node.daemon.view.drains is not None
            and node.daemon.view.drains.zones == frozenset(zones)
            for node in installation.nodes.values()
        )

    await eventually(is_known)


def test_an_operator_drains_lists_and_restores_a_zone(tmp_path, capsys):
    async def main():
        async with Installation(tmp_path) as installation:
            await installation.add("papers-1")
            await installation.release(bundle())
            await installation.ready()
            path = settings_file(installation, tmp_path)

            async def run_command(command):
                code = await asyncio.to_thread(command)
                return code, capsys.readouterr()

            code, _ = await run_command(DrainZone("one", path))
            assert code is ExitCode.GOOD
            await wait_until_drained(installation, "one")
            code, out = await run_command(ListZones(path, Format.JSON))
            (row,) = json.loads(out.out)
            assert (row["zone"], row["asked_by"], row["instances"]) == ("one", OPERATORS[0], 1)
            assert row["since"].startswith("20")
            # A second drain of the same zone changes nothing.
            assert (await run_command(DrainZone("one", path)))[0] is ExitCode.GOOD
            assert (await run_command(RestoreZone("one", path)))[0] is ExitCode.GOOD
            await wait_until_drained(installation)
            code, out = await run_command(RestoreZone("one", path))
            assert code is ExitCode.REFUSED and "not emptied" in out.err
            code, out = await run_command(DrainZone("eon", path))
            assert code is ExitCode.BAD_USAGE and "zones: one" in out.err

    run(main)


def test_a_zone_is_drained_only_with_an_operators_signature(tmp_path):
    async def main():
        async with Installation(tmp_path) as installation:
            await installation.add("papers-1")
            await installation.release(bundle())
            await installation.ready()
            requests = ZoneDrainRequests(installation.client)
            key = load_private_key(tmp_path / f"{OPERATORS[0]}.key")
            valid = sign_drain(ZoneDrain("one", OPERATORS[0], 5.0), key)
            forged = (
                ZoneDrain("one", OPERATORS[0], 5.0),
                ZoneDrain("one", OPERATORS[1], 5.0, valid.signature),
                ZoneDrain("one", OPERATORS[0], 6.0, valid.signature),
                ZoneDrain("one", "nobody", 5.0, valid.signature),
            )
            for drain in forged:
                (await requests.drain(drain)).unwrap()
                # A later valid drain is in force once all daemons have read the forged one.
                (await requests.drain(sign_drain(ZoneDrain("two", OPERATORS[0]), key))).unwrap()
                await wait_until_drained(installation, "two")
                assert (await requests.restore("one")).unwrap()
                assert (await requests.restore("two")).unwrap()
                await wait_until_drained(installation)
            (await requests.drain(valid)).unwrap()
            await wait_until_drained(installation, "one")

    run(main)


def test_a_key_runs_once_if_its_owners_zone_is_drained_before_a_retry(tmp_path):
    """While the zone of the owner is drained, no other daemon may run a retry."""

    async def main():
        async with Installation(tmp_path) as installation:
            for name, zone in (("papers-1", "one"), ("papers-2", "two"), ("papers-3", "two")):
                await installation.add(name, zone=zone)
            await installation.release(bundle())
            await installation.ready()
            caller = installation.caller()
            entry = installation.nodes["papers-1"].entry
            keys = [make_key(caller.rng, time.time()) for _ in range(20)]

            async def send_all():
                return [
                    await caller.send(entry, "papers", "submit", once=True, key=key)
                    for key in keys
                ]

            first = await send_all()
            assert {request.reported for request in first} == {Reported.ANSWERED}
            key = load_private_key(tmp_path / f"{OPERATORS[0]}.key")
            drain = sign_drain(ZoneDrain("two", OPERATORS[0], 5.0), key)
            (await ZoneDrainRequests(installation.client).drain(drain)).unwrap()
            await wait_until_drained(installation, "two")
            retried = await send_all()
            assert {request.reported for request in retried} <= {
                Reported.ANSWERED,
                Reported.NOT_RUN,
            }
            runs = Counter(
                run.key for node in installation.nodes.values() for run in runs_of(node)
            )
            assert set(runs) == set(keys) and set(runs.values()) == {1}

    run(main)


def runs_of(node):
    return list(node.backend.runs)
