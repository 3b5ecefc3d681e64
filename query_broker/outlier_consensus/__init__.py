"""What the brokers of an installation know together of engines: evidence, verdicts on it,
operators' words. Pure.

`query_broker.quotas.service` carries it; without the operators' word `verdicts` nothing of it is
loaded.
"""
