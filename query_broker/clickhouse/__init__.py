"""The ClickHouse HTTP interface: what its requests ask, where they go, and what their sessions
hold.

So far the part that is free of input and output: requests, statements, routing rules, sessions,
errors. Written from the interface's public description alone; the daemon does not load it yet.
"""
