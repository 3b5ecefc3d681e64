"""Soak test of shutdowns and restarts: random scenarios on real processes, audited afterwards.

Run `python -m benchmarks.soak [--seed N] [--seeds FIRST COUNT] [--shrink]`.
"""
