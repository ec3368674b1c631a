"""Results of a benchmark: their bounds, their report and their files in results/."""

import argparse
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from statistics import median

from rich.console import Console
from rich.table import Table

RESULTS = Path(__file__).parent / "results"


@dataclass(frozen=True, slots=True)
class Bound:
    """The range that the median of a figure must be in."""

    maximum: float | None = None
    minimum: float | None = None

    def contains(self, value: float) -> bool:
        if self.maximum is not None and value > self.maximum:
            return False
        return self.minimum is None or value >= self.minimum

    def __str__(self) -> str:
        parts = []
        if self.minimum is not None:
            parts.append(f"≥ {self.minimum:g}")
        if self.maximum is not None:
            parts.append(f"≤ {self.maximum:g}")
        return " ".join(parts)


@dataclass(frozen=True, slots=True)
class Figure:
    """A measured quantity with one value per repetition."""

    name: str
    unit: str
    values: Sequence[float]
    bound: Bound | None = None

    @property
    def median(self) -> float:
        return median(self.values)

    @property
    def is_within_bound(self) -> bool:
        """Whether the median is within the bound. True if there is no bound."""
        return self.bound is None or self.bound.contains(self.median)


def add_record_option(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--record", action="store_true", help="write the results to bench/results/"
    )


def record_figures(title: str, figures: Sequence[Figure]) -> None:
    """Write a tab-separated line per figure: name, unit, minimum, median, maximum, bound."""
    RESULTS.mkdir(exist_ok=True)
    lines = [
        f"{f.name}\t{f.unit}\t{min(f.values):.4g}\t{f.median:.4g}\t{max(f.values):.4g}"
        f"\t{f.bound or ''}\n"
        for f in figures
    ]
    (RESULTS / f"{title}.txt").write_text("".join(lines))


def report(title: str, figures: Sequence[Figure], *, record: bool = False) -> int:
    """Print the figures. Returns the exit code, which is 1 if a figure is out of bounds."""
    if record:
        record_figures(title, figures)
    table = Table(title=title)
    for column in ("figure", "unit", "min", "median", "max", "bound", ""):
        table.add_column(column, justify="left" if column in ("figure", "") else "right")
    for figure in figures:
        status = "" if figure.bound is None else ("ok" if figure.is_within_bound else "FAILED")
        table.add_row(
            figure.name,
            figure.unit,
            f"{min(figure.values):.3f}",
            f"{figure.median:.3f}",
            f"{max(figure.values):.3f}",
            str(figure.bound or ""),
            status,
        )
    Console(width=110).print(table)
    return 0 if all(figure.is_within_bound for figure in figures) else 1
