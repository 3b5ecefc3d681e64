"""Golden form of the other commands that an engine reads: cancellations, health checks, pages."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from query_broker.dispatch.requests import Attempt
from query_broker.protocols.engine_connection import EngineConnection

from .engine_connections import ConnectedEngine, make_attempt


@pytest.mark.parametrize(
    ("command", "wire"),
    [
        pytest.param(
            lambda connection, attempt: connection.cancel(attempt),
            b"*2\r\n$4\r\nundo\r\n$16\r\n9b1f03aa5c7e2d41\r\n",
            id="cancel",
        ),
        pytest.param(
            lambda connection, attempt: connection.forget(attempt),
            b"*2\r\n$6\r\nforget\r\n$16\r\n9b1f03aa5c7e2d41\r\n",
            id="forget",
        ),
        pytest.param(
            lambda connection, attempt: connection.set_priority(attempt, 3),
            b"*3\r\n$4\r\nbump\r\n$16\r\n9b1f03aa5c7e2d41\r\n$1\r\n3\r\n",
            id="raise priority",
        ),
        pytest.param(
            lambda connection, attempt: connection.send_health_check(b"p1"),
            b"*2\r\n$3\r\ntop\r\n$2\r\np1\r\n",
            id="health check",
        ),
        pytest.param(
            lambda connection, attempt: connection.send_health_check(b"p1", b"ping"),
            b"*2\r\n$4\r\nping\r\n$2\r\np1\r\n",
            id="health check by another command",
        ),
    ],
)
def test_a_command_is_sent_as_these_bytes(
    engine: ConnectedEngine, command: Callable[[EngineConnection, Attempt], None], wire: bytes
) -> None:
    attempt = make_attempt()
    engine.send(attempt)
    engine.read()
    command(engine.connection, attempt)
    assert engine.read() == wire


@pytest.mark.parametrize(
    ("answer", "wire"),
    [
        pytest.param(
            b"*4\r\n$16\r\n9b1f03aa5c7e2d41\r\n$6\r\nserved\r\n$8\r\nchunks=1\r\n$6\r\na\tb\tc\n\r\n",
            b"",
            id="one page",
        ),
        pytest.param(
            b"*4\r\n$16\r\n9b1f03aa5c7e2d41\r\n$6\r\nserved\r\n$8\r\nchunks=3\r\n$6\r\na\tb\tc\n\r\n",
            (
                b"*3\r\n$4\r\npage\r\n$16\r\n9b1f03aa5c7e2d41\r\n$1\r\n1\r\n"
                b"*3\r\n$4\r\npage\r\n$16\r\n9b1f03aa5c7e2d41\r\n$1\r\n2\r\n"
            ),
            id="three pages",
        ),
        pytest.param(
            (
                b"*4\r\n$16\r\n9b1f03aa5c7e2d41\r\n$6\r\nserved\r\n$8\r\nchunks=2\r\n$6\r\na\tb\tc\n\r\n"
                b"*4\r\n$16\r\n9b1f03aa5c7e2d41\r\n$4\r\nrows\r\n$4\r\nat=1\r\n$6\r\nd\te\tf\n\r\n"
            ),
            (
                b"*3\r\n$4\r\npage\r\n$16\r\n9b1f03aa5c7e2d41\r\n$1\r\n1\r\n"
                b"*2\r\n$6\r\nforget\r\n$16\r\n9b1f03aa5c7e2d41\r\n"
            ),
            id="the last page",
        ),
    ],
)
def test_an_answer_of_an_engine_is_followed_by_these_bytes(
    engine: ConnectedEngine, answer: bytes, wire: bytes
) -> None:
    engine.send(make_attempt())
    engine.read()
    engine.connection.data_received(answer)
    assert engine.read() == wire
