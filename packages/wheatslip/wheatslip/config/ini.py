"""Typed, checked reading of INI files.

A `Section` returns typed values and notes every problem, so that one check names them all:
file, section, key, the value found and what is expected.
"""

import configparser
import ipaddress
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TypeVar

T = TypeVar("T")

MAX_PORT = 65_535
DURATION_UNITS = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0}


@dataclass(frozen=True, slots=True)
class Problem:
    """One thing wrong in a file; printed as a line for a person."""

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
    """The problems found so far in one file."""

    source: str
    found: list[Problem] = field(default_factory=list)

    def add(self, section: str, key: str, value: str, expected: str) -> None:
        """Note one more problem."""
        self.found.append(Problem(self.source, section, key, value, expected))


def parse_duration(text: str) -> float:
    """Seconds in a text such as `250ms`, `2s`, `10m`; raises ValueError."""
    for unit in ("ms", "s", "m", "h"):
        number = text.removesuffix(unit)
        if number != text and number.replace(".", "", 1).isdigit():
            return float(number) * DURATION_UNITS[unit]
    raise ValueError(text)


def parse_flag(text: str) -> bool:
    """True or False for `yes` and `no`; raises ValueError."""
    if text in ("yes", "no"):
        return text == "yes"
    raise ValueError(text)


def parse_names(text: str) -> tuple[str, ...]:
    """The names of a comma-separated list, in order."""
    names = (name.strip() for name in text.split(","))
    return tuple(name for name in names if name)


def parse_ip(text: str) -> str:
    """An IP number; raises ValueError."""
    return str(ipaddress.ip_address(text))


def parse_ip_and_port(text: str) -> str:
    """`IP:PORT` by IP number; raises ValueError."""
    host, _, port = text.rpartition(":")
    parse_ip(host)
    if not 0 < int(port) <= MAX_PORT:
        raise ValueError(text)
    return text


def parse_port(text: str) -> int:
    """A port, or the port of `IP:PORT`; raises ValueError."""
    if ":" in text:
        text = parse_ip_and_port(text).rpartition(":")[2]
    port = int(text)
    if not 0 <= port <= MAX_PORT:
        raise ValueError(text)
    return port


class Section:
    """Typed view of one section. Keys that are never read are problems; see `finish`."""

    def __init__(self, name: str, values: dict[str, str], problems: Problems):
        self.name = name
        self._values = values
        self._problems = problems
        self._read: set[str] = set()

    def get(
        self,
        key: str,
        default: T,
        parse: Callable[[str], T],
        expected: str,
        *,
        must: bool = False,
    ) -> T:
        """The value of `key` through `parse`; on a missing or bad value, `default`."""
        self._read.add(key)
        text = self._values.get(key)
        if text is None or text == "":
            if must:
                self._problems.add(self.name, key, text or "", expected + " (required)")
            return default
        try:
            return parse(text)
        except ValueError:
            self._problems.add(self.name, key, text, expected)
            return default

    def text(self, key: str, default: str = "", *, must: bool = False) -> str:
        """A plain text."""
        return self.get(key, default, str, "a text", must=must)

    def flag(self, key: str, default: bool) -> bool:
        """`yes` or `no`."""
        return self.get(key, default, parse_flag, "yes or no")

    def names(self, key: str) -> tuple[str, ...]:
        """A comma-separated list of names."""
        return self.get(key, (), parse_names, "names separated by commas")

    def duration(self, key: str, default: float) -> float:
        """Seconds, from a text such as `250ms`."""
        return self.get(key, default, parse_duration, "a duration such as 250ms, 2s or 10m")

    def integer(
        self, key: str, default: int, low: int, high: int, *, must: bool = False
    ) -> int:
        """A whole number from `low` to `high`."""

        def parse(text: str) -> int:
            number = int(text)
            if not low <= number <= high:
                raise ValueError(text)
            return number

        expected = f"a whole number from {low} to {high}"
        return self.get(key, default, parse, expected, must=must)

    def number(self, key: str, default: float, low: float, high: float) -> float:
        """A number from `low` to `high`."""

        def parse(text: str) -> float:
            number = float(text)
            if not low <= number <= high:
                raise ValueError(text)
            return number

        return self.get(key, default, parse, f"a number from {low:g} to {high:g}")

    def choice(self, key: str, default: T, choices: dict[str, T]) -> T:
        """One of the named choices."""

        def parse(text: str) -> T:
            if text not in choices:
                raise ValueError(text)
            return choices[text]

        return self.get(key, default, parse, "one of " + ", ".join(choices))

    def finish(self) -> None:
        """Note the keys that were never read as problems."""
        for key in self._values.keys() - self._read:
            known = ", ".join(sorted(self._read))
            self._problems.add(self.name, key, self._values[key], f"a known key ({known})")


def read_ini(text: str, problems: Problems) -> dict[str, dict[str, str]]:
    """Sections and their raw values; a syntax error becomes a problem."""
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
    """The sections of a default file with a text's values over it; others are problems."""
    defaults = read_ini(default_text, Problems("default.ini"))
    given = read_ini(text, problems)
    for name in given.keys() - defaults.keys():
        problems.add(name, "-", name, "a known section (" + ", ".join(defaults) + ")")
    return {
        name: Section(name, values | given.get(name, {}), problems)
        for name, values in defaults.items()
    }
