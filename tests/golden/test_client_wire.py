"""Golden form of what clients, engines and the simulator read: frames and lines, byte for byte."""

from __future__ import annotations

import asyncio
import io
import json
import socket
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any, cast
from unittest.mock import create_autospec

import pytest

from query_broker import decisions as api
from query_broker.dispatch.requests import ActiveRequest, Attempt
from query_broker.protocols import client_frames as frames
from query_broker.protocols import resp
from query_broker.protocols.engine_connection import EngineConnection, Owner
from query_broker.simulator_adapter import Adapter, _render

from ..support.sockets import Engine, make_config, on_uvloop, running, target_entry, until, within

MS = 1_000_000
NOW = 1_700_000_000_000 * MS
ID = b"9b1f03aa5c7e2d41"

# --- frames ---

ENCODED: list[tuple[str, bytes, bytes]] = [
    (
        "served",
        frames.answer(1, frames.SERVED, {}, b"a\tb\tc\n"),
        b"\x00\x00\x00\x0d\x04\x00\x00\x00\x01\x00\x00a\tb\tc\n",
    ),
    (
        "refused",
        frames.answer(258, frames.REFUSED, {"pause": "250"}),
        b"\x00\x00\x00\x12\x04\x00\x00\x01\x02\x01\x01\x05pause\x00\x03250",
    ),
    (
        "failed",
        frames.answer(7, frames.FAILED, {}, b"no"),
        b"\x00\x00\x00\x09\x04\x00\x00\x00\x07\x02\x00no",
    ),
    (
        "failed on no stream",
        frames.answer(0, frames.FAILED, {}, b""),
        b"\x00\x00\x00\x07\x04\x00\x00\x00\x00\x02\x00",
    ),
    ("ready", frames.ready(9, True), b"\x00\x00\x00\x07\x20\x00\x00\x00\x09\x00\x00"),
    ("not ready", frames.ready(9, False), b"\x00\x00\x00\x07\x20\x00\x00\x00\x09\x01\x00"),
    ("no more", frames.frame(frames.NO_MORE, 0), b"\x00\x00\x00\x05\x40\x00\x00\x00\x00"),
    ("fields", frames.write_fields({"a": "b", "ä": ""}), b"\x02\x01a\x00\x01b\x02\xc3\xa4\x00\x00"),
    ("array", resp.encode(b"do", b"", b"x y"), b"*3\r\n$2\r\ndo\r\n$0\r\n\r\n$3\r\nx y\r\n"),
    ("pairs", resp.write_pairs({"cls": "glance", "limit": 5}), b"cls=glance,limit=5"),
    ("no pairs", resp.write_pairs({}), b"-"),
]


@pytest.mark.parametrize(
    ("encoded", "wire"), [pytest.param(*case, id=name) for name, *case in ENCODED]
)
def test_encoded_bytes(encoded: bytes, wire: bytes) -> None:
    assert encoded == wire


def test_a_large_statement_is_a_piece_of_its_own() -> None:
    statement = b"s" * 5_000
    assert resp.pieces(b"do", statement) == (
        b"*2\r\n$2\r\ndo\r\n$5000\r\n",
        statement,
        b"\r\n",
    )


# --- answers to clients ---

