"""Measurements on stand-ins: `python -m benchmarks.NAME [--quick]`, a line a figure, exit 1 past a
bound.
"""
