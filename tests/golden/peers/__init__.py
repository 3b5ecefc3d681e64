"""Golden forms of what a broker sends to its peers: every expected value is a literal.

A change here breaks the exchange with brokers of the version before: no rename may alter a value.
"""
