"""Deadlines carried end to end.

Checks at each hand-over, the queue of frames to write and its order, cancel scopes,
learned margins and budgets for retries. Performs no I/O and reads no clock. Times are integer
nanoseconds on the caller's clock.
"""