FIELDS = {
    "route": "glance",
    "trace": ID.decode(),
    "patience": "4000",
    "customer": "acme",
    "weight": "10.0",
    "ram": "16",
}
# What the client sends, and all that it gets before the broker ends its side or it has this much.
EXCHANGES: list[tuple[str, bytes, bytes]] = [
    (
        "served",
        (
            b"\x00\x00\x00g\x02\x00\x00\x00\x01\x06\x05route\x00\x06glance\x05trace\x00\x109b1f"
            b"03aa5c7e2d41\x08patience\x00\x044000\x08customer\x00\x04acme\x06weight\x00\x0410."
            b"0\x03ram\x00\x0216SELECT 1"
        ),
        b"\x00\x00\x00\r\x04\x00\x00\x00\x01\x00\x00a\tb\tc\n",
    ),
    (
        "ready",
        b"\x00\x00\x00\x06\x10\x00\x00\x00\t\x00",
        b"\x00\x00\x00\x07 \x00\x00\x00\t\x00\x00",
    ),
    (
        "no class",
        (
            b"\x00\x00\x00h\x02\x00\x00\x00\x01\x06\x05route\x00\x07unheard\x05trace\x00\x109b1"
            b"f03aa5c7e2d41\x08patience\x00\x044000\x08customer\x00\x04acme\x06weight\x00\x0410"
            b".0\x03ram\x00\x0216SELECT 1"
        ),
        (
            b"\x00\x00\x003\x04\x00\x00\x00\x01\x02\x00route: 'unheard' is no class of the sett"
            b"ings"
        ),
    ),
    (
        "no route",
        (
            b"\x00\x00\x00Y\x02\x00\x00\x00\x01\x05\x05trace\x00\x109b1f03aa5c7e2d41\x08patienc"
            b"e\x00\x044000\x08customer\x00\x04acme\x06weight\x00\x0410.0\x03ram\x00\x0216SELEC"
            b"T 1"
        ),
        b"\x00\x00\x00\x18\x04\x00\x00\x00\x01\x02\x00route: is missing",
    ),
    (
        "no trace",
        (
            b"\x00\x00\x00O\x02\x00\x00\x00\x01\x05\x05route\x00\x06glance\x08patience\x00\x044"
            b"000\x08customer\x00\x04acme\x06weight\x00\x0410.0\x03ram\x00\x0216SELECT 1"
        ),
        b"\x00\x00\x00\x18\x04\x00\x00\x00\x01\x02\x00trace: is missing",
    ),
    (
        "bad trace",
        (
            b"\x00\x00\x00Z\x02\x00\x00\x00\x01\x06\x05route\x00\x06glance\x05trace\x00\x03xyz"
            b"\x08patience\x00\x044000\x08customer\x00\x04acme\x06weight\x00\x0410.0\x03ram\x00"
            b"\x0216SELECT 1"
        ),
        b'\x00\x00\x00"\x04\x00\x00\x00\x01\x02\x00trace: is not 16 hex digits',
    ),
    (
        "no patience",
        (
            b"\x00\x00\x00X\x02\x00\x00\x00\x01\x05\x05route\x00\x06glance\x05trace\x00\x109b1f"
            b"03aa5c7e2d41\x08customer\x00\x04acme\x06weight\x00\x0410.0\x03ram\x00\x0216SELECT"
            b" 1"
        ),
        b"\x00\x00\x00\x1b\x04\x00\x00\x00\x01\x02\x00patience: is missing",
    ),
    (
        "patience no number",
        (
            b"\x00\x00\x00g\x02\x00\x00\x00\x01\x06\x05route\x00\x06glance\x05trace\x00\x109b1f"
            b"03aa5c7e2d41\x08patience\x00\x04soon\x08customer\x00\x04acme\x06weight\x00\x0410."
            b"0\x03ram\x00\x0216SELECT 1"
        ),
        b"\x00\x00\x00.\x04\x00\x00\x00\x01\x02\x00patience: 'soon' is no number from 0 up",
    ),
    (
        "patience zero",
        (
            b"\x00\x00\x00d\x02\x00\x00\x00\x01\x06\x05route\x00\x06glance\x05trace\x00\x109b1f"
            b"03aa5c7e2d41\x08patience\x00\x010\x08customer\x00\x04acme\x06weight\x00\x0410.0"
            b"\x03ram\x00\x0216SELECT 1"
        ),
        b"\x00\x00\x00(\x04\x00\x00\x00\x01\x02\x00patience: must be 1 to 3600000 ms",
    ),
    (
        "unknown customer",
        (
            b"\x00\x00\x00i\x02\x00\x00\x00\x01\x06\x05route\x00\x06glance\x05trace\x00\x109b1f"
            b"03aa5c7e2d41\x08patience\x00\x044000\x08customer\x00\x06nobody\x06weight\x00\x041"
            b"0.0\x03ram\x00\x0216SELECT 1"
        ),
        (
            b"\x00\x00\x001\x04\x00\x00\x00\x01\x02\x00customer: 'nobody' is none of the settin"
            b"gs"
        ),
    ),
    (
        "weight no number",
        (
            b"\x00\x00\x00g\x02\x00\x00\x00\x01\x06\x05route\x00\x06glance\x05trace\x00\x109b1f"
            b"03aa5c7e2d41\x08patience\x00\x044000\x08customer\x00\x04acme\x06weight\x00\x04muc"
            b"h\x03ram\x00\x0216SELECT 1"
        ),
        b"\x00\x00\x00,\x04\x00\x00\x00\x01\x02\x00weight: 'much' is no number from 0 up",
    ),
    (
        "weight out of range",
        (
            b"\x00\x00\x00g\x02\x00\x00\x00\x01\x06\x05route\x00\x06glance\x05trace\x00\x109b1f"
            b"03aa5c7e2d41\x08patience\x00\x044000\x08customer\x00\x04acme\x06weight\x00\x041e1"
            b"7\x03ram\x00\x0216SELECT 1"
        ),
        b"\x00\x00\x00%\x04\x00\x00\x00\x01\x02\x00weight or ram: is out of range",
    ),
    (
        "redo",
        (
            b"\x00\x00\x00q\x02\x00\x00\x00\x01\x07\x05route\x00\x06glance\x05trace\x00\x109b1f"
            b"03aa5c7e2d41\x08patience\x00\x044000\x08customer\x00\x04acme\x06weight\x00\x0410."
            b"0\x03ram\x00\x0216\x04redo\x00\x03yesSELECT 1"
        ),
        b"\x00\x00\x00$\x04\x00\x00\x00\x01\x02\x00redo: is neither 1 nor absent",
    ),
    (
        "empty statement",
        (
            b"\x00\x00\x00`\x02\x00\x00\x00\x01\x06\x05route\x00\x06glance\x05trace\x00\x109b1f"
            b"03aa5c7e2d41\x08patience\x00\x044000\x08customer\x00\x04acme\x06weight\x00\x0410."
            b"0\x03ram\x00\x0216 "
        ),
        b"\x00\x00\x00(\x04\x00\x00\x00\x01\x02\x00the statement is empty or no text",
    ),
    (
        "statement no text",
        (
            b"\x00\x00\x00`\x02\x00\x00\x00\x01\x06\x05route\x00\x06glance\x05trace\x00\x109b1f"
            b"03aa5c7e2d41\x08patience\x00\x044000\x08customer\x00\x04acme\x06weight\x00\x0410."
            b"0\x03ram\x00\x0216\xff"
        ),
        b"\x00\x00\x00\x1f\x04\x00\x00\x00\x01\x02\x00the statement is no text",
    ),
    (
        "id twice on a connection",
        (
            b"\x00\x00\x00g\x02\x00\x00\x00\x01\x06\x05route\x00\x06glance\x05trace\x00\x109b1f"
            b"03aa5c7e2d41\x08patience\x00\x044000\x08customer\x00\x04acme\x06weight\x00\x0410."
            b"0\x03ram\x00\x0216SELECT 1\x00\x00\x00g\x02\x00\x00\x00\x02\x06\x05route\x00\x06g"
            b"lance\x05trace\x00\x109b1f03aa5c7e2d41\x08patience\x00\x044000\x08customer\x00"
            b"\x04acme\x06weight\x00\x0410.0\x03ram\x00\x0216SELECT 1"
        ),
        (
            b"\x00\x00\x00+\x04\x00\x00\x00\x02\x02\x00trace: is not new on this connection\x00"
            b"\x00\x00\r\x04\x00\x00\x00\x01\x00\x00a\tb\tc\n"
        ),
    ),
    (
        "bad length",
        b"\x00\x00\x00\x04",
        b"\x00\x00\x00)\x04\x00\x00\x00\x00\x02\x00length 4 is not within 5 to 262144",
    ),
    (
        "bad type",
        b"\x00\x00\x00\x05\x04",
        b"\x00\x00\x00)\x04\x00\x00\x00\x00\x02\x00type 4 is none that a client sends",
    ),
    (
        "broken fields",
        b"\x00\x00\x00\t\x02\x00\x00\x00\x01\x01\x05ro",
        b"\x00\x00\x00$\x04\x00\x00\x00\x00\x02\x00the fields end inside a value",
    ),
    (
        "field twice",
        b"\x00\x00\x00\x10\x02\x00\x00\x00\x01\x02\x01a\x00\x01b\x01a\x00\x01c",
        b"\x00\x00\x00 \x04\x00\x00\x00\x00\x02\x00the field 'a' comes twice",
    ),
    (
        "stream that is not new",
        (
            b"\x00\x00\x00h\x02\x00\x00\x00\x02\x06\x05route\x00\x07unheard\x05trace\x00\x109b1"
            b"f03aa5c7e2d41\x08patience\x00\x044000\x08customer\x00\x04acme\x06weight\x00\x0410"
            b".0\x03ram\x00\x0216SELECT 1\x00\x00\x00g\x02\x00\x00\x00\x01\x06\x05route\x00\x06"
            b"glance\x05trace\x00\x109b1f03aa5c7e2d41\x08patience\x00\x044000\x08customer\x00"
            b"\x04acme\x06weight\x00\x0410.0\x03ram\x00\x0216SELECT 1"
        ),
        (
            b"\x00\x00\x003\x04\x00\x00\x00\x02\x02\x00route: 'unheard' is no class of the sett"
            b"ings\x00\x00\x00-\x04\x00\x00\x00\x00\x02\x00stream 1 is not new on this connecti"
            b"on"
        ),
    ),
]


