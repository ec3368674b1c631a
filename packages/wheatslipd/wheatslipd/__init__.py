"""The wheatslip daemon: entry, admission and control beside one backend server."""

__version__ = "0.1.0"
