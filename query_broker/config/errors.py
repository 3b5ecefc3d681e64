"""The errors of the configuration; each text is one line that names the faulty key."""

from __future__ import annotations

from ..errors import QueryBrokerError


class ConfigError(QueryBrokerError, ValueError):
    """An invalid configuration; the base of all errors of the configuration.

    The text is one line for the operator, of the form ``key: problem``.
    """

    def add_parent(self, parent: str) -> None:
        """Prefix the key with that of the object that contains it."""
        self.args = (f"{parent}.{self}",)

    def add_file(self, path: str) -> None:
        """Append the path of the file that contains the key."""
        self.args = (f"{self}, in {path}",)


class MissingKeyError(ConfigError):
    """A required key is absent or null."""

    def __init__(self, key: str) -> None:
        """Create the error for the missing key."""
        super().__init__(f"{key}: is missing")


class InvalidValueError(ConfigError):
    """A value is of the wrong kind, unknown, malformed or out of range."""

    def __init__(self, key: str, problem: object) -> None:
        """Create the error from the key and what is wrong with its value."""
        super().__init__(f"{key}: {problem}")


class UnreadableFileError(ConfigError):
    """The file that ``PROXY_CONFIG`` names can't be read or is not JSON."""

    def __init__(self, path: str, problem: str) -> None:
        """Create the error from the path, which ``problem`` follows without a separator."""
        super().__init__(f"PROXY_CONFIG: {path}{problem}")
