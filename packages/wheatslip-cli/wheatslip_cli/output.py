"""Output of commands: results as a table or JSON, and error messages."""

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
    VERSION_CONFLICT = 4


class Format(StrEnum):
    """Output format of results."""

    TABLE = "table"
    JSON = "json"


def print_rows(rows: Sequence[msgspec.Struct], output_format: Format) -> None:
    """Prints rows, all of the same type."""
    if output_format is Format.JSON:
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
    # Without a terminal, rich would limit tables to 80 columns.
    Console(width=None if sys.stdout.isatty() else 200).print(table)


def print_errors(code: ExitCode, *messages: str) -> ExitCode:
    """Prints messages to standard error and returns `code`, for use in a return statement."""
    for message in messages:
        print(f"wheatslip: {message}", file=sys.stderr)
    return code
