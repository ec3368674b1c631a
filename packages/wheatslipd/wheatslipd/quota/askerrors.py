"""Logs an ask that raised an exception, at the daemon where it did."""

import traceback

from wheatslip.quota.messages import TokenRequest

from wheatslipd.telemetry import logs


def log_ask_error(request: TokenRequest, error: Exception) -> None:
    """Log a bug because of which an ask is not answered."""
    logs.error(
        "quota-ask-failed",
        workspace=request.workspace,
        sender=request.sender,
        error=repr(error),
        trace="".join(traceback.format_exception(error)),
        repeat_key=request.workspace,
    )
