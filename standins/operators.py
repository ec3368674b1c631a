"""Two operators who release bundles and drain zones with the `wheatslip` command."""

import asyncio
import sys
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

from standins.cluster import Cluster, Plan

OPERATOR_NAMES = ("anna", "moussa")


class CommandFailed(Exception):
    """The `wheatslip` command exited with a code other than 0."""


@dataclass(frozen=True, slots=True)
class Operators:
    """The operators' keys, settings and bundle files in one folder."""

    folder: Path

    async def prepare(self, platform_address: str) -> None:
        """Create the operators' keys and settings files."""
        for operator in OPERATOR_NAMES:
            await run_wheatslip("make-keys", operator, "--folder", str(self.folder))
            self.settings(operator).write_text(
                f"[platform]\naddress = {platform_address}\n"
                f"[operator]\nname = {operator}\nkey = {self.folder}/{operator}.key\n"
                f"keyring = {self.folder}\n"
            )

    def settings(self, operator: str) -> Path:
        """An operator's settings file."""
        return self.folder / f"{operator}-operator.ini"

    async def release(self, version: int, text: str) -> None:
        """Propose a bundle, sign it as both operators and roll it out."""
        await self.prepare_release(version, text)
        await self.roll_out(version)

    async def prepare_release(self, version: int, text: str) -> None:
        """Propose a bundle and sign it as both operators."""
        path = self._bundle_path(version)
        path.write_text(text)
        first, second = OPERATOR_NAMES
        await self._run_bundle_command("propose", path, first)
        await self._run_bundle_command("sign", path, first)
        await self._run_bundle_command("sign", path, second)

    async def roll_out(self, version: int) -> None:
        """Roll out a bundle that is proposed and signed."""
        await self._run_bundle_command("rollout", self._bundle_path(version), OPERATOR_NAMES[1])

    def _bundle_path(self, version: int) -> Path:
        return self.folder / f"bundle-{version}.ini"

    async def drain_zone(self, zone: str) -> None:
        """Drain a zone; needs only one operator."""
        await run_wheatslip(
            "zone", "drain", zone, "--settings", str(self.settings(OPERATOR_NAMES[0]))
        )

    async def restore_zone(self, zone: str) -> None:
        await run_wheatslip(
            "zone", "restore", zone, "--settings", str(self.settings(OPERATOR_NAMES[0]))
        )

    async def _run_bundle_command(self, command: str, path: Path, operator: str) -> None:
        settings = str(self.settings(operator))
        await run_wheatslip("bundle", command, str(path), "--settings", settings)


@asynccontextmanager
async def running(
    cluster: Cluster, plans: Sequence[Plan], bundle: str
) -> AsyncIterator[Operators]:
    """Run a cluster whose daemons know each other and have version 1, the text `bundle`."""
    await cluster.open()
    try:
        operators = Operators(cluster.folder)
        await operators.prepare(cluster.platform_address)
        await cluster.add(list(plans))
        await operators.release(1, bundle)
        await cluster.wait_for_version(1)
        await cluster.wait_for_members(len(plans))
        yield operators
    finally:
        await cluster.close()


async def run_wheatslip(*arguments: str) -> str:
    """Run the `wheatslip` command; returns its output."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "wheatslip_cli.main",
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    output, _ = await process.communicate()
    if process.returncode:
        raise CommandFailed(f"wheatslip {' '.join(arguments)}: {output.decode()}")
    return output.decode()
