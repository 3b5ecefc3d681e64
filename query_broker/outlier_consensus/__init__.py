"""Outlier detection and operators' overrides that all brokers of an installation share.

Brokers exchange observations of failures and derive from them which endpoints are outliers.
`service.py` is the only module with I/O. The package is loaded only if the operators' file declares
`verdicts`.
"""
