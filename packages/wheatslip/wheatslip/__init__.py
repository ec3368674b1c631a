"""Coordination parts of the wheatslip load balancer, to embed with or without its daemon."""

__version__ = "0.1.0"
