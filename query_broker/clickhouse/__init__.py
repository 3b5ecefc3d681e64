"""The parts of the ClickHouse HTTP interface without I/O; the daemon does not load them yet.

They cover requests, statements, routing rules, sessions, results and errors, and are written from
the interface's public description alone.
"""
