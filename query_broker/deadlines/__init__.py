"""Enforcement of deadlines on the whole path of a request.

Contains the checks at each hand-over, the priority queue of frames to write, cancel scopes, the
learned margin and the retry budget. Performs no I/O and reads no clock. Times are integer
nanoseconds on the caller's clock.
"""
