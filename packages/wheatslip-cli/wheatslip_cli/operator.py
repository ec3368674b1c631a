"""What every command that talks to the platform needs: settings, a client, the releases."""

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path
from random import SystemRandom

from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from result import Err, Ok, Result
from wheatslip.config.releases import Beaten, Refused, ReleaseError, Releases
from wheatslip.config.signing import load_keyring, load_private_key
from wheatslip.store.objectclient import ObjectClient
from wheatslip.store.objects import Unavailable

from wheatslip_cli.output import ExitCode, complain
from wheatslip_cli.settings import Settings, load_settings

Step = Callable[[Releases, Settings], Awaitable[ExitCode]]
ClientStep = Callable[[ObjectClient, Settings], Awaitable[ExitCode]]


def run_step(settings_path: Path, step: Step) -> ExitCode:
    """Load the settings and run one step of a release against the platform."""

    async def with_releases(client: ObjectClient, settings: Settings) -> ExitCode:
        try:
            keyring = load_keyring(settings.keyring)
        except ValueError as error:
            return complain(ExitCode.BAD_USAGE, str(error))
        return await step(Releases(client, keyring), settings)

    return run_with_client(settings_path, with_releases)


def run_with_client(settings_path: Path, step: ClientStep) -> ExitCode:
    """Load the settings and run one step against the platform."""
    match load_settings(settings_path):
        case Err(problems):
            return complain(ExitCode.BAD_USAGE, *(str(problem) for problem in problems))
        case Ok(settings):
            return asyncio.run(_run(settings, step))
    raise AssertionError


def signing_key(settings: Settings, path: Path) -> Result[Ed25519PrivateKey, str]:
    """The operator's own key; the error is a sentence. `path` is the settings file."""
    if not settings.operator or settings.key is None:
        return Err(f"{path}: [operator] name and key are needed")
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


def complain_about(error: ReleaseError) -> ExitCode:
    """Print why a step was not taken."""
    match error:
        case Refused(why):
            return complain(ExitCode.REFUSED, why)
        case Beaten(head):
            what = f"version {head.version} ({head.digest[:12]}) is in force"
            return complain(ExitCode.BEATEN, f"not rolled out: {what}")
        case Unavailable(detail):
            return complain(ExitCode.UNAVAILABLE, f"the platform: {detail}")
    raise AssertionError(error)