def request(statement: bytes = b"SELECT 1", stream: int = 1, **changes: str | None) -> bytes:
    given = {**FIELDS, **changes}
    fields = {name: value for name, value in given.items() if value is not None}
    return frames.frame(frames.REQUEST, stream, frames.write_fields(fields) + statement)


async def exchange(sent: bytes, size: int) -> bytes:
    engine = Engine()
    async with running(make_config(target_entry("s-1", await engine.start()))) as rig:
        reader, writer = await asyncio.open_connection("127.0.0.1", rig.port)
        writer.write(sent)
        answer = b""
        while len(answer) < size and (data := await within(reader.read(size - len(answer)))):
            answer += data
        writer.close()
    return answer


@pytest.mark.parametrize(
    ("sent", "answer"), [pytest.param(*case, id=name) for name, *case in EXCHANGES]
)
def test_bytes_that_a_client_gets(sent: bytes, answer: bytes) -> None:
    @on_uvloop
    async def check() -> None:
        assert await exchange(sent, len(answer)) == answer

    check()


def test_a_refusal_names_its_pause() -> None:
    """The pause is drawn: its frame is literal but for the digits."""

    @on_uvloop
    async def check() -> None:
        async with running(make_config()) as rig:
            reader, writer = await asyncio.open_connection("127.0.0.1", rig.port)
            writer.write(request())
            size = int.from_bytes(await within(reader.readexactly(4)), "big")
            frame = await within(reader.readexactly(size))
            writer.close()
        head, digits = frame[:15], frame[15:]
        length = len(digits).to_bytes(1, "big")
        assert head == b"\x04\x00\x00\x00\x01\x01\x01\x05pause\x00" + length
        assert digits.isdigit()

    check()


