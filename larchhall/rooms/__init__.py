"""What joins cells to the broker: a decision module a cell, its part of what all share, and the
moves.

Loaded only where the operators' file names cells. What it decides is in `larchhall.cells`.
"""
