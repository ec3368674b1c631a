"""Logs, metrics, traces and the operators' pages of a daemon."""
