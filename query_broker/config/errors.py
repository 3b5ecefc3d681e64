"""The errors of the configuration, each one line that names the faulty key."""

from __future__ import annotations

from ..errors import QueryBrokerError


class ConfigError(QueryBrokerError, ValueError):
    """A configuration that can't be used.

    Its text is ``key: problem``, in one line, as an operator reads it. All errors of the
    configuration are of this class.
    """

    def add_parent(self, parent: str) -> None:
        """Prefix the key with the key of the object that holds it."""
        self.args = (f"{parent}.{self}",)

    def add_file(self, path: str) -> None:
        """Name the file that holds the key."""
        self.args = (f"{self}, in {path}",)


class MissingKeyError(ConfigError):
    """A required key is absent or null."""

    def __init__(self, key: str) -> None:
        """Name the missing key."""
        super().__init__(f"{key}: is missing")


class InvalidValueError(ConfigError):
    """A value is of the wrong kind, unknown, malformed or out of range."""

    def __init__(self, key: str, problem: object) -> None:
        """Name the key and what is wrong with its value."""
        super().__init__(f"{key}: {problem}")


class LostKeyError(ConfigError):
    """A key of the configuration in force is missing in the file that was read again."""

    def __init__(self, key: str, path: str) -> None:
        """Name the lost key and the path of the file."""
        super().__init__(f"{key}: is missing, in {path}")


class UnreadableFileError(ConfigError):
    """The file that ``PROXY_CONFIG`` names can't be read, or holds no JSON."""

    def __init__(self, path: str, problem: str) -> None:
        """Name the path of the file; ``problem`` follows it directly in the text."""
        super().__init__(f"PROXY_CONFIG: {path}{problem}")
