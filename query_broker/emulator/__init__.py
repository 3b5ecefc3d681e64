"""Emulators of what the broker talks to, for tests, benchmarks and `larchhall demo`.

Data engines, the discovery service and clients on loopback addresses, written from the protocols
alone; a fleet of real processes with faulty links between them; and simulations of decisions,
membership and quotas on a simulated clock. A serving broker never loads them.
"""
