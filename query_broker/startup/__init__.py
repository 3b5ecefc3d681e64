"""How a broker starts when hundreds start at once: what it decides, free of input and output.

`joins.py` alone touches the node, the bus and the disk; without the operators' word `start` it is
not loaded.
"""
