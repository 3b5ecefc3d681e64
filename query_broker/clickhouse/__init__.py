"""The ClickHouse HTTP interface, as far as it performs no I/O; the daemon does not load it yet.

Requests, statements, routing rules, sessions and errors, written from the interface's public
description alone.
"""
