"""Emulators of the systems around the broker, for tests, benchmarks and `larchhall demo`.

There are data engines, a discovery service and clients on loopback addresses, written from the
protocols alone; a fleet of real broker processes with faulty links between them; and simulations of
decisions, membership and quotas on a simulated clock. A serving broker never loads this package.
"""
