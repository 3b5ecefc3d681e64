"""What the brokers of an installation know together of endpoints.

Observations of failures, the consensus that an endpoint is an outlier, and operators' overrides.
`service.py` is the one module with I/O; nothing of this package is loaded unless the operators'
file declares `verdicts`.
"""
