"""The frames of the clients' binary protocol: an incremental parser and the encoders.

A frame consists of a length (4 bytes; the size of the rest of the frame), a type (1 byte), a stream
(4 bytes) and a payload; integers are big-endian. Performs no I/O.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from enum import IntEnum
from typing import NamedTuple

from .errors import ProtocolError


class FrameType(IntEnum):
    """The type of a frame, by its value on the wire.

    Attributes:
        REQUEST: A client's request.
        ANSWER: The final answer to a request.
        ABANDON: The client cancels a request.
        ASK_READY: A client's health check.
        READY: The answer to a health check.
        NO_MORE: Graceful shutdown: the client must send no new request on this connection.
    """

    REQUEST = 2
    ANSWER = 4
    ABANDON = 8
    ASK_READY = 16
    READY = 32
    NO_MORE = 64


class AnswerCode(IntEnum):
    """The kind of final answer: the first byte of an answer's payload.

    Attributes:
        SERVED: The body of the answer is the result.
        REFUSED: The request was rejected and has not run.
        FAILED: The request has failed, and may have run.
    """

    SERVED = 0
    REFUSED = 1
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

# Size of the length field, which its value does not include.
LENGTH_FIELD_BYTES = 4
# Smallest value of the length field: a type and a stream, with an empty payload.
MIN_FRAME_LENGTH = 5
# Largest value of the length field that the protocol allows.
MAX_FRAME_LENGTH = 262_144
# Returned frames of fewer bytes stay in the buffer until more bytes arrive.
MIN_RELEASED_BYTES = 4_096
# Length, type and stream.
HEAD = struct.Struct(">IBI")
# The types that a client may send.
CLIENT_FRAME_TYPES = frozenset({REQUEST, ABANDON, ASK_READY})
# Size of the length that precedes a field's value; a name's length takes one byte.
VALUE_LENGTH_BYTES = 2
# Characters of a field's name that an error message quotes.
QUOTED_NAME_CHARACTERS = 40
# The field of a rejection that holds the retry-after time in milliseconds.
FIELD_RETRY_AFTER_MS = "pause"
# The first byte of the payload of READY; the second is the count of fields, which is 0.
READY_YES = 0
READY_NO = 1


class MalformedFrameError(ProtocolError):
    """Bytes that are not a valid frame; nothing after them on this connection can be trusted."""


class Frame(NamedTuple):
    """One complete frame."""

    type: int
    stream: int
    payload: bytes


class FrameHead(NamedTuple):
    """Type and stream of a complete frame that is still in the parser."""

    type: int
    stream: int


class FrameFields(NamedTuple):
    """The fields of a payload, and the body after them."""

    fields: dict[str, str]
    body: bytes


class FrameParser:
    """An incremental parser; it returns complete frames, including those before a malformed one.

    Invariant: neither position passes the end of ``buffer``, and no frame is skimmed twice.

    Attributes:
        buffer: The received bytes that `feed` and `release_returned` have not dropped.
        read_position: Offset of the next frame; all frames before it have been returned.
        skim_position: Offset where `skim` continues; all frames before it have been skimmed.
    """

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self.buffer = bytearray()
        self.read_position = 0
        self.skim_position = 0

    def feed(self, data: bytes | memoryview) -> None:
        """Add bytes, and drop those of the frames that have been returned."""
        self._drop_returned()
        self.buffer += data

    def release_returned(self) -> None:
        """Free the memory of the frames that have been returned, if it is worth a copy."""
        if self.read_position >= MIN_RELEASED_BYTES:
            self._drop_returned()

    def _drop_returned(self) -> None:
        del self.buffer[: self.read_position]
        self.skim_position = max(0, self.skim_position - self.read_position)
        self.read_position = 0

    def skim(self, max_frames: int) -> Iterator[FrameHead]:
        """Yield the heads of complete frames that `next` has not returned, each frame once.

        At most ``max_frames`` heads are yielded. The iteration ends before a malformed frame, which
        `next` reports later.
        """
        buffer = self.buffer
        position = max(self.read_position, self.skim_position)
        for _ in range(max_frames):
            if len(buffer) - position < HEAD.size:
                break
            length, frame_type, stream = HEAD.unpack_from(buffer, position)
            if (
                not MIN_FRAME_LENGTH <= length <= MAX_FRAME_LENGTH
                or len(buffer) - position < LENGTH_FIELD_BYTES + length
            ):
                break
            position += LENGTH_FIELD_BYTES + length
            yield FrameHead(frame_type, stream)
        self.skim_position = position

    def next(self) -> Frame | None:
        """Return the next frame, or None while it is incomplete.

        A length out of range raises before the rest of the frame has arrived, so that the buffer
        never grows beyond one frame of the largest length.

        Raises:
            MalformedFrameError: The length is out of range, or clients may not send this type.
        """
        buffer = self.buffer
        begin = self.read_position
        available = len(buffer) - begin
        if available < LENGTH_FIELD_BYTES:
            return None
        length = int.from_bytes(buffer[begin : begin + LENGTH_FIELD_BYTES], "big")
        if not MIN_FRAME_LENGTH <= length <= MAX_FRAME_LENGTH:
            reason = f"length {length} is not within {MIN_FRAME_LENGTH} to {MAX_FRAME_LENGTH}"
            raise MalformedFrameError(reason)
        if (
            available > LENGTH_FIELD_BYTES
            and buffer[begin + LENGTH_FIELD_BYTES] not in CLIENT_FRAME_TYPES
        ):
            reason = f"type {buffer[begin + LENGTH_FIELD_BYTES]} is none that a client sends"
            raise MalformedFrameError(reason)
        if available < LENGTH_FIELD_BYTES + length:
            return None
        end = begin + LENGTH_FIELD_BYTES + length
        self.read_position = end
        _, frame_type, stream = HEAD.unpack_from(buffer, begin)
        return Frame(frame_type, stream, bytes(buffer[begin + HEAD.size : end]))

    def holds_more_than_one_frame(self) -> bool:
        """Return whether the buffer holds bytes beyond the next frame."""
        begin = self.read_position
        available = len(self.buffer) - begin
        if available <= HEAD.size:
            return False
        length = int.from_bytes(self.buffer[begin : begin + LENGTH_FIELD_BYTES], "big")
        return available > LENGTH_FIELD_BYTES + length

    def next_frame_bytes(self) -> int:
        """Return the size of the next frame; 0 if it is incomplete or malformed."""
        available = self.buffered_bytes()
        begin = self.read_position
        length = int.from_bytes(self.buffer[begin : begin + LENGTH_FIELD_BYTES], "big")
        size_bytes = LENGTH_FIELD_BYTES + length
        is_valid = MIN_FRAME_LENGTH <= length <= MAX_FRAME_LENGTH
        return size_bytes if is_valid and available >= size_bytes else 0

    def missing_bytes(self) -> int:
        """Return how many bytes the next frame still needs, once its length has been received.

        Returns 0 before that, and if the frame is complete or malformed.
        """
        available = self.buffered_bytes()
        if available < LENGTH_FIELD_BYTES:
            return 0
        begin = self.read_position
        length = int.from_bytes(self.buffer[begin : begin + LENGTH_FIELD_BYTES], "big")
        return max(0, min(length, MAX_FRAME_LENGTH) + LENGTH_FIELD_BYTES - available)

    def buffered_bytes(self) -> int:
        """Return the number of received bytes whose frames have not been returned yet."""
        return len(self.buffer) - self.read_position

    def clear(self) -> None:
        """Drop all buffered bytes."""
        self.buffer.clear()
        self.read_position = 0
        self.skim_position = 0


def read_fields(payload: bytes) -> FrameFields:
    """Return the fields at the start of a payload, and the body after them.

    Raises:
        MalformedFrameError: The fields are truncated, repeated or not valid UTF-8.
    """
    fields: dict[str, str] = {}
    try:
        count = payload[0]
        position = 1
        for _ in range(count):
            name_begin = position + 1
            name_end = name_begin + payload[position]
            value_begin = name_end + VALUE_LENGTH_BYTES
            value_end = value_begin + int.from_bytes(payload[name_end:value_begin], "big")
            if value_end > len(payload) or value_begin > len(payload):
                reason = "the fields end inside a value"
                raise MalformedFrameError(reason)
            name = payload[name_begin:name_end].decode()
            if name in fields:
                reason = f"the field {name[:QUOTED_NAME_CHARACTERS]!r} comes twice"
                raise MalformedFrameError(reason)
            fields[name] = payload[value_begin:value_end].decode()
            position = value_end
    except IndexError:
        reason = "the fields are cut short"
        raise MalformedFrameError(reason) from None
    except UnicodeDecodeError:
        reason = "a field is no text"
        raise MalformedFrameError(reason) from None
    return FrameFields(fields, payload[position:])


def write_fields(fields: dict[str, str]) -> bytes:
    """Encode the fields of a payload: a count, then each name and value with its length."""
    parts = [bytes((len(fields),))]
    for name, value in fields.items():
        encoded_name = name.encode()
        encoded_value = value.encode()
        parts.append(bytes((len(encoded_name),)))
        parts.append(encoded_name)
        parts.append(len(encoded_value).to_bytes(VALUE_LENGTH_BYTES, "big"))
        parts.append(encoded_value)
    return b"".join(parts)


def frame(frame_type: int, stream: int, payload: bytes = b"") -> bytes:
    """Encode one frame; ``frame_type`` is a `FrameType`."""
    return HEAD.pack(MIN_FRAME_LENGTH + len(payload), frame_type, stream) + payload


def answer(stream: int, code: int, fields: dict[str, str], body: bytes = b"") -> bytes:
    """Encode one complete answer as one frame; ``code`` is an `AnswerCode`."""
    return frame(ANSWER, stream, bytes((code,)) + write_fields(fields) + body)


def rejection(stream: int, retry_after_ms: int) -> bytes:
    """Encode the answer to a request that is rejected."""
    return answer(stream, REFUSED, {FIELD_RETRY_AFTER_MS: str(retry_after_ms)})


def ready(stream: int, is_ready: bool) -> bytes:
    """Encode the answer to a health check; its payload has no fields."""
    state = READY_YES if is_ready else READY_NO
    return frame(READY, stream, bytes((state, 0)))
