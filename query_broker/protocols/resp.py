"""The engines' RESP: arrays of bulk strings, and the `name=value` fields within. Knows no
socket.
"""

from __future__ import annotations

from collections.abc import Iterator

MOST_BULK = 48_000  # the largest result, were it one page
MOST_PARTS = 4
MOST_LINE = 32
SMALL = 4_096  # bytes up to which a copy costs less than a piece of its own


class BadAnswer(Exception):
    """Bytes that keep no RESP array; nothing after them on this connection can be trusted."""


def encode(*parts: bytes) -> bytes:
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%b\r\n" % (len(p), p) for p in parts)


def pieces(*parts: bytes) -> tuple[bytes, ...]:
    """The same bytes with the last part in a piece of its own: a large statement is not copied."""
    *most, last = parts
    head = b"".join(b"$%d\r\n%b\r\n" % (len(p), p) for p in most)
    if len(last) < SMALL:
        return (b"*%d\r\n%b$%d\r\n%b\r\n" % (len(parts), head, len(last), last),)
    return b"*%d\r\n%b$%d\r\n" % (len(parts), head, len(last)), last, b"\r\n"


class RespParser:
    """Takes bytes as they come; gives whole arrays, also those before a malformed one."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[list[bytes]]:
        self.buffer += data
        at = 0
        while (read := self._array(at)) is not None:
            parts, at = read
            yield parts
        del self.buffer[:at]

    def _number(self, at: int, sign: bytes, most: int) -> tuple[int, int] | None:
        """The number of a line such as `*4` or `$17`, and where the next line begins."""
        buffer = self.buffer
        if at >= len(buffer):
            return None
        if buffer[at] != sign[0]:
            raise BadAnswer(f"{bytes(buffer[at:at + 1])!r} stands where {sign!r} must")
        end = buffer.find(b"\r\n", at, at + MOST_LINE)
        if end < 0:
            if len(buffer) - at >= MOST_LINE:
                raise BadAnswer("a length without its end")
            return None
        digits = bytes(buffer[at + 1 : end])
        if not digits.isdigit() or int(digits) > most:
            raise BadAnswer(f"{digits!r} is no length up to {most}")
        return int(digits), end + 2

    def _array(self, at: int) -> tuple[list[bytes], int] | None:
        head = self._number(at, b"*", MOST_PARTS)
        if head is None:
            return None
        count, at = head
        parts: list[bytes] = []
        for _ in range(count):
            size = self._number(at, b"$", MOST_BULK)
            if size is None:
                return None
            length, at = size
            if len(self.buffer) < at + length + 2:
                return None
            if self.buffer[at + length : at + length + 2] != b"\r\n":
                raise BadAnswer("a bulk string runs past its length")
            parts.append(bytes(self.buffer[at : at + length]))
            at += length + 2
        return parts, at


def read_pairs(raw: bytes, between: str = ",", equals: str = "=") -> dict[str, str]:
    """`name=value,name=value`, or `-` for none."""
    try:
        text = raw.decode()
    except UnicodeDecodeError:
        raise BadAnswer("fields that are no text") from None
    if text in ("-", ""):
        return {}
    pairs = [part.partition(equals) for part in text.split(between)]
    if any(not name or sign != equals for name, sign, _ in pairs):
        raise BadAnswer(f"{text[:80]!r} is no list of name{equals}value")
    return {name: value for name, _, value in pairs}


def write_pairs(pairs: dict[str, object]) -> bytes:
    return ",".join(f"{name}={value}" for name, value in pairs.items()).encode() or b"-"


def read_meter(raw: str) -> dict[str, float]:
    """A load report, `inflight:7;util:0.61`."""
    try:
        return {name: float(value) for name, value in read_pairs(raw.encode(), ";", ":").items()}
    except ValueError:
        raise BadAnswer(f"meter {raw[:80]!r} holds no numbers") from None
