"""Runs commands that need the settings and a client of the platform."""

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path
from random import SystemRandom

from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from result import Err, Ok, Result
from wheatslip.config.releases import Refused, ReleaseError, Releases, VersionConflict
from wheatslip.config.signing import load_keyring, load_private_key
from wheatslip.store.objectclient import ObjectClient
from wheatslip.store.objects import Unavailable

from wheatslip_cli.output import ExitCode, print_errors
from wheatslip_cli.settings import Settings, load_settings

ReleasesStep = Callable[[Releases, Settings], Awaitable[ExitCode]]
ClientStep = Callable[[ObjectClient, Settings], Awaitable[ExitCode]]


def run_with_releases(settings_path: Path, step: ReleasesStep) -> ExitCode:
    """Loads the settings and the keyring, and runs `step` with the releases at the platform."""

    async def with_releases(client: ObjectClient, settings: Settings) -> ExitCode:
        try:
            keyring = load_keyring(settings.keyring)
        except ValueError as error:
            return print_errors(ExitCode.BAD_USAGE, str(error))
        return await step(Releases(client, keyring), settings)

    return run_with_client(settings_path, with_releases)


def run_with_client(settings_path: Path, step: ClientStep) -> ExitCode:
    """Loads the settings and runs `step` with a client of the platform."""
    match load_settings(settings_path):
        case Err(problems):
            return print_errors(ExitCode.BAD_USAGE, *(str(problem) for problem in problems))
        case Ok(settings):
            return asyncio.run(_run(settings, step))
    raise AssertionError


def load_signing_key(settings: Settings, path: Path) -> Result[Ed25519PrivateKey, str]:
    """Reads the operator's private key. `path` is the settings file, for the error message."""
    if not settings.operator or settings.key is None:
        return Err(f"{path}: [operator] name and key are required")
    try:
        return Ok(load_private_key(settings.key))
    except (OSError, ValueError) as error:
        return Err(str(error))


async def _run(settings: Settings, step: ClientStep) -> ExitCode:
    client = ObjectClient(settings.platform, SystemRandom())
    try:
        return await step(client, settings)
    finally:
        await client.close()


def print_release_error(error: ReleaseError) -> ExitCode:
    match error:
        case Refused(reason):
            return print_errors(ExitCode.REFUSED, reason)
        case VersionConflict(head):
            current = f"version {head.version} ({head.digest[:12]}) is in force"
            return print_errors(ExitCode.VERSION_CONFLICT, f"not rolled out: {current}")
        case Unavailable(detail):
            return print_errors(ExitCode.UNAVAILABLE, f"platform error: {detail}")
    raise AssertionError(error)
