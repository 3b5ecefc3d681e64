"""Signing keys that the members of an installation share.

Performs no I/O; `key_files.py` reads the file.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from .errors import EmptyKeyFileError, KeyLineError

MAX_KEY_ID = 255
MIN_KEY_BYTES = 16
MAX_KEY_BYTES = 64
COMMENT_PREFIX = "#"


class SigningKey(NamedTuple):
    """A key and the id that messages refer to it by."""

    key_id: int
    secret: bytes


@dataclass(frozen=True, slots=True)
class KeyRing:
    """Keys that verify messages; the first one also signs them.

    To rotate a key without rejected messages, the new key is appended on all members, then moved
    to the front on all members, and then the old key is removed.
    """

    keys: tuple[SigningKey, ...]

    @property
    def signing_key(self) -> SigningKey:
        """The key that signs new messages."""
        return self.keys[0]

    def find(self, key_id: int) -> bytes | None:
        """Return the secret with this id, or None if the ring does not hold it."""
        return next((key.secret for key in self.keys if key.key_id == key_id), None)


def parse_keys(text: str) -> KeyRing:
    """Parse a key file: lines `ID HEX`; empty lines and those that begin with # are skipped.

    Raises:
        KeyLineError: A line is malformed, or its id is already in use.
        EmptyKeyFileError: The text contains no key.
    """
    keys: list[SigningKey] = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.lstrip().startswith(COMMENT_PREFIX):
            continue
        key = _parse_line(number, line)
        if any(other.key_id == key.key_id for other in keys):
            raise KeyLineError(number, f"id {key.key_id} is used twice")
        keys.append(key)
    if not keys:
        raise EmptyKeyFileError
    return KeyRing(tuple(keys))


def _parse_line(number: int, line: str) -> SigningKey:
    parts = line.split()
    try:
        key = SigningKey(int(parts[0]), bytes.fromhex(parts[1]))
    except (ValueError, IndexError):
        raise KeyLineError(number, "is not of the form `ID HEX`") from None
    is_id_valid = 0 <= key.key_id <= MAX_KEY_ID
    is_secret_valid = MIN_KEY_BYTES <= len(key.secret) <= MAX_KEY_BYTES
    if len(parts) != 2 or not is_id_valid or not is_secret_valid:
        raise KeyLineError(
            number,
            f"needs an id of 0 to {MAX_KEY_ID} and a key of {MIN_KEY_BYTES} to {MAX_KEY_BYTES} "
            "bytes",
        )
    return key
