"""What the brokers of an installation know together of engines: evidence, verdicts on it,
operators' words. Pure.

`larchhall.shares.joins` carries it; without the operators' word `verdicts` nothing of it is loaded.
"""
