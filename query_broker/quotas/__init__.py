"""Limits that all brokers of an installation share: hard ones by leases, soft ones by counters that
merge.

All but `joins.py` is free of input and output; without the operators' word `limit` nothing of it is
loaded.
"""
