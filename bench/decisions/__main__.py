"""Runs the cases with every policy and prints what came of it; exit code 1 on a breach."""

import argparse
import sys
from collections.abc import Iterable
from dataclasses import fields

from rich.console import Console
from rich.table import Table

from bench.decisions.cases import CASES
from bench.decisions.policies import POLICIES
from bench.decisions.runs import IDEAL, OURS, Outcomes, Row, run_all
from bench.figures import Bound, Figure, add_record_option, report

SEEDS = 3
STEADY_GOAL = 1.3  # p99 against the ideal
FAULT_GOAL = 2.0
BASELINE_GOAL = 1.05  # p99 against the best baseline
INNOCENT_GOAL = 1.1  # an innocent workspace's p99 in a rush against the same without one
GOODPUT_GOAL = 0.95  # of capacity, under overload
AS_GOOD = 0.01  # a baseline that answers fewer calls by more than this part is no measure


def print_rows(outcomes: Outcomes, cases: list[str], policies: list[str]) -> None:
    """Print every figure."""
    names = [field.name for field in fields(Row)]
    table = Table(title="decisions: medians over the seeds")
    for column in ("case", "policy", *names):
        table.add_column(column, justify="left" if column in ("case", "policy") else "right")
    for case in cases:
        for policy in policies:
            figures = (f"{outcomes.median(case, policy, name):.4g}" for name in names)
            table.add_row(case, policy, *figures)
        table.add_section()
    Console(width=150).print(table)


def ratios(over: Iterable[float], under: Iterable[float]) -> list[float]:
    """Pairwise ratios, seed by seed."""
    return [a / b for a, b in zip(over, under, strict=True)]


def goals(outcomes: Outcomes, cases: list[str]) -> list[Figure]:
    """The figures that have bounds."""
    found = []
    for name in cases:
        case = CASES[name]
        ours = outcomes.values(name, OURS, "p99")
        if case.has_ideal:
            bound = Bound(most=FAULT_GOAL if case.is_fault else STEADY_GOAL)
            ideal = outcomes.values(name, IDEAL, "p99")
            found.append(Figure(f"{name}: p99 / ideal", "", ratios(ours, ideal), bound))
            best = best_baseline(outcomes, name)
            against = ratios(ours, outcomes.values(name, best, "p99"))
            found.append(
                Figure(f"{name}: p99 / {best}", "", against, Bound(most=BASELINE_GOAL))
            )
    if "exam rush" in cases and "steady at-east" in cases:
        innocent = outcomes.values("exam rush", OURS, "innocent_p99")
        steady = outcomes.values("steady at-east", OURS, "p99")
        bound = Bound(most=INNOCENT_GOAL)
        found.append(
            Figure("exam rush: innocents / steady", "", ratios(innocent, steady), bound)
        )
    if "overload" in cases:
        goodput = outcomes.values("overload", OURS, "goodput")
        found.append(Figure("overload: goodput", "", goodput, Bound(least=GOODPUT_GOAL)))
    return found


def best_baseline(outcomes: Outcomes, case: str) -> str:
    """The baseline with the least p99 among those that answer about as many calls as we."""
    enough = outcomes.median(case, OURS, "good") - AS_GOOD
    able = [
        policy
        for policy in POLICIES
        if policy != OURS and outcomes.median(case, policy, "good") >= enough
    ]
    if not able:
        return IDEAL
    return min(able, key=lambda policy: outcomes.median(case, policy, "p99"))


def main() -> int:
    """Run the bench; returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--case", action="append", choices=list(CASES))
    parser.add_argument("--seeds", type=int, default=SEEDS)
    add_record_option(parser)
    options = parser.parse_args()
    cases = options.case or list(CASES)
    policies = [*POLICIES, IDEAL]
    outcomes = run_all(cases, policies, options.seeds)
    print_rows(outcomes, cases, policies)
    return report("decisions", goals(outcomes, cases), record=options.record)


if __name__ == "__main__":
    sys.exit(main())