# --- lines to engines ---


class SocketTransport(asyncio.Transport):
    """Gives a connection the descriptor that it writes to; nothing goes through a loop."""

    def __init__(self, held: socket.socket) -> None:
        super().__init__()
        self.held = held

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return self.held if name == "socket" else default

    def is_closing(self) -> bool:
        return False

    def abort(self) -> None:
        pass


@dataclass
class Line:
    """A connection to an engine, and the engine's end of its socket."""

    connection: EngineConnection
    far: socket.socket

    def read(self) -> bytes:
        try:
            return self.far.recv(65_536)
        except BlockingIOError:
            return b""


@pytest.fixture
def line() -> Iterator[Line]:
    near, far = socket.socketpair()
    near.setblocking(False)
    far.setblocking(False)
    owner = create_autospec(Owner, instance=True)
    owner.now.return_value = NOW
    owner.may_go.return_value = True
    owner.carried_elsewhere.return_value = False
    connection = EngineConnection(cast(Owner, owner), 51)
    connection.connection_made(SocketTransport(near))
    yield Line(connection, far)
    near.close()
    far.close()


def make_attempt(statement: bytes = b"SELECT 1", **changes: Any) -> Attempt:
    asked = ActiveRequest("1", ID, b"glance", statement, cast(Any, object()), 1, NOW + 5_000 * MS)
    for name, value in changes.items():
        setattr(asked, name, value)
    return Attempt(asked, 0, 51, NOW, NOW + 4_000 * MS, NOW + 3_000 * MS)


