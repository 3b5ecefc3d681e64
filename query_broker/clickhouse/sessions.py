"""Sessions: which engine has a session's state, and what becomes of it.

Performs no I/O. A session is sticky: it stays with the engine that first served it for as long as
both live. A session whose engine has ended is lost: its next request gets an error. To begin a new
session in its place without an error would leave the client without its temporary tables and
settings. One request of a session runs at a time.
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
    """What identifies a session: two users may choose the same id."""

    user: str
    session_id: str


@dataclass(slots=True)
class Session:
    """One session of a user.

    Attributes:
        user: The user.
        session_id: The id that the client has chosen.
        timeout_ns: How long the session lives without a request.
        last_used_ns: When its last request began or ended.
        engine: The number of its engine; None until an attempt was sent to one.
        running: Whether a request of it is under way.
        has_state: Whether the engine has state of it that another one would lack.
        lost: Whether its engine has ended, and that state with it.
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
        """Return what identifies the session."""
        return SessionKey(self.user, self.session_id)

    def has_expired(self, now_ns: int) -> bool:
        """Return whether it was idle for too long; one with a running request never was."""
        return not self.running and now_ns - self.last_used_ns >= self.timeout_ns


@dataclass(slots=True)
class Sessions:
    """All sessions.

    Attributes:
        by_key: The sessions.
        by_engine: The keys of the sessions that are bound to each engine.
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
        """Begin a request of the session and return it.

        Args:
            user: The user.
            session_id: The id that the client has chosen.
            now_ns: The time.
            must_exist: Whether the session must exist already.
            timeout_ns: How long the session lives without a request; 0 for the default.

        Raises:
            QueryError: The request may not begin.
        """
        _check_arguments(session_id, timeout_ns)
        key = SessionKey(user, session_id)
        session = self._current(key, now_ns)
        if session is None:
            if must_exist:
                raise QueryError(SESSION_NOT_FOUND, f"session {session_id} is not found")
            self._make_space(now_ns)
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
        """Return the session if there is one; drop it if it has expired or is lost.

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
                SESSION_NOT_FOUND, f"the server that held session {key.session_id} has gone"
            )
        return session

    def bind(self, session: Session, engine: int, *, leaves_state: bool) -> None:
        """Bind the session to the engine that an attempt of it was sent to.

        Args:
            session: The session.
            engine: The number of the engine.
            leaves_state: Whether the attempt leaves state there that another engine would lack.
        """
        if session.engine is None:
            session.engine = engine
            self.by_engine.setdefault(engine, set()).add(session.key())
        session.has_state = session.has_state or leaves_state

    def end(self, session: Session, now_ns: int) -> None:
        """Note that the request under way has ended."""
        session.running = False
        session.last_used_ns = now_ns

    def engine_removed(self, engine: int) -> list[Session]:
        """Release the sessions of an engine that was removed or restarted; return the lost ones.

        Sessions without state there may go elsewhere; the next request of a lost one gets an error.
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
        """Drop the sessions that have expired and return how many there were."""
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

    def _make_space(self, now_ns: int) -> None:
        """Bound the number of sessions, since clients name any session that they like.

        The session that was idle for longest is dropped, among those without state.

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
