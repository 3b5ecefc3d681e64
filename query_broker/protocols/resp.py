"""The data engines' RESP: arrays of bulk strings, and the ``name=value`` fields within them.

Performs no I/O.
"""

from __future__ import annotations

from collections.abc import Iterator

from .errors import ProtocolError

# Bytes of one bulk string: the largest result, were it one page.
MOST_BULK = 48_000
# Elements of an array: id, kind, fields and body.
MOST_PARTS = 4
# Bytes of a line that holds a length; what is longer has no end.
MOST_LINE = 32
# Bytes up to which copying a part costs less than a piece of its own in a vectored write.
SMALL = 4_096
# Stands in place of fields where there are none.
NO_FIELDS = "-"
# Characters of a peer's text that an error text repeats.
QUOTED_LENGTH = 80


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
    *most, last = parts
    head = b"".join(map(_bulk_string, most))
    if len(last) < SMALL:
        return (b"*%d\r\n%b$%d\r\n%b\r\n" % (len(parts), head, len(last), last),)
    return b"*%d\r\n%b$%d\r\n" % (len(parts), head, len(last)), last, b"\r\n"


class RespParser:
    """Takes bytes as they come; returns complete arrays, also those before a malformed one.

    ``at`` is where the next line begins while arrays are read; ``buffer`` begins with the first
    array that is not complete yet.
    """

    def __init__(self) -> None:
        """Begin at the start of a connection."""
        self.buffer = bytearray()
        self.at = 0

    def feed(self, data: bytes) -> Iterator[list[bytes]]:
        """Add bytes, and yield the arrays that are complete with them.

        Raises:
            MalformedAnswerError: what comes next is no array of bulk strings within the bounds.
        """
        self.buffer += data
        self.at = 0
        end = 0
        while (parts := self._array()) is not None:
            end = self.at
            yield parts
        del self.buffer[:end]

    def _length(self, sign: bytes, most: int) -> int | None:
        """Read a line such as ``*4`` or ``$17``; None until it is complete."""
        buffer = self.buffer
        at = self.at
        if at >= len(buffer):
            return None
        if buffer[at] != sign[0]:
            reason = f"{bytes(buffer[at : at + 1])!r} stands where {sign!r} must"
            raise MalformedAnswerError(reason)
        end = buffer.find(b"\r\n", at, at + MOST_LINE)
        if end < 0:
            if len(buffer) - at >= MOST_LINE:
                reason = "a length without its end"
                raise MalformedAnswerError(reason)
            return None
        digits = bytes(buffer[at + 1 : end])
        if not digits.isdigit() or int(digits) > most:
            reason = f"{digits!r} is no length up to {most}"
            raise MalformedAnswerError(reason)
        self.at = end + 2
        return int(digits)

    def _array(self) -> list[bytes] | None:
        """Read the array that begins at the cursor; None until it is complete."""
        count = self._length(b"*", MOST_PARTS)
        if count is None:
            return None
        buffer = self.buffer
        parts: list[bytes] = []
        for _ in range(count):
            size = self._length(b"$", MOST_BULK)
            if size is None:
                return None
            begin = self.at
            end = begin + size
            if len(buffer) < end + 2:
                return None
            if buffer[end : end + 2] != b"\r\n":
                reason = "a bulk string runs past its length"
                raise MalformedAnswerError(reason)
            parts.append(bytes(buffer[begin:end]))
            self.at = end + 2
        return parts


def read_pairs(raw: bytes, between: str = ",", equals: str = "=") -> dict[str, str]:
    """Read fields such as ``name=value,name=value``, or ``-`` for none.

    Raises:
        MalformedAnswerError: no UTF-8, or a part without a name or without the sign between.
    """
    try:
        text = raw.decode()
    except UnicodeDecodeError:
        reason = "fields that are no text"
        raise MalformedAnswerError(reason) from None
    if text in (NO_FIELDS, ""):
        return {}
    fields: dict[str, str] = {}
    for part in text.split(between):
        name, sign, value = part.partition(equals)
        if not name or sign != equals:
            reason = f"{text[:QUOTED_LENGTH]!r} is no list of name{equals}value"
            raise MalformedAnswerError(reason)
        fields[name] = value
    return fields


def write_pairs(pairs: dict[str, object]) -> bytes:
    """Encode fields; the counterpart of `read_pairs` with its default signs."""
    text = ",".join(f"{name}={value}" for name, value in pairs.items())
    return text.encode() or NO_FIELDS.encode()


def read_load_report(raw: str) -> dict[str, float]:
    """Read a load report, such as ``inflight:7;util:0.61``.

    Raises:
        MalformedAnswerError: it is no list of ``name:value``, or a value is no number.
    """
    try:
        return {name: float(value) for name, value in read_pairs(raw.encode(), ";", ":").items()}
    except ValueError:
        reason = f"meter {raw[:QUOTED_LENGTH]!r} holds no numbers"
        raise MalformedAnswerError(reason) from None
