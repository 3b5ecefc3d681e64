"""Which brokers of an installation are there: what is decided, free of input and output.

`joins.py` alone touches sockets, files and the node; without the operators' word `members` nothing
of it is loaded.
"""
