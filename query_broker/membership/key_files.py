"""Reading of the key file and the seeds file."""

from __future__ import annotations

from .errors import KeyFileError
from .keys import COMMENT_PREFIX, KeyRing, parse_keys

MAX_FILE_CHARACTERS = 65_536


def read_key_file(path: str) -> KeyRing:
    """Read the signing keys.

    Raises:
        KeyFileError: The file cannot be read, or its content is invalid.
    """
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read(MAX_FILE_CHARACTERS)
    except (OSError, UnicodeDecodeError) as error:
        raise KeyFileError(str(error)) from None
    return parse_keys(text)


def read_seeds_file(path: str) -> list[str]:
    """Read addresses, one in a line; empty lines and those that begin with # are skipped.

    Raises:
        OSError: The file cannot be read.
        UnicodeDecodeError: The file is not UTF-8.
    """
    with open(path, encoding="utf-8") as file:
        lines = file.read(MAX_FILE_CHARACTERS).splitlines()
    return [line.strip() for line in lines if line.strip() and not line.startswith(COMMENT_PREFIX)]
