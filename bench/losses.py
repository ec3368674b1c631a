"""Prints what each day of a journal entry lost, by cause.

Run `python -m bench.losses journal/*-ID.json …`. The worth of a day is its score: 1 minus its
losses. The losses are the weighted shortfall of each part of the score, and the prices of
resources and refusals. Each row of the table adds up to 1.
"""

import argparse
import json
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

# Names of the journal's prices that each column of the table sums.
PRICE_COLUMNS = {
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
REST = "rest"  # column of all other prices


@dataclass(frozen=True, slots=True)
class DayLosses:
    """Worth and losses of one day, as fractions of 1."""

    name: str
    worth: float
    losses: dict[str, float]


def day_losses(day: dict[str, Any]) -> DayLosses:
    """The losses of one day of a journal entry. The entry stores the worth as `G`."""
    losses = {name: weight * (1.0 - value) for name, weight, value in day["parts"]}
    prices = {name: price for name, _, price in day["prices"]}
    for column, names in PRICE_COLUMNS.items():
        losses[column] = sum(prices.pop(name, 0.0) for name in names)
    losses[REST] = sum(prices.values())
    return DayLosses(day["name"], day["G"], losses)


def table(days: Sequence[DayLosses]) -> str:
    """A Markdown table with one row per day."""
    columns = list(days[0].losses)
    lines = [
        "| " + " | ".join(["day", "worth", *columns]) + " |",
        "| " + " | ".join(["---"] * (len(columns) + 2)) + " |",
    ]
    for day in days:
        cells = (f"{day.losses[column]:.3f}" for column in columns)
        lines.append("| " + " | ".join([day.name, f"{day.worth:.3f}", *cells]) + " |")
    return "\n".join(lines)


def main() -> None:
    """Print one table per journal entry."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("entry", nargs="+", type=Path, help="path of a journal entry")
    for path in parser.parse_args().entry:
        entry = json.loads(path.read_text())
        print(f"\n{entry['site']} ({path.stem})\n")
        print(table([day_losses(day) for day in entry["days"]]))


if __name__ == "__main__":
    main()
