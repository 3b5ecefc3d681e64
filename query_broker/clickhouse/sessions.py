"""Binds sessions to the engines that hold their state.

Performs no I/O. Sessions are sticky: a session stays with the engine of its first attempt while
both exist. A session with state is lost when its engine ends, and its next request gets an error;
to begin a new session without an error would silently drop the client's temporary tables and
settings. Only one request of a session runs at a time.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from .errors import BAD_ARGUMENTS, SESSION_IS_LOCKED, SESSION_NOT_FOUND, QueryError

NS_PER_S = 1_000_000_000
DEFAULT_TIMEOUT_NS = 60 * NS_PER_S
MAX_TIMEOUT_NS = 3_600 * NS_PER_S
MAX_SESSIONS = 10_000
MAX_ID_LENGTH = 200


class SessionKey(NamedTuple):
    """The key of a session; it contains the user as two users may choose the same id."""

    user: str
    session_id: str


@dataclass(slots=True)
class Session:
    """One session of a user.

    Attributes:
        user: The user.
        session_id: The id that the client has chosen.
        timeout_ns: How long the session lives without a request.
        last_used_ns: When the last request began or ended.
        engine: The number of the session's engine; None if it is not bound to one.
        running: Whether a request of the session is running.
        has_state: Whether the engine holds state of the session, which other engines lack.
        lost: Whether the engine has ended and the state is lost.
    """

    user: str
    session_id: str
    timeout_ns: int
    last_used_ns: int
    engine: int | None = None
    running: bool = False
    has_state: bool = False
    lost: bool = False

    def key(self) -> SessionKey:
        """Return the key of the session."""
        return SessionKey(self.user, self.session_id)

    def has_expired(self, now_ns: int) -> bool:
        """Return whether the idle time reached the timeout; a running session never expires."""
        return not self.running and now_ns - self.last_used_ns >= self.timeout_ns


@dataclass(slots=True)
class Sessions:
    """All sessions.

    Attributes:
        by_key: The sessions, by key.
        by_engine: The keys of the sessions bound to each engine, by engine number.
    """

    by_key: dict[SessionKey, Session] = field(default_factory=dict)
    by_engine: dict[int, set[SessionKey]] = field(default_factory=dict)

    def begin(
        self,
        user: str,
        session_id: str,
        now_ns: int,
        *,
        must_exist: bool = False,
        timeout_ns: int = 0,
    ) -> Session:
        """Begin a request of a session and return the session, creating it if necessary.

        Args:
            user: The user.
            session_id: The id that the client has chosen.
            now_ns: The current time.
            must_exist: Whether the session must exist already.
            timeout_ns: How long the session lives without a request; 0 for the default.

        Raises:
            QueryError: An argument is invalid, the session is running, lost or not found, or too
                many sessions exist.
        """
        _check_arguments(session_id, timeout_ns)
        key = SessionKey(user, session_id)
        session = self._current(key, now_ns)
        if session is None:
            if must_exist:
                raise QueryError(SESSION_NOT_FOUND, f"session {session_id} is not found")
            self._enforce_session_limit(now_ns)
            session = Session(user, session_id, timeout_ns or DEFAULT_TIMEOUT_NS, now_ns)
            self.by_key[key] = session
        elif session.running:
            raise QueryError(
                SESSION_IS_LOCKED, f"session {session_id} is locked by a running query"
            )
        session.running = True
        session.last_used_ns = now_ns
        if timeout_ns:
            session.timeout_ns = timeout_ns
        return session

    def _current(self, key: SessionKey, now_ns: int) -> Session | None:
        """Return the session, or None; an expired or lost session is dropped.

        Raises:
            QueryError: The session is lost.
        """
        session = self.by_key.get(key)
        if session is None:
            return None
        if session.has_expired(now_ns):
            self._drop(key)
            return None
        if session.lost:
            self._drop(key)
            raise QueryError(
                SESSION_NOT_FOUND,
                f"the server with the state of session {key.session_id} is no longer available",
            )
        return session

    def bind(self, session: Session, engine: int, *, leaves_state: bool) -> None:
        """Bind the session to the engine to which an attempt was sent, if it is not bound yet.

        Args:
            session: The session.
            engine: The number of the engine.
            leaves_state: Whether the attempt leaves state at the engine, which other engines lack.
        """
        if session.engine is None:
            session.engine = engine
            self.by_engine.setdefault(engine, set()).add(session.key())
        session.has_state = session.has_state or leaves_state

    def end(self, session: Session, now_ns: int) -> None:
        """Mark the running request of the session as ended."""
        session.running = False
        session.last_used_ns = now_ns

    def engine_removed(self, engine: int) -> list[Session]:
        """Unbind the sessions of an engine that was removed or restarted; return the lost ones.

        Sessions without state can move to another engine. Sessions with state are lost, and their
        next request gets an error.
        """
        lost = []
        for key in self.by_engine.pop(engine, set()):
            session = self.by_key.get(key)
            if session is None:
                continue
            if session.has_state:
                session.lost = True
                lost.append(session)
            else:
                session.engine = None
        return lost

    def expire(self, now_ns: int) -> int:
        """Drop the expired sessions and return their number."""
        expired = [key for key, session in self.by_key.items() if session.has_expired(now_ns)]
        for key in expired:
            self._drop(key)
        return len(expired)

    def _drop(self, key: SessionKey) -> None:
        session = self.by_key.pop(key)
        if session.engine is None:
            return
        keys = self.by_engine.get(session.engine)
        if keys is None:
            return
        keys.discard(key)
        if not keys:
            del self.by_engine[session.engine]

    def _enforce_session_limit(self, now_ns: int) -> None:
        """Make room for a session if `MAX_SESSIONS` exist, as clients can create any number.

        Expired sessions are dropped, else the session without state that was idle for longest.

        Raises:
            QueryError: Every session is running or has state.
        """
        if len(self.by_key) < MAX_SESSIONS:
            return
        self.expire(now_ns)
        if len(self.by_key) < MAX_SESSIONS:
            return
        droppable = [
            (session.last_used_ns, key)
            for key, session in self.by_key.items()
            if not session.running and not session.has_state
        ]
        if not droppable:
            raise QueryError(SESSION_NOT_FOUND, "too many sessions")
        _, oldest = min(droppable)
        self._drop(oldest)


def _check_arguments(session_id: str, timeout_ns: int) -> None:
    if not 0 < len(session_id) <= MAX_ID_LENGTH:
        raise QueryError(BAD_ARGUMENTS, f"session_id must have 1 to {MAX_ID_LENGTH} characters")
    if timeout_ns < 0 or timeout_ns > MAX_TIMEOUT_NS:
        max_timeout_s = MAX_TIMEOUT_NS // NS_PER_S
        raise QueryError(BAD_ARGUMENTS, f"session_timeout must be 0 to {max_timeout_s} seconds")
