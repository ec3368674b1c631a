"""Two operators who drive a bundle through the `wheatslip` command, as people would."""

import asyncio
import sys
from dataclasses import dataclass
from pathlib import Path

OPERATORS = ("anna", "moussa")


class CommandFailed(Exception):
    """The operators' command ended with an exit code other than 0."""


@dataclass(frozen=True, slots=True)
class Desk:
    """The operators' files in one folder."""

    folder: Path

    async def prepare(self, platform_address: str) -> None:
        """Make the operators' keys and settings."""
        for operator in OPERATORS:
            await wheatslip("make-keys", operator, "--folder", str(self.folder))
            self.settings(operator).write_text(
                f"[platform]\naddress = {platform_address}\n"
                f"[operator]\nname = {operator}\nkey = {self.folder}/{operator}.key\n"
                f"keyring = {self.folder}\n"
            )

    def settings(self, operator: str) -> Path:
        """An operator's settings file."""
        return self.folder / f"{operator}-operator.ini"

    async def release(self, version: int, text: str) -> None:
        """Propose, sign twice and roll out a bundle."""
        path = self.folder / f"bundle-{version}.ini"
        path.write_text(text)
        first, second = OPERATORS
        await self._bundle("propose", path, first)
        await self._bundle("sign", path, first)
        await self._bundle("sign", path, second)
        await self._bundle("rollout", path, second)

    async def empty_zone(self, zone: str) -> None:
        """Ask that a zone be emptied; one operator is enough."""
        await wheatslip("zone", "drain", zone, "--settings", str(self.settings(OPERATORS[0])))

    async def restore_zone(self, zone: str) -> None:
        """Take a zone back."""
        await wheatslip("zone", "restore", zone, "--settings", str(self.settings(OPERATORS[0])))

    async def _bundle(self, command: str, path: Path, operator: str) -> None:
        settings = str(self.settings(operator))
        await wheatslip("bundle", command, str(path), "--settings", settings)


async def wheatslip(*arguments: str) -> str:
    """Run the operators' command; returns what it printed."""
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
