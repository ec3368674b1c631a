"""The fault soak: real processes, seeded faults from outside, and a checker of the promises.

`python -m soak --seed S --minutes M`, or `make soak SEED=S MINUTES=M`. docs/SOAK.md says what
it brings about, what it checks and how a failure is played again.
"""