def begin(line: Line, attempt: Attempt) -> None:
    line.connection.carry(attempt)
    line.connection.send(attempt, NOW)


DO: list[tuple[str, dict[str, Any], bytes]] = [
    (
        "plain",
        {},
        (
            b"*4\r\n"
            b"$2\r\n"
            b"do\r\n"
            b"$16\r\n"
            b"9b1f03aa5c7e2d41\r\n"
            b"$21\r\n"
            b"cls=glance,limit=4000\r\n"
            b"$8\r\n"
            b"SELECT 1\r\n"
        ),
    ),
    (
        "with an idempotency key",
        {
            "idempotency_key": "k-1",
        },
        (
            b"*4\r\n"
            b"$2\r\n"
            b"do\r\n"
            b"$16\r\n"
            b"9b1f03aa5c7e2d41\r\n"
            b"$31\r\n"
            b"cls=glance,limit=4000,nonce=k-1\r\n"
            b"$8\r\n"
            b"SELECT 1\r\n"
        ),
    ),
    (
        "with a memory reserve",
        {
            "memory_mb": 96,
        },
        (
            b"*4\r\n"
            b"$2\r\n"
            b"do\r\n"
            b"$16\r\n"
            b"9b1f03aa5c7e2d41\r\n"
            b"$32\r\n"
            b"cls=glance,limit=4000,reserve=96\r\n"
            b"$8\r\n"
            b"SELECT 1\r\n"
        ),
    ),
    (
        "with a priority",
        {
            "priority": 2,
        },
        (
            b"*4\r\n"
            b"$2\r\n"
            b"do\r\n"
            b"$16\r\n"
            b"9b1f03aa5c7e2d41\r\n"
            b"$29\r\n"
            b"cls=glance,limit=4000,level=2\r\n"
            b"$8\r\n"
            b"SELECT 1\r\n"
        ),
    ),
    (
        "with all",
        {
            "idempotency_key": "k-1",
            "memory_mb": 96,
            "priority": 0,
        },
        (
            b"*4\r\n"
            b"$2\r\n"
            b"do\r\n"
            b"$16\r\n"
            b"9b1f03aa5c7e2d41\r\n"
            b"$50\r\n"
            b"cls=glance,limit=4000,nonce=k-1,reserve=96,level=0\r\n"
            b"$8\r\n"
            b"SELECT 1\r\n"
        ),
    ),
    (
        "a statement with line ends",
        {
            "statement": b"SELECT\r\n1",
        },
        (
            b"*4\r\n"
            b"$2\r\n"
            b"do\r\n"
            b"$16\r\n"
            b"9b1f03aa5c7e2d41\r\n"
            b"$21\r\n"
            b"cls=glance,limit=4000\r\n"
            b"$9\r\n"
            b"SELECT\r\n"
            b"1\r\n"
        ),
    ),
]


def written(line: Line, changes: dict[str, Any]) -> bytes:
    begin(line, make_attempt(**changes))
    return line.read()


@pytest.mark.parametrize(("changes", "wire"), [pytest.param(*case, id=name) for name, *case in DO])
def test_bytes_of_a_query_to_an_engine(line: Line, changes: dict[str, Any], wire: bytes) -> None:
    assert written(line, changes) == wire


def test_a_query_whose_time_is_all_but_over_gets_one_millisecond(line: Line) -> None:
    attempt = make_attempt()
    attempt.deadline_ns = NOW + 10
    begin(line, attempt)
    assert line.read() == (
        b"*4\r\n$2\r\ndo\r\n$16\r\n9b1f03aa5c7e2d41\r\n$18\r\ncls=glance,limit=1\r\n"
        b"$8\r\nSELECT 1\r\n"
    )


CONTROL: list[tuple[str, Callable[[EngineConnection, Attempt], None], bytes]] = [
    (
        "undo",
        lambda connection, attempt: connection.cancel(attempt),
        b"*2\r\n$4\r\nundo\r\n$16\r\n9b1f03aa5c7e2d41\r\n",
    ),
    (
        "forget",
        lambda connection, attempt: connection.forget(attempt),
        b"*2\r\n$6\r\nforget\r\n$16\r\n9b1f03aa5c7e2d41\r\n",
    ),
    (
        "bump",
        lambda connection, attempt: connection.raise_priority(attempt, 3),
        b"*3\r\n$4\r\nbump\r\n$16\r\n9b1f03aa5c7e2d41\r\n$1\r\n3\r\n",
    ),
    (
        "health check",
        lambda connection, attempt: connection.send_health_check(b"p1"),
        b"*2\r\n$3\r\ntop\r\n$2\r\np1\r\n",
    ),
    (
        "health check by another word",
        lambda connection, attempt: connection.send_health_check(b"p1", b"ping"),
        b"*2\r\n$4\r\nping\r\n$2\r\np1\r\n",
    ),
]


