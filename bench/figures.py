"""Figures of a benchmark, their bounds, and how they are printed and kept."""

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
    """What the median of a figure must keep to."""

    most: float | None = None
    least: float | None = None

    def is_kept(self, value: float) -> bool:
        """Whether a value is within the bound."""
        if self.most is not None and value > self.most:
            return False
        return self.least is None or value >= self.least

    def __str__(self) -> str:
        parts = []
        if self.least is not None:
            parts.append(f"≥ {self.least:g}")
        if self.most is not None:
            parts.append(f"≤ {self.most:g}")
        return " ".join(parts)


@dataclass(frozen=True, slots=True)
class Figure:
    """A named figure with a value for each repetition."""

    name: str
    unit: str
    values: Sequence[float]
    bound: Bound | None = None

    @property
    def median(self) -> float:
        """The value to quote."""
        return median(self.values)

    @property
    def is_kept(self) -> bool:
        """Whether the bound, if any, is kept."""
        return self.bound is None or self.bound.is_kept(self.median)


def add_record_option(parser: argparse.ArgumentParser) -> None:
    """The option by which a bench keeps its figures in the repository."""
    parser.add_argument("--record", action="store_true", help="keep the figures in results/")


def record_figures(title: str, figures: Sequence[Figure]) -> None:
    """Write a line a figure: name, unit, least, median, most, bound; tabs between."""
    RESULTS.mkdir(exist_ok=True)
    lines = [
        f"{f.name}\t{f.unit}\t{min(f.values):.4g}\t{f.median:.4g}\t{max(f.values):.4g}"
        f"\t{f.bound or ''}\n"
        for f in figures
    ]
    (RESULTS / f"{title}.txt").write_text("".join(lines))


def report(title: str, figures: Sequence[Figure], *, record: bool = False) -> int:
    """Print figures with their spread; returns the exit code, 1 on a breach."""
    if record:
        record_figures(title, figures)
    table = Table(title=title)
    for column in ("figure", "unit", "least", "median", "most", "bound", ""):
        table.add_column(column, justify="left" if column in ("figure", "") else "right")
    for figure in figures:
        verdict = "" if figure.bound is None else ("kept" if figure.is_kept else "BREACH")
        table.add_row(
            figure.name,
            figure.unit,
            f"{min(figure.values):.3f}",
            f"{figure.median:.3f}",
            f"{max(figure.values):.3f}",
            str(figure.bound or ""),
            verdict,
        )
    Console(width=110).print(table)
    return 0 if all(figure.is_kept for figure in figures) else 1
