"""What commands print: a table for a person or JSON for a program, and errors as sentences."""

import sys
from collections.abc import Sequence
from enum import IntEnum, StrEnum

import msgspec
from rich.console import Console
from rich.table import Table


class ExitCode(IntEnum):
    """Exit codes of `wheatslip`; documented in docs/OPERATIONS.md."""

    GOOD = 0
    REFUSED = 1
    BAD_USAGE = 2
    UNAVAILABLE = 3
    BEATEN = 4


class Format(StrEnum):
    """How results are printed."""

    TABLE = "table"
    JSON = "json"


def show(rows: Sequence[msgspec.Struct], form: Format) -> None:
    """Print rows of one type."""
    if form is Format.JSON:
        print(msgspec.json.encode(rows).decode())
        return
    if not rows:
        print("(none)")
        return
    table = Table()
    names = rows[0].__struct_fields__
    for name in names:
        table.add_column(name.replace("_", " "))
    for row in rows:
        table.add_row(*(str(getattr(row, name)) for name in names))
    Console(width=None if sys.stdout.isatty() else 200).print(table)


def complain(code: ExitCode, *sentences: str) -> ExitCode:
    """Print sentences to standard error; returns the code."""
    for sentence in sentences:
        print(f"wheatslip: {sentence}", file=sys.stderr)
    return code
