"""The operators' `wheatslip zone …` against the platform's stand-in, and who is believed."""

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


async def knows(installation, *zones):
    async def all_know():
        return all(
            node.daemon.view.drains is not None
            and node.daemon.view.drains.zones == frozenset(zones)
            for node in installation.nodes.values()
        )

    await eventually(all_know)


def test_one_operator_empties_a_zone_lists_it_and_takes_it_back(tmp_path, capsys):
    async def main():
        async with Installation(tmp_path) as installation:
            await installation.add("papers-1")
            await installation.release(bundle())
            await installation.ready()
            path = settings_file(installation, tmp_path)

            async def command(one):
                code = await asyncio.to_thread(one)
                return code, capsys.readouterr()

            code, _ = await command(DrainZone("one", path))
            assert code is ExitCode.GOOD
            await knows(installation, "one")
            code, out = await command(ListZones(path, Format.JSON))
            (row,) = json.loads(out.out)
            assert (row["zone"], row["asked_by"], row["instances"]) == ("one", OPERATORS[0], 1)
            assert row["since"].startswith("20")
            # Asked for again it stays as it was.
            assert (await command(DrainZone("one", path)))[0] is ExitCode.GOOD
            assert (await command(RestoreZone("one", path)))[0] is ExitCode.GOOD
            await knows(installation)
            code, out = await command(RestoreZone("one", path))
            assert code is ExitCode.REFUSED and "not emptied" in out.err
            code, out = await command(DrainZone("eon", path))
            assert code is ExitCode.BAD_USAGE and "zones: one" in out.err

    run(main)


def test_no_zone_is_emptied_without_an_operators_signature(tmp_path):
    async def main():
        async with Installation(tmp_path) as installation:
            await installation.add("papers-1")
            await installation.release(bundle())
            await installation.ready()
            requests = ZoneDrainRequests(installation.client)
            key = load_private_key(tmp_path / f"{OPERATORS[0]}.key")
            good = sign_drain(ZoneDrain("one", OPERATORS[0], 5.0), key)
            forged = (
                ZoneDrain("one", OPERATORS[0], 5.0),
                ZoneDrain("one", OPERATORS[1], 5.0, good.signature),
                ZoneDrain("one", OPERATORS[0], 6.0, good.signature),
                ZoneDrain("one", "nobody", 5.0, good.signature),
            )
            for bad in forged:
                (await requests.drain(bad)).unwrap()
                # A signed one of another zone shows that the forged one was seen.
                (await requests.drain(sign_drain(ZoneDrain("two", OPERATORS[0]), key))).unwrap()
                await knows(installation, "two")
                assert (await requests.restore("one")).unwrap()
                assert (await requests.restore("two")).unwrap()
                await knows(installation)
            (await requests.drain(good)).unwrap()
            await knows(installation, "one")

    run(main)


def test_a_key_runs_once_though_the_zone_of_its_owner_is_emptied_between_its_sends(tmp_path):
    """Sent, and sent again while the owner's zone is emptied: no other may run it."""

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
            assert {one.reported for one in first} == {Reported.ANSWERED}
            key = load_private_key(tmp_path / f"{OPERATORS[0]}.key")
            drain = sign_drain(ZoneDrain("two", OPERATORS[0], 5.0), key)
            (await ZoneDrainRequests(installation.client).drain(drain)).unwrap()
            await knows(installation, "two")
            again = await send_all()
            assert {one.reported for one in again} <= {Reported.ANSWERED, Reported.NOT_RUN}
            runs = Counter(
                run.key for node in installation.nodes.values() for run in runs_of(node)
            )
            assert set(runs) == set(keys) and set(runs.values()) == {1}

    run(main)


def runs_of(node):
    return list(node.backend.runs)
