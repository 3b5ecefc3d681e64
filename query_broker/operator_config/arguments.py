"""Checks of the arguments of directives. Performs no I/O.

Each check takes the value that the script passed and the key that an error names, for example
``cell.weight``, and returns the value in the type of the settings. A check that fails raises
``DirectiveError``.
"""

from __future__ import annotations

from typing import Any

from ..errors import QueryBrokerError

NS_PER_MS = 1_000_000
MS_PER_S = 1_000
#: Names and paths appear in log lines and metrics labels, which must stay readable.
MAX_TEXT_LENGTH = 256
#: Numbers become nanoseconds or floats; below this bound a float holds whole numbers exactly.
NUMBER_LIMIT = 1e15
IPV4_OCTET_COUNT = 4
MAX_OCTET = 255
MAX_PORT = 65_535


class DirectiveError(QueryBrokerError, ValueError):
    """An invalid directive; the text has the form ``key: problem``.

    Attributes:
        call_number: Number of the faulty call, counted from 1; None for the current call.
    """

    def __init__(self, key: str, problem: str, call_number: int | None = None) -> None:
        """Create the error.

        Args:
            key: The directive, or the directive and its argument, as in ``cell.weight``.
            problem: What is wrong with it.
            call_number: Number of the faulty call, counted from 1; None for the current call.
        """
        super().__init__(f"{key}: {problem}")
        self.call_number = call_number


def check_text(value: Any, key: str) -> str:
    """Return the value if it is a non-empty printable text."""
    is_text = isinstance(value, str) and 0 < len(value) <= MAX_TEXT_LENGTH and value.isprintable()
    if not is_text:
        raise DirectiveError(key, f"{value!r:.60} is no text of 1 to 256 printable characters")
    return str(value)


def check_texts(value: Any, key: str) -> tuple[str, ...]:
    """Return the value as a tuple if it is a list of such texts."""
    if not isinstance(value, list | tuple):
        raise DirectiveError(key, f"{value!r:.60} is no list")
    return tuple(check_text(text, key) for text in value)


def check_number(value: Any, key: str, minimum: float = 0.0, exclusive: bool = False) -> float:
    """Return a number of at least ``minimum``, or above it if ``exclusive`` is set."""
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not -NUMBER_LIMIT < value < NUMBER_LIMIT:
        raise DirectiveError(key, f"{value!r:.60} is no number")
    if value < minimum or (exclusive and value <= minimum):
        bound = "above" if exclusive else "at least"
        raise DirectiveError(key, f"must be {bound} {minimum:g}")
    return float(value)


def check_integer(value: Any, key: str, minimum: int = 0) -> int:
    """Return an integer of at least ``minimum``."""
    if value != int(check_number(value, key, minimum)):
        raise DirectiveError(key, f"{value!r} is no whole number")
    return int(value)


def check_fraction(value: Any, key: str, exclude_zero: bool = False) -> float:
    """Return a number from 0 to 1; 0 is rejected if ``exclude_zero`` is set."""
    fraction = check_number(value, key)
    if fraction > 1:
        raise DirectiveError(key, "must lie in 0 to 1")
    if exclude_zero and fraction == 0:
        raise DirectiveError(key, "must be above 0")
    return fraction


def check_flag(value: Any, key: str) -> bool:
    """Return the value if it is a boolean."""
    if not isinstance(value, bool):
        raise DirectiveError(key, f"{value!r:.60} is neither True nor False")
    return value


def check_choice(value: Any, key: str, choices: tuple[str, ...]) -> Any:
    """Return the value if it is one of the choices; an error does not list an empty choice."""
    if value not in choices:
        listed = ", ".join(repr(choice) for choice in choices if choice)
        raise DirectiveError(key, f"{value!r:.60} is none of {listed}")
    return value


def check_address(value: Any, key: str) -> str:
    """Return an IPv4 address of the form ``host:port``."""
    text = check_text(value, key)
    host, _, port = text.rpartition(":")
    octets = host.split(".")
    is_host = len(octets) == IPV4_OCTET_COUNT and all(
        octet.isdecimal() and int(octet) <= MAX_OCTET for octet in octets
    )
    if not is_host or not (port.isdecimal() and int(port) <= MAX_PORT):
        raise DirectiveError(key, f"{text!r:.60} is no IPv4 address host:port")
    return text


def seconds_to_ns(value: Any, key: str, minimum: float = 0.0, exclusive: bool = False) -> int:
    """Return a duration given in seconds as nanoseconds, truncated to whole milliseconds.

    Args:
        value: The duration in seconds.
        key: Key that an error names.
        minimum: The shortest duration that is accepted, in seconds.
        exclusive: Whether the duration must be above the minimum.
    """
    return int(check_number(value, key, minimum, exclusive) * MS_PER_S) * NS_PER_MS


def milliseconds_to_ns(value: Any, key: str) -> int:
    """Return a duration given in milliseconds, which must be above 0, as nanoseconds."""
    return int(check_number(value, key, exclusive=True) * NS_PER_MS)
