"""Cells: which tenants and engines belong together, how a tenant moves, what a cell may hold and
lend.

`client_connection`, `dispatcher`, `node` and `router` are the runtime, loaded only where the
operators' file names cells. All other modules perform no I/O and take the time from the caller.
Times are integer nanoseconds.
"""
