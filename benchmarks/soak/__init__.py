"""A soak of shutdowns and restarts: drawn scenarios on real processes, and an audit of the records.

Run `python -m benchmarks.soak [--seed N] [--seeds FIRST COUNT] [--shrink]`.
"""
