"""Limits that all brokers of an installation share.

Hard limits are divided by leases, soft limits by gossiped usage counters. `service.py` is the only
module with I/O. The package is loaded only if the operators' file declares a `limit` or `verdicts`.
"""
