"""Reading and validation of INI files.

A `Section` returns typed values and collects problems instead of raising errors, so that an
operator sees all problems of a file at once.
"""

import configparser
import ipaddress
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TypeVar

T = TypeVar("T")

MAX_PORT = 65_535
SECONDS_PER_UNIT = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0}


@dataclass(frozen=True, slots=True)
class Problem:
    """An invalid or missing value in a file; its text is one line for the operator."""

    source: str
    section: str
    key: str
    value: str
    expected: str

    def __str__(self) -> str:
        return (
            f"{self.source}: [{self.section}] {self.key} = {self.value!r}: "
            f"expected {self.expected}"
        )


@dataclass(slots=True)
class Problems:
    """Collects the problems of one file."""

    source: str
    found: list[Problem] = field(default_factory=list)

    def add(self, section: str, key: str, value: str, expected: str) -> None:
        self.found.append(Problem(self.source, section, key, value, expected))


def parse_duration(text: str) -> float:
    """Parses a text such as `250ms`, `2s`, `10m` into seconds; raises ValueError."""
    for unit in ("ms", "s", "m", "h"):
        number = text.removesuffix(unit)
        if number != text and number.replace(".", "", 1).isdigit():
            return float(number) * SECONDS_PER_UNIT[unit]
    raise ValueError(text)


def parse_flag(text: str) -> bool:
    """Parses `yes` or `no`; raises ValueError."""
    if text in ("yes", "no"):
        return text == "yes"
    raise ValueError(text)


def parse_names(text: str) -> tuple[str, ...]:
    """Splits a comma-separated list; empty items are ignored."""
    names = (name.strip() for name in text.split(","))
    return tuple(name for name in names if name)


def parse_ip(text: str) -> str:
    """Returns the normalized form of an IP address; raises ValueError."""
    return str(ipaddress.ip_address(text))


def parse_ip_and_port(text: str) -> str:
    """Checks a text of the form `IP:PORT`; raises ValueError."""
    host, _, port = text.rpartition(":")
    parse_ip(host)
    if not 0 < int(port) <= MAX_PORT:
        raise ValueError(text)
    return text


def parse_port(text: str) -> int:
    """Parses `PORT` or the port of `IP:PORT`; raises ValueError. Only the former may be 0."""
    if ":" in text:
        text = parse_ip_and_port(text).rpartition(":")[2]
    port = int(text)
    if not 0 <= port <= MAX_PORT:
        raise ValueError(text)
    return port


class Section:
    """Typed access to the keys of one section. Keys that are never read are problems, see
    `report_unknown_keys`.
    """

    def __init__(self, name: str, values: dict[str, str], problems: Problems):
        self.name = name
        self._values = values
        self._problems = problems
        self._read_keys: set[str] = set()

    def get(
        self,
        key: str,
        default: T,
        parse: Callable[[str], T],
        expected: str,
        *,
        required: bool = False,
    ) -> T:
        """Returns the parsed value of `key`, or `default` if it is missing, empty or invalid.

        `parse` raises ValueError for an invalid value; `expected` describes a valid one. An
        invalid value is a problem, and so is a missing one if `required` is set.
        """
        self._read_keys.add(key)
        text = self._values.get(key)
        if text is None or text == "":
            if required:
                self._problems.add(self.name, key, text or "", expected + " (required)")
            return default
        try:
            return parse(text)
        except ValueError:
            self._problems.add(self.name, key, text, expected)
            return default

    def text(self, key: str, default: str = "", *, required: bool = False) -> str:
        return self.get(key, default, str, "a text", required=required)

    def flag(self, key: str, default: bool) -> bool:
        """Reads `yes` or `no`."""
        return self.get(key, default, parse_flag, "yes or no")

    def names(self, key: str) -> tuple[str, ...]:
        """Reads a comma-separated list."""
        return self.get(key, (), parse_names, "names separated by commas")

    def duration(self, key: str, default: float) -> float:
        """Reads a duration such as `250ms`; returns seconds."""
        return self.get(key, default, parse_duration, "a duration such as 250ms, 2s or 10m")

    def integer(
        self, key: str, default: int, low: int, high: int, *, required: bool = False
    ) -> int:
        """Reads an integer from `low` to `high`, both included."""

        def parse(text: str) -> int:
            number = int(text)
            if not low <= number <= high:
                raise ValueError(text)
            return number

        expected = f"a whole number from {low} to {high}"
        return self.get(key, default, parse, expected, required=required)

    def number(self, key: str, default: float, low: float, high: float) -> float:
        """Reads a number from `low` to `high`, both included."""

        def parse(text: str) -> float:
            number = float(text)
            if not low <= number <= high:
                raise ValueError(text)
            return number

        return self.get(key, default, parse, f"a number from {low:g} to {high:g}")

    def choice(self, key: str, default: T, choices: dict[str, T]) -> T:
        """Reads one of the keys of `choices` and returns its value."""

        def parse(text: str) -> T:
            if text not in choices:
                raise ValueError(text)
            return choices[text]

        return self.get(key, default, parse, "one of " + ", ".join(choices))

    def report_unknown_keys(self) -> None:
        """Reports each key that was never read as a problem. Call it after all reads."""
        for key in self._values.keys() - self._read_keys:
            known_keys = ", ".join(sorted(self._read_keys))
            self._problems.add(self.name, key, self._values[key], f"a known key ({known_keys})")


def read_ini(text: str, problems: Problems) -> dict[str, dict[str, str]]:
    """Returns the raw values by section and key; nothing if there is a syntax error, which is
    added to `problems`.
    """
    parser = configparser.ConfigParser(
        interpolation=None, strict=True, delimiters=("=",), inline_comment_prefixes=(";",)
    )
    try:
        parser.read_string(text, problems.source)
    except configparser.Error as error:
        first_line = str(error).splitlines()[0]
        problems.add("-", "-", first_line, "an INI file with unique sections and keys")
        return {}
    return {name: dict(parser.items(name)) for name in parser.sections()}


def layered_sections(text: str, default_text: str, problems: Problems) -> dict[str, Section]:
    """Returns the sections of `default_text`, with the values of `text` replacing the defaults.
    Sections that `default_text` does not have are problems.
    """
    defaults = read_ini(default_text, Problems("default.ini"))
    overrides = read_ini(text, problems)
    for name in overrides.keys() - defaults.keys():
        problems.add(name, "-", name, "a known section (" + ", ".join(defaults) + ")")
    return {
        name: Section(name, values | overrides.get(name, {}), problems)
        for name, values in defaults.items()
    }
