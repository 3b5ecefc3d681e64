"""Limits that all brokers of an installation share.

Hard limits are divided by leases, soft limits by gossiped usage counters. `service.py` is the one
module with I/O; all others perform none. Nothing of this package is loaded unless the operators'
file declares a `limit` or `verdicts`.
"""
