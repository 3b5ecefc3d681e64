"""The base of all exceptions that the package defines."""


class QueryBrokerError(Exception):
    """A fault that the package describes itself: what was wrong and where.

    Where callers expect a built-in type, a subclass derives from that one as well.
    """
