"""The base of all exceptions that the package defines."""


class QueryBrokerError(Exception):
    """An error whose text says what was wrong and where.

    Where callers expect a built-in exception type, a subclass derives from that type as well.
    """
