"""Sessions: which engine has a session's state, and what becomes of it.

Performs no I/O.
A session sticks to the engine that first served it, for as long as both live. One whose engine has
gone is lost: its next request is told so, and no new session is begun in its place in silence,
since temporary tables and settings would be missing without a word. One request of a session runs
at a time.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from .errors import BAD_ARGUMENTS, SESSION_IS_LOCKED, SESSION_NOT_FOUND, QueryError

NS_PER_S = 1_000_000_000
DEFAULT_TIMEOUT = 60 * NS_PER_S
MOST_TIMEOUT = 3_600 * NS_PER_S
MOST_SESSIONS = 10_000
MOST_ID = 200  # characters


@dataclass(slots=True)
class Session:
    """One session of a user.

    ``engine`` is None until an attempt has left for one. ``state``: something was left there that
    would be missing elsewhere.
    """

    user: str
    id: str
    timeout: int
    used: int
    engine: int | None = None
    running: bool = False
    state: bool = False
    lost: bool = False


@dataclass(slots=True)
class Sessions:
    """All sessions, by user and id, and which of them are bound to which engine."""

    by_key: dict[tuple[str, str], Session] = field(default_factory=dict)
    by_engine: dict[int, set[tuple[str, str]]] = field(default_factory=dict)

    def begin(
        self, user: str, id: str, now: int, *, check: bool = False, timeout: int = 0
    ) -> Session:
        """Begin a request of the session and return it.

        ``check``: the session must be there already. ``timeout`` in nanoseconds, 0 for the default.
        Raises `Fault` where the request may not begin.
        """
        _check(id, timeout)
        session = self._current(user, id, now)
        if session is None:
            if check:
                raise QueryError(SESSION_NOT_FOUND, f"session {id} is not found")
            self._evict(now)
            session = Session(user, id, timeout or DEFAULT_TIMEOUT, now)
            self.by_key[user, id] = session
        elif session.running:
            raise QueryError(SESSION_IS_LOCKED, f"session {id} is locked by a running query")
        session.running = True
        session.used = now
        if timeout:
            session.timeout = timeout
        return session

    def _current(self, user: str, id: str, now: int) -> Session | None:
        """Return the session if it is there; drop one whose time is up or whose state is lost."""
        key = user, id
        session = self.by_key.get(key)
        if session is None:
            return None
        if not session.running and now - session.used >= session.timeout:
            self._drop(key)
            return None
        if session.lost:
            self._drop(key)
            raise QueryError(SESSION_NOT_FOUND, f"the server that held session {id} has gone")
        return session

    def bind(self, session: Session, engine: int, state: bool) -> None:
        """Bind the session to the engine for which an attempt of it has left.

        ``state``: the attempt leaves something there that would be missing elsewhere.
        """
        key = session.user, session.id
        if session.engine is None:
            session.engine = engine
            self.by_engine.setdefault(engine, set()).add(key)
        session.state = session.state or state

    def end(self, session: Session, now: int) -> None:
        """Take note that the request under way has ended."""
        session.running = False
        session.used = now

    def engine_removed(self, engine: int) -> list[Session]:
        """Release the sessions of an engine that was removed or restarted; return the lost ones.

        Sessions that left nothing there may go elsewhere; the next request of a lost one gets an
        error.
        """
        lost = []
        for key in self.by_engine.pop(engine, set()):
            if (session := self.by_key.get(key)) is None:
                continue
            if session.state:
                session.lost = True
                lost.append(session)
            else:
                session.engine = None
        return lost

    def expire(self, now: int) -> int:
        """Drop the sessions whose time is up and return how many; what runs does not expire."""
        old = [
            key
            for key, session in self.by_key.items()
            if not session.running and now - session.used >= session.timeout
        ]
        for key in old:
            self._drop(key)
        return len(old)

    def _drop(self, key: tuple[str, str]) -> None:
        session = self.by_key.pop(key)
        if session.engine is not None and (keys := self.by_engine.get(session.engine)) is not None:
            keys.discard(key)
            if not keys:
                del self.by_engine[session.engine]

    def _evict(self, now: int) -> None:
        """Bound the table: the session that is idle longest goes, if it left nothing anywhere.

        Clients name any session they like.
        """
        if len(self.by_key) < MOST_SESSIONS:
            return
        self.expire(now)
        idle = [
            (session.used, key)
            for key, session in self.by_key.items()
            if not session.running and not session.state
        ]
        if len(self.by_key) >= MOST_SESSIONS:
            if not idle:
                raise QueryError(SESSION_NOT_FOUND, "too many sessions")
            self._drop(min(idle)[1])


def _check(id: str, timeout: int) -> None:
    if not 0 < len(id) <= MOST_ID:
        raise QueryError(BAD_ARGUMENTS, f"session_id must have 1 to {MOST_ID} characters")
    if timeout < 0 or timeout > MOST_TIMEOUT:
        longest_s = MOST_TIMEOUT // NS_PER_S
        raise QueryError(BAD_ARGUMENTS, f"session_timeout must be 0 to {longest_s} seconds")
