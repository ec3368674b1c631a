"""Fault injection test: runs real processes, injects seeded faults and checks the guarantees.

`python -m soak --seed S --minutes M`, or `make soak SEED=S MINUTES=M`. docs/SOAK.md lists the
faults and the checks, and explains how to replay a failure.
"""
