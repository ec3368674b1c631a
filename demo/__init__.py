"""Demonstration: all parts of the system as separate processes on loopback."""
