"""Logs asks and takeovers that raised an exception, at the daemon where they did."""

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


def log_takeover_error(workspace: str, error: Exception) -> None:
    """Log a bug because of which a takeover is not answered, or broke off."""
    logs.error(
        "quota-takeover-failed",
        workspace=workspace,
        error=repr(error),
        trace="".join(traceback.format_exception(error)),
        repeat_key=workspace,
    )
