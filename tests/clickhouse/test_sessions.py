"""Sessions: stickiness, locking, the limit on their number, and loss with their engine."""

from __future__ import annotations

import pytest

from query_broker.clickhouse import sessions as sessions_module
from query_broker.clickhouse.errors import QueryError
from query_broker.clickhouse.sessions import Sessions

from ..support.helpers import S


def test_a_session_is_sticky_and_its_loss_is_reported_once() -> None:
    sessions = Sessions()
    session = sessions.begin("ann", "s", 0)
    with pytest.raises(QueryError, match="locked"):
        sessions.begin("ann", "s", 1)
    sessions.begin("bob", "s", 1)  # the same id of another user is another session
    sessions.bind(session, 7, leaves_state=True)
    sessions.end(session, S)
    assert sessions.begin("ann", "s", 2 * S, must_exist=True) is session
    assert session.engine == 7
    sessions.end(session, 2 * S)
    assert sessions.engine_removed(7) == [session]
    with pytest.raises(QueryError, match="no longer available"):
        sessions.begin("ann", "s", 3 * S)
    new_session = sessions.begin("ann", "s", 3 * S)  # the loss was reported by the error above
    assert new_session is not session
    assert new_session.engine is None


def test_a_session_without_state_can_move_when_its_engine_is_removed() -> None:
    sessions = Sessions()
    session = sessions.begin("ann", "s", 0)
    sessions.bind(session, 7, leaves_state=False)
    sessions.end(session, 0)
    assert sessions.engine_removed(7) == []
    assert sessions.begin("ann", "s", 1) is session
    assert session.engine is None


def test_an_expired_session_is_not_found() -> None:
    sessions = Sessions()
    session = sessions.begin("ann", "s", 0, timeout_ns=2 * S)
    sessions.end(session, 0)
    with pytest.raises(QueryError, match="not found"):
        sessions.begin("ann", "s", 2 * S, must_exist=True)


@pytest.mark.parametrize("timeout_ns", [-1, 9_999 * S], ids=["negative", "too long"])
def test_a_session_timeout_out_of_range_raises_an_error(timeout_ns: int) -> None:
    with pytest.raises(QueryError, match="session_timeout"):
        Sessions().begin("ann", "t", 0, timeout_ns=timeout_ns)


def test_a_session_id_that_is_too_long_raises_an_error() -> None:
    with pytest.raises(QueryError, match="session_id"):
        Sessions().begin("ann", "x" * 201, 0)


def test_the_number_of_sessions_is_limited(monkeypatch: pytest.MonkeyPatch) -> None:
    sessions = Sessions()
    monkeypatch.setattr(sessions_module, "MAX_SESSIONS", 5)
    for number in range(20):
        now_ns = 10 * S + number
        sessions.end(sessions.begin("ann", f"i{number}", now_ns), now_ns)
    assert len(sessions.by_key) <= 5
    assert sessions.expire(10_000 * S) == 5
    assert not sessions.by_key
    assert not sessions.by_engine
