"""Benchmarks on emulated clusters and on simulated clocks.

`python -m benchmarks.NAME [--quick]` prints a line for each measured value; its exit code is 1 if a
value breaks its bound.
"""
