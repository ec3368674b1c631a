"""Settings of the operators' command."""

import ipaddress
from dataclasses import dataclass
from importlib.resources import files
from pathlib import Path

from result import Err, Ok, Result
from wheatslip.ini import Problem, Problems, Section, read_ini


@dataclass(frozen=True, slots=True)
class Settings:
    """Where the platform is, and who the operator is. Empty paths were not set."""

    platform: str
    operator: str
    key: Path | None
    keyring: Path


def load_settings(path: Path) -> Result[Settings, list[Problem]]:
    """Read and check a settings file; the error lists every problem."""
    try:
        text = path.read_text()
    except OSError as error:
        return Err([Problem(str(path), "-", "-", str(error), "a readable file")])
    problems = Problems(str(path))
    default_text = files("wheatslip_cli").joinpath("default.ini").read_text()
    defaults = read_ini(default_text, Problems("default.ini"))
    given = read_ini(text, problems)
    for name in given.keys() - defaults.keys():
        problems.add(name, "-", name, "a known section (" + ", ".join(defaults) + ")")
    platform = Section("platform", given.get("platform", {}), problems)
    operator = Section("operator", given.get("operator", {}), problems)
    key = operator.text("key")
    settings = Settings(
        platform=platform.get("address", "", _address, "IP:PORT by IP number", must=True),
        operator=operator.text("name"),
        key=Path(key) if key else None,
        keyring=Path(operator.text("keyring", must=True)),
    )
    platform.finish()
    operator.finish()
    if problems.found:
        return Err(problems.found)
    return Ok(settings)


def _address(text: str) -> str:
    host, _, port = text.rpartition(":")
    ipaddress.ip_address(host)
    int(port)
    return text