@pytest.mark.parametrize(("act", "wire"), [pytest.param(*case, id=name) for name, *case in CONTROL])
def test_bytes_of_a_control_line_to_an_engine(
    line: Line, act: Callable[[EngineConnection, Attempt], None], wire: bytes
) -> None:
    attempt = make_attempt()
    begin(line, attempt)
    line.read()
    act(line.connection, attempt)
    assert line.read() == wire


# What an engine answers to a query, and all that the connection writes then.
ENGINE_ANSWERS: list[tuple[str, bytes, bytes]] = [
    (
        "one page",
        b"*4\r\n$16\r\n9b1f03aa5c7e2d41\r\n$6\r\nserved\r\n$8\r\nchunks=1\r\n$6\r\na\tb\tc\n\r\n",
        b"",
    ),
    (
        "three pages",
        b"*4\r\n$16\r\n9b1f03aa5c7e2d41\r\n$6\r\nserved\r\n$8\r\nchunks=3\r\n$6\r\na\tb\tc\n\r\n",
        b"*3\r\n$4\r\npage\r\n$16\r\n9b1f03aa5c7e2d41\r\n$1\r\n1\r\n"
        b"*3\r\n$4\r\npage\r\n$16\r\n9b1f03aa5c7e2d41\r\n$1\r\n2\r\n",
    ),
    (
        "the last page",
        b"*4\r\n$16\r\n9b1f03aa5c7e2d41\r\n$6\r\nserved\r\n$8\r\nchunks=2\r\n$6\r\na\tb\tc\n\r\n"
        b"*4\r\n$16\r\n9b1f03aa5c7e2d41\r\n$4\r\nrows\r\n$4\r\nat=1\r\n$6\r\nd\te\tf\n\r\n",
        b"*3\r\n$4\r\npage\r\n$16\r\n9b1f03aa5c7e2d41\r\n$1\r\n1\r\n"
        b"*2\r\n$6\r\nforget\r\n$16\r\n9b1f03aa5c7e2d41\r\n",
    ),
]


@pytest.mark.parametrize(
    ("answer", "wire"), [pytest.param(*case, id=name) for name, *case in ENGINE_ANSWERS]
)
def test_bytes_that_follow_an_answer_of_an_engine(line: Line, answer: bytes, wire: bytes) -> None:
    begin(line, make_attempt())
    line.read()
    line.connection.data_received(answer)
    assert line.read() == wire


def test_fields_of_a_query_that_a_broker_forwards() -> None:
    """What settings that heed memory and priorities add to a query, in this order."""

    @on_uvloop
    async def check() -> None:
        engine = Engine(lambda engine, parts, writer: None)
        async with running(make_config(target_entry("s-1", await engine.start()))) as rig:
            reader, writer = await asyncio.open_connection("127.0.0.1", rig.port)
            writer.write(request())
            await until(lambda: engine.commands_named(b"do"))
            writer.close()
        (query,) = engine.commands_named(b"do")
        assert [query[0], query[1], query[3]] == [b"do", ID, b"SELECT 1"]
        names = [pair.partition(b"=")[0] for pair in query[2].split(b",")]
        assert names == [
            b"cls",
            b"limit",
            b"reserve",
            b"level",
        ]

    check()


# --- the simulator's wire ---

