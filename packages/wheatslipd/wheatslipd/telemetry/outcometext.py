"""Outcomes in words, for logs, metrics and spans."""

from wheatslip.outcome import NotRun, Outcome, Unknown


def describe(outcome: Outcome) -> str:
    """An outcome in a word or two, for logs, metrics and spans."""
    match outcome:
        case NotRun(reason):
            return f"not-run:{reason.value}"
        case Unknown(reason):
            return f"unknown:{reason.value}"
    return "answered"
