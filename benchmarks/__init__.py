"""Measurements before emulated clusters and on simulated clocks.

`python -m benchmarks.NAME [--quick]` prints a line for each measured value, and ends with exit code
1 if one is past its bound.
"""
