"""Deadlines carried end to end: gates at each hand-over, what waits to be written and in which
order, cancel scopes, learned margins, budgets for further attempts.

Pure: nothing here reads a clock, a socket or a file. Times are integer nanoseconds on the caller's
clock.
"""
