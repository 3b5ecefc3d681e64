"""The write queue of a connection: the order of frames, and their withdrawal."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from query_broker.deadlines.write_queue import CONTROL_PRIORITY, Frame, WriteQueue, remaining_pieces
from query_broker.protocols import resp


class WriteQueueSocket:
    """A write queue, and a socket that accepts as many bytes as the test tells it to.

    Attributes:
        begun: The frames whose first byte was written, in order.
        written: The frames that were written completely, in order.
        stopped: The frames that the check before the first byte stops.
        content: The bytes of each frame.
    """

    def __init__(self) -> None:
        self.begun: list[object] = []
        self.written: list[object] = []
        self.queue = WriteQueue(self)
        self.sent = b""
        self.stopped: set[object] = set()
        self.content: dict[object, bytes] = {}

    def release_frame(self, frame: Frame) -> tuple[bytes, ...] | None:
        """Return the pieces to write for a frame; None if the frame is stopped."""
        return None if frame.subject in self.stopped else frame.pieces

    def frame_started(self, subject: object) -> None:
        """Record a frame whose first byte was written."""
        self.begun.append(subject)

    def frame_written(self, subject: object) -> None:
        """Record a frame that was written completely."""
        self.written.append(subject)

    def enqueue(self, name: str, level: int = 1, size: int = 10) -> None:
        """Enqueue a frame of two pieces that repeat the first letter of its name."""
        lower = name[:1].encode() * (size // 2)
        upper = name[:1].upper().encode() * (size - size // 2)
        pieces = (lower, upper)
        self.content[name] = b"".join(pieces)
        if self.queue.enqueue(Frame(pieces, name.encode(), level, size, name)):
            self.flush(0)

    def flush(self, max_bytes: int) -> None:
        """Write frames until the socket has accepted this many bytes."""
        bytes_left = max_bytes
        while pieces := self.queue.next():
            data = b"".join(pieces)[:bytes_left]
            bytes_left -= len(data)
            self.sent += data
            if not self.queue.record_written(len(data)):
                return


@pytest.fixture
def connection() -> WriteQueueSocket:
    """A connection with an empty write queue."""
    return WriteQueueSocket()


def test_frames_are_written_by_priority_after_the_partly_written_frame(
    connection: WriteQueueSocket,
) -> None:
    levels = {"a": 1, "b": 0, "c": 3, "d": CONTROL_PRIORITY, "e": 3}
    for name, level in levels.items():
        connection.enqueue(name, level)
    connection.flush(3)
    assert connection.begun == ["d"]
    assert connection.sent == b"ddd"
    connection.enqueue("f", CONTROL_PRIORITY)  # not before the rest of the frame that has begun
    connection.flush(1_000)
    assert connection.written == ["d", "f", "c", "e", "a", "b"]


def test_a_frame_can_be_withdrawn_only_before_its_first_byte(
    connection: WriteQueueSocket,
) -> None:
    for name in "abc":
        connection.enqueue(name)
    assert connection.queue.withdraw(b"b")
    assert not connection.queue.withdraw(b"b")
    assert not connection.queue.withdraw(b"z")
    connection.flush(1)
    assert not connection.queue.withdraw(b"a")
    assert connection.queue.withdraw(b"c")
    assert not connection.queue.empty()
    connection.flush(100)
    assert connection.sent == b"aaaaaAAAAA"
    assert connection.queue.empty()
    assert connection.queue.waiting_bytes == 0


def test_a_frame_is_checked_right_before_its_first_byte(connection: WriteQueueSocket) -> None:
    for name in "abc":
        connection.enqueue(name)
    connection.stopped = {"a", "c"}
    connection.flush(100)
    assert connection.written == ["b"]
    assert not connection.queue.by_key
    connection.enqueue("c")  # the key can be used again: the stopped frame has left the queue
    assert connection.queue.withdraw(b"c")


def test_a_write_queue_is_full_at_its_frame_limit(connection: WriteQueueSocket) -> None:
    for number in range(64):
        connection.enqueue(f"{number}")
    assert connection.queue.full()
    connection.flush(25)
    assert not connection.queue.full()
    connection.queue.abandon()
    assert connection.queue.empty()
    assert connection.queue.waiting_bytes == 0
    assert not connection.queue.next()


def test_the_priority_of_a_waiting_frame_can_be_changed(connection: WriteQueueSocket) -> None:
    for name in "abc":
        connection.enqueue(name)
    assert connection.queue.raise_priority(b"c", 3)
    assert connection.queue.raise_priority(b"b", 1)
    assert not connection.queue.raise_priority(b"z", 3)
    connection.flush(100)
    assert connection.written == ["c", "a", "b"]


@settings(max_examples=200)
@given(
    st.lists(
        st.tuples(st.sampled_from(["put", "back", "flush", "stop", "level"]), st.integers(0, 25))
    )
)
def test_complete_frames_leave_or_none_of_them(steps: list[tuple[str, int]]) -> None:
    connection = WriteQueueSocket()
    queue = connection.queue
    withdrawn: set[object] = set()
    names: list[str] = []
    for action, number in steps:
        name = names[number % len(names)] if names else ""
        if action == "put":
            count = len(names) + 1
            names.append(f"{chr(97 + count % 26)}{count}")
            connection.enqueue(names[-1], number % 5, 2 + number)
        elif action == "flush":
            connection.flush(number)
        elif action == "back" and queue.withdraw(name.encode()):
            withdrawn.add(name)
        elif action == "stop" and name not in connection.begun:
            connection.stopped.add(name)
        elif action == "level":
            queue.raise_priority(name.encode(), number % 4)
        assert queue.waiting_bytes == sum(frame.size_bytes for frame in queue.by_key.values())
    connection.flush(1 << 20)
    assert queue.empty()
    assert not withdrawn & set(connection.begun)
    assert connection.begun == connection.written
    stopped = (connection.stopped & set(names)) - set(connection.written)
    assert set(names) == set(connection.written) | withdrawn | stopped
    assert connection.sent == b"".join(connection.content[name] for name in connection.written)


def test_large_statements_are_not_copied() -> None:
    statement = b"x" * 200_000
    pieces = resp.pieces(b"do", b"1", b"-", statement)
    assert any(piece is statement for piece in pieces)
    assert b"".join(pieces) == resp.encode(b"do", b"1", b"-", statement)
    assert resp.pieces(b"do", b"1") == (resp.encode(b"do", b"1"),)
    views = remaining_pieces(pieces, len(pieces[0]) + 10)
    assert b"".join(views) == b"".join(pieces)[len(pieces[0]) + 10 :]
    assert any(getattr(view, "obj", None) is statement for view in views)
