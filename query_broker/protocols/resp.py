"""RESP as the data engines use it: arrays of bulk strings, and ``name=value`` fields in them.

Performs no I/O.
"""

from __future__ import annotations

import math
from collections.abc import Iterator

from .errors import ProtocolError

# Largest bulk string: the largest result, in one page.
MAX_BULK_BYTES = 48_000
# Most elements of an array: tag, kind, fields and body.
MAX_ARRAY_PARTS = 4
# Longest line that holds the length of an array or of a bulk string.
MAX_LENGTH_LINE_BYTES = 32
# Below this size, copying a part costs less than a separate piece in a vectored write.
MIN_SEPARATE_PART_BYTES = 4_096
# Encoding of an empty list of fields.
NO_FIELDS = "-"
# Characters of the engine's text that an error message quotes.
QUOTED_CHARACTERS = 80


class MalformedAnswerError(ProtocolError):
    """Bytes that are not a valid answer; nothing after them on this connection can be trusted."""


def _bulk_string(part: bytes) -> bytes:
    return b"$%d\r\n%b\r\n" % (len(part), part)


def encode(*parts: bytes) -> bytes:
    """Encode one array of bulk strings."""
    return b"*%d\r\n" % len(parts) + b"".join(map(_bulk_string, parts))


def pieces(*parts: bytes) -> tuple[bytes, ...]:
    """Encode one array, with a large last part as a separate piece.

    The joined pieces equal the result of `encode`; a large statement is not copied.
    """
    *first_parts, last_part = parts
    encoded_first_parts = b"".join(map(_bulk_string, first_parts))
    if len(last_part) < MIN_SEPARATE_PART_BYTES:
        return (
            b"*%d\r\n%b$%d\r\n%b\r\n"
            % (len(parts), encoded_first_parts, len(last_part), last_part),
        )
    return (
        b"*%d\r\n%b$%d\r\n" % (len(parts), encoded_first_parts, len(last_part)),
        last_part,
        b"\r\n",
    )


class RespParser:
    """An incremental parser; it returns complete arrays, including those before a malformed one.

    Attributes:
        buffer: The received bytes, from the start of the first incomplete array.
        position: Offset in the buffer of the next line to parse.
    """

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self.buffer = bytearray()
        self.position = 0

    def feed(self, data: bytes) -> Iterator[list[bytes]]:
        """Add bytes, and yield the arrays that have become complete.

        Raises:
            MalformedAnswerError: The next bytes are not an array of bulk strings within the limits.
        """
        self.buffer += data
        self.position = 0
        end = 0
        while (parts := self._read_array()) is not None:
            end = self.position
            yield parts
        del self.buffer[:end]

    def _read_length(self, type_byte: bytes, max_length: int) -> int | None:
        """Read a length line such as ``*4`` or ``$17``; return None until it is complete."""
        buffer = self.buffer
        begin = self.position
        if begin >= len(buffer):
            return None
        if buffer[begin] != type_byte[0]:
            reason = f"found {bytes(buffer[begin : begin + 1])!r} instead of {type_byte!r}"
            raise MalformedAnswerError(reason)
        end = buffer.find(b"\r\n", begin, begin + MAX_LENGTH_LINE_BYTES)
        if end < 0:
            if len(buffer) - begin >= MAX_LENGTH_LINE_BYTES:
                reason = "length line is too long"
                raise MalformedAnswerError(reason)
            return None
        digits = bytes(buffer[begin + 1 : end])
        if not digits.isdigit() or int(digits) > max_length:
            reason = f"length {digits!r} is not a number from 0 to {max_length}"
            raise MalformedAnswerError(reason)
        self.position = end + 2
        return int(digits)

    def _read_array(self) -> list[bytes] | None:
        """Read the array that begins at ``position``; return None until it is complete."""
        count = self._read_length(b"*", MAX_ARRAY_PARTS)
        if count is None:
            return None
        buffer = self.buffer
        parts: list[bytes] = []
        for _ in range(count):
            size = self._read_length(b"$", MAX_BULK_BYTES)
            if size is None:
                return None
            begin = self.position
            end = begin + size
            if len(buffer) < end + 2:
                return None
            if buffer[end : end + 2] != b"\r\n":
                reason = "bulk string is longer than its stated length"
                raise MalformedAnswerError(reason)
            parts.append(bytes(buffer[begin:end]))
            self.position = end + 2
        return parts


def read_pairs(raw: bytes, separator: str = ",", equals: str = "=") -> dict[str, str]:
    """Read fields such as ``name=value,name=value``, or ``-`` for none.

    Args:
        raw: The encoded fields.
        separator: The character between two fields.
        equals: The character between the name and the value of a field.

    Raises:
        MalformedAnswerError: The bytes are not valid UTF-8, or a field lacks its name or
            ``equals``.
    """
    try:
        text = raw.decode()
    except UnicodeDecodeError:
        reason = "fields are not valid UTF-8"
        raise MalformedAnswerError(reason) from None
    if text in (NO_FIELDS, ""):
        return {}
    fields: dict[str, str] = {}
    for part in text.split(separator):
        name, delimiter, value = part.partition(equals)
        if not name or delimiter != equals:
            reason = f"{text[:QUOTED_CHARACTERS]!r} is not a list of name{equals}value fields"
            raise MalformedAnswerError(reason)
        fields[name] = value
    return fields


def write_pairs(pairs: dict[str, object]) -> bytes:
    """Encode fields; the inverse of `read_pairs` with its default separators."""
    text = ",".join(f"{name}={value}" for name, value in pairs.items())
    return text.encode() or NO_FIELDS.encode()


def read_load_report(raw: str) -> dict[str, float]:
    """Read a load report, such as ``inflight:7;util:0.61``.

    Values that are not finite are rejected: an infinite load would count as pressure on an endpoint
    that may be idle.

    Raises:
        MalformedAnswerError: The text is not a list of ``name:value`` fields, or a value is not a
            finite number.
    """
    reason = f"load report {raw[:QUOTED_CHARACTERS]!r} has a value that is not a finite number"
    try:
        report = {name: float(value) for name, value in read_pairs(raw.encode(), ";", ":").items()}
    except ValueError:
        raise MalformedAnswerError(reason) from None
    if not all(math.isfinite(value) for value in report.values()):
        raise MalformedAnswerError(reason)
    return report
