"""Benchmarks with bounds, and the recorded figures that later runs are held against."""