RENDERED: list[tuple[str, api.Order, str]] = [
    ("send", api.Dispatch("r-1", 0, 51, 4, 5), "FORWARD\ti=g/0\treq=r-1\tengine=51\tallow_for=4\n"),
    ("refuse", api.Reject("r-1", 250), "DENY\ti=g/0\treq=r-1\twait=250\n"),
    ("fail", api.Fail("r-1"), "GIVE_UP\ti=g/0\treq=r-1\n"),
    ("cancel", api.CancelAttempt("r-1", 2), "DROP_ATTEMPT\ti=g/0\treq=r-1\tn=2\n"),
    ("set timer", api.SetTimer(70, 3), "SET_ALARM\ti=g/0\tfire_at=70\tnonce=3\n"),
    ("probe", api.HealthCheck(51), "ASK_LOAD\ti=g/0\tengine=51\n"),
    (
        "terms",
        api.DispatchOptions("r-1", 2, 96.5),
        "RESOURCES\ti=g/0\treq=r-1\timportance=2\tallot_mb=96.500\n",
    ),
]


@pytest.mark.parametrize(
    ("action", "wire"), [pytest.param(*case, id=name) for name, *case in RENDERED]
)
def test_line_of_an_action_to_the_simulator(action: api.Order, wire: str) -> None:
    assert _render("g/0", action) == wire


FACTS: dict[str, Any] = {
    "classes": [
        {
            "name": "short",
            "aim": 500 * MS,
            "deadline": 5000 * MS,
            "worth": 1.0,
            "effect": "read_like",
            "late_value": 0.1,
        }
    ],
    "fleet_size": 1,
    "tick": 5 * MS,
    "zone": "a",
    "kinds": ["box"],
    "policy_limits": {"cancel": True, "send_cap": 3, "max_retry_after": 2000 * MS},
    "report": {"via": "piggyback", "fields": ["busy", "q"]},
    "specifics": {"size_cores": [4], "parallelism": [1]},
}
SIMULATOR_SENDS = (
    "TURN\tclock=1000000000\tframe=1\n"
    "BEGIN\ti=gateway/0\tnonce64=5\tfacts=FACTS\n"
    "FLUSH\n"
    "TURN\tclock=1000000000\tframe=2\n"
    "INGRESS\ti=gateway/0\treq=r-0\tkind=short\tpatience_left=4000000000\texpected=90000000\n"
    "FLUSH\n"
    "TURN\tclock=1000000000\tframe=3\n"
    "TABLE\tlist=0\tmembers_list=1\n"
    "ROW\tbay=0\tpower_hint=1\tstage_state=SERVING\tarea=a\tclass_of_host=box\tengine=51\n"
    "TARGETS\ti=gateway/0\tmode=C\tlist=0\tversion=1\n"
    "FLUSH\n"
    "TURN\tclock=1000000000\tframe=4\n"
    "INGRESS\ti=gateway/0\treq=r-1\tkind=short\tpatience_left=4000000000\texpected=90000000\n"
    "FLUSH\n"
    "TURN\tclock=1090000000\tframe=5\n"
    "FINISHED\ti=gateway/0\treq=r-1\tdone_flag=1\ttime_taken=90000000\tn=0\treason=served"
    "\tengine=51\treport=0.5,0\n"
    "FLUSH\n"
    "TURN\tclock=1100000000\tframe=6\n"
    "INGRESS\ti=gateway/0\treq=r-2\tkind=unheard\tpatience_left=4000000000\n"
    "FLUSH\n"
)
ADAPTER_ANSWERS = (
    "READY\tframe=1\n"
    "SET_ALARM\ti=gateway/0\tfire_at=2000000000\tnonce=0\n"
    "DENY\ti=gateway/0\treq=r-0\twait=1000000000\n"
    "READY\tframe=2\n"
    "READY\tframe=3\n"
    "FORWARD\ti=gateway/0\treq=r-1\tengine=51\tallow_for=4000000000\n"
    "SET_ALARM\ti=gateway/0\tfire_at=1540000000\tnonce=1\n"
    "SET_ALARM\ti=gateway/0\tfire_at=4995000000\tnonce=2\n"
    "READY\tframe=4\n"
    "READY\tframe=5\n"
    "BUG\ti=gateway/0\tbody_text=ValueError: class_name: 'unheard' is not in the "
    "settings\n"
    "READY\tframe=6\n"
)


def adapter_answers() -> str:
    sink = io.StringIO()
    Adapter(io.StringIO(SIMULATOR_SENDS.replace("FACTS", json.dumps(FACTS))), sink).run()
    return sink.getvalue()


def test_one_complete_exchange_with_the_simulator() -> None:
    assert adapter_answers() == ADAPTER_ANSWERS
