"""Addresses of members, as text."""

from __future__ import annotations

MAX_LOGGED_ADDRESS_CHARACTERS = 60


def split_address(text: str) -> tuple[str, int]:
    """Split `host:port`.

    Raises:
        ValueError: The port is not a number.
    """
    host, _, port = text.rpartition(":")
    return host, int(port)
