"""Where the worth of played days went: a table by day and cause, from journal entries.

Run `python -m bench.losses journal/*-ID.json …`. Each day's row adds up to 1: its worth, what
its parts lack (each by its weight), and its prices.
"""

import argparse
import json
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

# Columns of the table, each with the journal's rows that it sums.
PRICES = {
    "machines": ("machine-seconds",),
    "memory": ("memory, GB x seconds",),
    "processor": ("processor seconds",),
    "bytes": ("GB between zones",),
    "checks": ("probes and requests without id",),
    "store": ("cloud calls",),
    "refusals": ("worth given up late, untried", "worth refused again"),
    "calls turned away": (
        "worth lost by a call that was turned away",
        "worth lost by a call that was rejected",
    ),
    "order": ("worth put behind what is less urgent",),
}
REST = "rest"


@dataclass(frozen=True, slots=True)
class DayLosses:
    """One day: its worth, and what was lost by cause, in parts of 1."""

    name: str
    worth: float
    losses: dict[str, float]


def day_losses(day: dict[str, Any]) -> DayLosses:
    """The losses of one day of a journal entry."""
    losses = {name: weight * (1.0 - part) for name, weight, part in day["parts"]}
    prices = {name: price for name, _, price in day["prices"]}
    for column, names in PRICES.items():
        losses[column] = sum(prices.pop(name, 0.0) for name in names)
    losses[REST] = sum(prices.values())
    return DayLosses(day["name"], day["G"], losses)


def table(days: Sequence[DayLosses]) -> str:
    """The days as a table in Markdown."""
    columns = list(days[0].losses)
    lines = [
        "| " + " | ".join(["day", "worth", *columns]) + " |",
        "| " + " | ".join(["---"] * (len(columns) + 2)) + " |",
    ]
    for day in days:
        figures = (f"{day.losses[column]:.3f}" for column in columns)
        lines.append("| " + " | ".join([day.name, f"{day.worth:.3f}", *figures]) + " |")
    return "\n".join(lines)


def main() -> None:
    """Print a table for each entry."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("entry", nargs="+", type=Path, help="a journal entry")
    for path in parser.parse_args().entry:
        entry = json.loads(path.read_text())
        print(f"\n{entry['site']} ({path.stem})\n")
        print(table([day_losses(day) for day in entry["days"]]))


if __name__ == "__main__":
    main()
