"""Text form of outcomes for logs, metrics and spans."""

from wheatslip.outcome import NotRun, Outcome, Unknown


def describe(outcome: Outcome) -> str:
    """Return `answered`, `not-run:REASON` or `unknown:REASON`."""
    match outcome:
        case NotRun(reason):
            return f"not-run:{reason.value}"
        case Unknown(reason):
            return f"unknown:{reason.value}"
    return "answered"
