"""Stand-ins for what the broker talks to: data engines, the event bus and clients, on loopback
addresses.

Written from the protocol alone, for tests, benchmarks and `larchhall demo`. The daemon never loads
them.
"""
