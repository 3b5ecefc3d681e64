"""Cells: which tenants and engines belong together, how a tenant moves, what a cell may hold and
lend.

Pure: nothing here reads a clock, a socket or a file. Times are integer nanoseconds on the caller's
clock. What joins it to the broker is in `larchhall.rooms`.
"""
