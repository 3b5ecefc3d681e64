"""The clients' binary frames: an incremental parser and the encoders. Knows no socket."""

from __future__ import annotations

import struct
from collections.abc import Iterator
from typing import NamedTuple

REQUEST, ANSWER, ABANDON, ASK_READY, READY, NO_MORE = 2, 4, 8, 16, 32, 64
SERVED, REFUSED, FAILED = 0, 1, 2
LEAST, MOST = 5, 262_144  # of a frame's length field
HEAD = struct.Struct(">IBI")
FROM_CLIENT = frozenset({REQUEST, ABANDON, ASK_READY})


class BadFrame(Exception):
    """Bytes that keep no frame; nothing after them on this connection can be trusted."""


class Frame(NamedTuple):
    type: int
    stream: int
    payload: bytes


class FrameParser:
    """Takes bytes as they come; gives whole frames, also those before a broken one."""

    def __init__(self) -> None:
        self.buffer = bytearray()
        self.at = 0  # up to here it has been given out
        self.skimmed = 0  # up to here `skim` has looked

    def feed(self, data: bytes) -> None:
        del self.buffer[: self.at]
        self.skimmed = max(0, self.skimmed - self.at)
        self.at = 0
        self.buffer += data

    def skim(self, most: int) -> Iterator[tuple[int, int]]:
        """Type and stream of whole frames that wait to be given out, each once, so many at the
        most.
        """
        buffer, at = self.buffer, max(self.at, self.skimmed)
        for _ in range(most):
            if len(buffer) - at < HEAD.size:
                break
            length, kind, stream = HEAD.unpack_from(buffer, at)
            if not LEAST <= length <= MOST or len(buffer) - at < 4 + length:
                break
            at += 4 + length
            yield kind, stream
        self.skimmed = at

    def next(self) -> Frame | None:
        """Danger: a length is believed before its bytes are there: an impossible one is an error at
        once, and what is held never passes one frame's length.
        """
        buffer, at = self.buffer, self.at
        if len(buffer) - at < 4:
            return None
        length = int.from_bytes(buffer[at : at + 4], "big")
        if not LEAST <= length <= MOST:
            raise BadFrame(f"length {length} is not within {LEAST} to {MOST}")
        if len(buffer) - at >= 5 and buffer[at + 4] not in FROM_CLIENT:
            raise BadFrame(f"type {buffer[at + 4]} is none that a client sends")
        if len(buffer) - at < 4 + length:
            return None
        self.at = at + 4 + length
        _, kind, stream = HEAD.unpack_from(buffer, at)
        return Frame(kind, stream, bytes(buffer[at + HEAD.size : self.at]))

    def held(self) -> int:
        """Bytes that are here and not given out yet."""
        return len(self.buffer) - self.at

    def clear(self) -> None:
        self.buffer.clear()
        self.at = self.skimmed = 0


def read_fields(payload: bytes) -> tuple[dict[str, str], bytes]:
    """The fields at the head of a payload, and the body behind them."""
    fields: dict[str, str] = {}
    try:
        count, at = payload[0], 1
        for _ in range(count):
            name_end = at + 1 + payload[at]
            value_at = name_end + 2
            value_end = value_at + int.from_bytes(payload[name_end:value_at], "big")
            if value_end > len(payload) or value_at > len(payload):
                raise BadFrame("the fields end inside a value")
            name = payload[at + 1 : name_end].decode()
            if name in fields:
                raise BadFrame(f"the field {name[:40]!r} comes twice")
            fields[name] = payload[value_at:value_end].decode()
            at = value_end
    except IndexError:
        raise BadFrame("the fields are cut short") from None
    except UnicodeDecodeError:
        raise BadFrame("a field is no text") from None
    return fields, payload[at:]


def write_fields(fields: dict[str, str]) -> bytes:
    parts = [bytes((len(fields),))]
    for name, value in fields.items():
        raw_name, raw_value = name.encode(), value.encode()
        parts.append(
            bytes((len(raw_name),)) + raw_name + len(raw_value).to_bytes(2, "big") + raw_value
        )
    return b"".join(parts)


def frame(kind: int, stream: int, payload: bytes = b"") -> bytes:
    return HEAD.pack(5 + len(payload), kind, stream) + payload


def answer(stream: int, code: int, fields: dict[str, str], body: bytes = b"") -> bytes:
    """One whole answer as one frame."""
    return frame(ANSWER, stream, bytes((code,)) + write_fields(fields) + body)


def ready(stream: int, yes: bool) -> bytes:
    return frame(READY, stream, bytes((0 if yes else 1, 0)))
