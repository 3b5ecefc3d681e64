"""The data engines' RESP: arrays of bulk strings, and the ``name=value`` fields within them.

Performs no I/O.
"""

from __future__ import annotations

import math
from collections.abc import Iterator

from .errors import ProtocolError

# Largest bulk string: a result of the largest size in one page.
MAX_BULK_BYTES = 48_000
# Elements of an array: tag, kind, fields and body.
MAX_ARRAY_PARTS = 4
# Longest line that holds the length of an array or of a bulk string.
MAX_LENGTH_LINE_BYTES = 32
# Size below which copying a part costs less than a piece of its own in a vectored write.
SMALL_PART_BYTES = 4_096
# Stands in place of fields where there are none.
NO_FIELDS = "-"
# Characters of a peer's text that an error text repeats.
QUOTED_CHARACTERS = 80


class MalformedAnswerError(ProtocolError):
    """Bytes that hold no RESP array; nothing after them on this connection can be trusted."""


def _bulk_string(part: bytes) -> bytes:
    return b"$%d\r\n%b\r\n" % (len(part), part)


def encode(*parts: bytes) -> bytes:
    """Encode one array of bulk strings."""
    return b"*%d\r\n" % len(parts) + b"".join(map(_bulk_string, parts))


def pieces(*parts: bytes) -> tuple[bytes, ...]:
    """Encode one array, with a large last part in a piece of its own.

    Joined, the pieces are what `encode` returns; a large statement is not copied.
    """
    *first_parts, last = parts
    head = b"".join(map(_bulk_string, first_parts))
    if len(last) < SMALL_PART_BYTES:
        return (b"*%d\r\n%b$%d\r\n%b\r\n" % (len(parts), head, len(last), last),)
    return b"*%d\r\n%b$%d\r\n" % (len(parts), head, len(last)), last, b"\r\n"


class RespParser:
    """Takes bytes as they come; returns complete arrays, also those before a malformed one.

    Attributes:
        buffer: The bytes from the first array on that is not complete yet.
        position: Where the next line begins while arrays are read.
    """

    def __init__(self) -> None:
        """Begin at the start of a connection."""
        self.buffer = bytearray()
        self.position = 0

    def feed(self, data: bytes) -> Iterator[list[bytes]]:
        """Add bytes, and yield the arrays that are complete with them.

        Raises:
            MalformedAnswerError: What comes next is no array of bulk strings within the bounds.
        """
        self.buffer += data
        self.position = 0
        end = 0
        while (parts := self._array()) is not None:
            end = self.position
            yield parts
        del self.buffer[:end]

    def _length(self, sign: bytes, max_length: int) -> int | None:
        """Read a line such as ``*4`` or ``$17``; None until it is complete."""
        buffer = self.buffer
        begin = self.position
        if begin >= len(buffer):
            return None
        if buffer[begin] != sign[0]:
            reason = f"{bytes(buffer[begin : begin + 1])!r} stands where {sign!r} must"
            raise MalformedAnswerError(reason)
        end = buffer.find(b"\r\n", begin, begin + MAX_LENGTH_LINE_BYTES)
        if end < 0:
            if len(buffer) - begin >= MAX_LENGTH_LINE_BYTES:
                reason = "a length without its end"
                raise MalformedAnswerError(reason)
            return None
        digits = bytes(buffer[begin + 1 : end])
        if not digits.isdigit() or int(digits) > max_length:
            reason = f"{digits!r} is no length up to {max_length}"
            raise MalformedAnswerError(reason)
        self.position = end + 2
        return int(digits)

    def _array(self) -> list[bytes] | None:
        """Read the array that begins at the cursor; None until it is complete."""
        count = self._length(b"*", MAX_ARRAY_PARTS)
        if count is None:
            return None
        buffer = self.buffer
        parts: list[bytes] = []
        for _ in range(count):
            size = self._length(b"$", MAX_BULK_BYTES)
            if size is None:
                return None
            begin = self.position
            end = begin + size
            if len(buffer) < end + 2:
                return None
            if buffer[end : end + 2] != b"\r\n":
                reason = "a bulk string runs past its length"
                raise MalformedAnswerError(reason)
            parts.append(bytes(buffer[begin:end]))
            self.position = end + 2
        return parts


def read_pairs(raw: bytes, separator: str = ",", equals: str = "=") -> dict[str, str]:
    """Read fields such as ``name=value,name=value``, or ``-`` for none.

    Args:
        raw: The encoded fields.
        separator: The sign between two fields.
        equals: The sign between the name and the value of a field.

    Raises:
        MalformedAnswerError: The bytes are no UTF-8, or a field has no name or no ``equals``.
    """
    try:
        text = raw.decode()
    except UnicodeDecodeError:
        reason = "fields that are no text"
        raise MalformedAnswerError(reason) from None
    if text in (NO_FIELDS, ""):
        return {}
    fields: dict[str, str] = {}
    for part in text.split(separator):
        name, sign, value = part.partition(equals)
        if not name or sign != equals:
            reason = f"{text[:QUOTED_CHARACTERS]!r} is no list of name{equals}value"
            raise MalformedAnswerError(reason)
        fields[name] = value
    return fields


def write_pairs(pairs: dict[str, object]) -> bytes:
    """Encode fields; the counterpart of `read_pairs` with its default signs."""
    text = ",".join(f"{name}={value}" for name, value in pairs.items())
    return text.encode() or NO_FIELDS.encode()


def read_load_report(raw: str) -> dict[str, float]:
    """Read a load report, such as ``inflight:7;util:0.61``.

    A value that is not finite is none: an infinite load would count as pressure on an endpoint that
    may be idle.

    Raises:
        MalformedAnswerError: The text is no list of ``name:value``, or a value is no finite number.
    """
    reason = f"meter {raw[:QUOTED_CHARACTERS]!r} holds no numbers"
    try:
        report = {name: float(value) for name, value in read_pairs(raw.encode(), ";", ":").items()}
    except ValueError:
        raise MalformedAnswerError(reason) from None
    if not all(math.isfinite(value) for value in report.values()):
        raise MalformedAnswerError(reason)
    return report
