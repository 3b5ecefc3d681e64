"""The base of all exceptions that the package defines."""


class QueryBrokerError(Exception):
    """A fault that the package describes itself: what was wrong and where.

    Where callers expect a built-in type, a subclass derives from that one as well. The decision
    modules raise plain `ValueError` and `TypeError`: the simulator's wire carries a type's name.
    """
