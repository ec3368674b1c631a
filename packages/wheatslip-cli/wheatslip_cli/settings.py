"""Settings of the operators' command."""

from dataclasses import dataclass
from importlib.resources import files
from pathlib import Path

from result import Err, Ok, Result
from wheatslip.config.ini import Problem, Problems, layered_sections, parse_ip_and_port


@dataclass(frozen=True, slots=True)
class Settings:
    """`platform` is the address of the platform's object API. `key`, the path of the operator's
    private key, is None if it is not set.
    """

    platform: str
    operator: str
    key: Path | None
    keyring: Path


def load_settings(path: Path) -> Result[Settings, list[Problem]]:
    """Reads and validates a settings file. The error lists all problems."""
    try:
        text = path.read_text()
    except OSError as error:
        return Err([Problem(str(path), "-", "-", str(error), "a readable file")])
    problems = Problems(str(path))
    default_text = files("wheatslip_cli").joinpath("default.ini").read_text()
    sections = layered_sections(text, default_text, problems)
    platform, operator = sections["platform"], sections["operator"]
    key = operator.text("key")
    settings = Settings(
        platform=platform.get(
            "address", "", parse_ip_and_port, "IP:PORT by IP number", required=True
        ),
        operator=operator.text("name"),
        key=Path(key) if key else None,
        keyring=Path(operator.text("keyring", required=True)),
    )
    platform.report_unknown_keys()
    operator.report_unknown_keys()
    if problems.found:
        return Err(problems.found)
    return Ok(settings)
