"""Command-line tool for operators of the wheatslip load balancer."""

__version__ = "0.1.0"
