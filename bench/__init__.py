"""Benchmarks with bounds, and recorded results to compare later runs with."""
