"""The clients' binary frames: an incremental parser and the encoders.

A frame is a length (4 bytes, of all that follows), a type (1 byte), a stream (4 bytes) and a
payload; integers are big-endian. Performs no I/O.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from enum import IntEnum
from typing import NamedTuple

from .errors import ProtocolError


class FrameType(IntEnum):
    """What a frame is."""

    REQUEST = 2
    ANSWER = 4
    ABANDON = 8  # the client cancels a request
    ASK_READY = 16  # the client's health check
    READY = 32  # the answer to it
    NO_MORE = 64  # graceful shutdown: no new request on this connection


class AnswerCode(IntEnum):
    """How a request ended: the first byte of an answer's payload."""

    SERVED = 0
    REFUSED = 1  # rejected
    FAILED = 2


REQUEST = FrameType.REQUEST
ANSWER = FrameType.ANSWER
ABANDON = FrameType.ABANDON
ASK_READY = FrameType.ASK_READY
READY = FrameType.READY
NO_MORE = FrameType.NO_MORE
SERVED = AnswerCode.SERVED
REFUSED = AnswerCode.REFUSED
FAILED = AnswerCode.FAILED

# Bytes of the length field itself, which it does not count.
LENGTH_SIZE = 4
# Least value of the length field: a type and a stream, with an empty payload.
LEAST = 5
# Greatest value of the length field that the protocol allows, in bytes.
MOST = 262_144
# Length, type and stream.
HEAD = struct.Struct(">IBI")
# The types that a client may send.
FROM_CLIENT = frozenset({REQUEST, ABANDON, ASK_READY})
# Characters of a field's name that an error text repeats.
QUOTED_NAME_LENGTH = 40
# The field of a rejection that says, in ms, after which time the request may come again.
FIELD_RETRY_AFTER_MS = "pause"
# In the payload of READY.
READY_YES = 0
READY_NO = 1


class MalformedFrameError(ProtocolError):
    """Bytes that hold no frame; nothing after them on this connection can be trusted."""


class Frame(NamedTuple):
    """One complete frame."""

    type: int
    stream: int
    payload: bytes


class FrameHead(NamedTuple):
    """Type and stream of a frame that still waits in the parser."""

    type: int
    stream: int


class FrameFields(NamedTuple):
    """A payload's fields, and the body behind them."""

    fields: dict[str, str]
    body: bytes


class FrameParser:
    """Takes bytes as they come; returns complete frames, also those before a malformed one.

    Invariant: ``at`` never passes the end of ``buffer``, and no frame is skimmed twice.
    """

    def __init__(self) -> None:
        """Begin at the start of a connection."""
        self.buffer = bytearray()
        self.at = 0  # what lies before this has been returned
        self.skimmed = 0  # what lies before this has been skimmed

    def feed(self, data: bytes) -> None:
        """Add bytes, and drop those of the frames that have been returned."""
        del self.buffer[: self.at]
        self.skimmed = max(0, self.skimmed - self.at)
        self.at = 0
        self.buffer += data

    def skim(self, most: int) -> Iterator[FrameHead]:
        """Yield the heads of complete frames that wait to be returned, each frame once.

        At most ``most`` frames are looked at. It ends before a malformed frame, which `next` is to
        report in its turn.
        """
        buffer = self.buffer
        at = max(self.at, self.skimmed)
        for _ in range(most):
            if len(buffer) - at < HEAD.size:
                break
            length, kind, stream = HEAD.unpack_from(buffer, at)
            if not LEAST <= length <= MOST or len(buffer) - at < LENGTH_SIZE + length:
                break
            at += LENGTH_SIZE + length
            yield FrameHead(kind, stream)
        self.skimmed = at

    def next(self) -> Frame | None:
        """Return the next complete frame, or None until more bytes have come.

        A length would be believed before its bytes are there. An impossible one is therefore an
        error at once, and what is buffered never passes the length of one frame.

        Raises:
            MalformedFrameError: the length or the type is none that a client may send.
        """
        buffer = self.buffer
        at = self.at
        available = len(buffer) - at
        if available < LENGTH_SIZE:
            return None
        length = int.from_bytes(buffer[at : at + LENGTH_SIZE], "big")
        if not LEAST <= length <= MOST:
            reason = f"length {length} is not within {LEAST} to {MOST}"
            raise MalformedFrameError(reason)
        if available > LENGTH_SIZE and buffer[at + LENGTH_SIZE] not in FROM_CLIENT:
            reason = f"type {buffer[at + LENGTH_SIZE]} is none that a client sends"
            raise MalformedFrameError(reason)
        if available < LENGTH_SIZE + length:
            return None
        self.at = at + LENGTH_SIZE + length
        _, kind, stream = HEAD.unpack_from(buffer, at)
        return Frame(kind, stream, bytes(buffer[at + HEAD.size : self.at]))

    def buffered(self) -> int:
        """Return how many bytes are here and have not been returned yet."""
        return len(self.buffer) - self.at

    def clear(self) -> None:
        """Drop all that is here."""
        self.buffer.clear()
        self.at = 0
        self.skimmed = 0


def read_fields(payload: bytes) -> FrameFields:
    """Return the fields at the head of a payload, and the body behind them.

    Raises:
        MalformedFrameError: the fields are cut short, repeated or no UTF-8.
    """
    fields: dict[str, str] = {}
    try:
        count = payload[0]
        at = 1
        for _ in range(count):
            name_end = at + 1 + payload[at]
            value_at = name_end + 2
            value_end = value_at + int.from_bytes(payload[name_end:value_at], "big")
            if value_end > len(payload) or value_at > len(payload):
                reason = "the fields end inside a value"
                raise MalformedFrameError(reason)
            name = payload[at + 1 : name_end].decode()
            if name in fields:
                reason = f"the field {name[:QUOTED_NAME_LENGTH]!r} comes twice"
                raise MalformedFrameError(reason)
            fields[name] = payload[value_at:value_end].decode()
            at = value_end
    except IndexError:
        reason = "the fields are cut short"
        raise MalformedFrameError(reason) from None
    except UnicodeDecodeError:
        reason = "a field is no text"
        raise MalformedFrameError(reason) from None
    return FrameFields(fields, payload[at:])


def write_fields(fields: dict[str, str]) -> bytes:
    """Encode the fields of a payload: a count, then each name and value with its length."""
    parts = [bytes((len(fields),))]
    for name, value in fields.items():
        encoded_name = name.encode()
        encoded_value = value.encode()
        parts.append(bytes((len(encoded_name),)))
        parts.append(encoded_name)
        parts.append(len(encoded_value).to_bytes(2, "big"))
        parts.append(encoded_value)
    return b"".join(parts)


def frame(kind: int, stream: int, payload: bytes = b"") -> bytes:
    """Encode one frame."""
    return HEAD.pack(LEAST + len(payload), kind, stream) + payload


def answer(stream: int, code: int, fields: dict[str, str], body: bytes = b"") -> bytes:
    """Encode one complete answer as one frame."""
    return frame(ANSWER, stream, bytes((code,)) + write_fields(fields) + body)


def rejection(stream: int, retry_after_ms: int) -> bytes:
    """Encode the answer to a request that is rejected."""
    return answer(stream, REFUSED, {FIELD_RETRY_AFTER_MS: str(retry_after_ms)})


def ready(stream: int, yes: bool) -> bytes:
    """Encode the answer to a health check; its payload has no fields."""
    state = READY_YES if yes else READY_NO
    return frame(READY, stream, bytes((state, 0)))
