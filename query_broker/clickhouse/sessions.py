"""Sessions: which engine holds a session's state, and what becomes of it. Pure.

A session sticks to the engine that first served it, for as long as both live. One whose engine has
gone is lost: its next request is told so, and no new session is begun in its place in silence,
since temporary tables and settings would be missing without a word. One request of a session runs
at a time.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from .errors import BAD_ARGUMENTS, SESSION_IS_LOCKED, SESSION_NOT_FOUND, Fault

S = 1_000_000_000
DEFAULT_TIMEOUT = 60 * S
MOST_TIMEOUT = 3_600 * S
MOST_SESSIONS = 10_000
MOST_ID = 200  # characters


@dataclass(slots=True)
class Session:
    """``engine`` None: not bound yet. ``state``: something in it would be missed elsewhere."""

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
    held: dict[tuple[str, str], Session] = field(default_factory=dict)
    by_engine: dict[int, set[tuple[str, str]]] = field(default_factory=dict)

    def begin(
        self, user: str, id: str, now: int, *, check: bool = False, timeout: int = 0
    ) -> Session:
        """A request of the session begins; Fault where it may not. ``check``: it must be there
        already.
        """
        if not 0 < len(id) <= MOST_ID:
            raise Fault(BAD_ARGUMENTS, f"session_id must have 1 to {MOST_ID} characters")
        if timeout < 0 or timeout > MOST_TIMEOUT:
            raise Fault(BAD_ARGUMENTS, f"session_timeout must be 0 to {MOST_TIMEOUT // S} seconds")
        key = user, id
        session = self.held.get(key)
        if session is not None and not session.running and now - session.used >= session.timeout:
            self._drop(key)
            session = None
        if session is not None and session.lost:
            self._drop(key)
            raise Fault(SESSION_NOT_FOUND, f"the server that held session {id} has gone")
        if session is None:
            if check:
                raise Fault(SESSION_NOT_FOUND, f"session {id} is not found")
            self._make_room(now)
            session = self.held[key] = Session(user, id, timeout or DEFAULT_TIMEOUT, now)
        elif session.running:
            raise Fault(SESSION_IS_LOCKED, f"session {id} is locked by a running query")
        session.running, session.used = True, now
        if timeout:
            session.timeout = timeout
        return session

    def bind(self, session: Session, engine: int, state: bool) -> None:
        """An attempt of it has left for this engine. ``state``: it leaves something there."""
        key = session.user, session.id
        if session.engine is None:
            session.engine = engine
            self.by_engine.setdefault(engine, set()).add(key)
        session.state = session.state or state

    def end(self, session: Session, now: int) -> None:
        session.running, session.used = False, now

    def gone(self, engine: int) -> list[Session]:
        """The engine has gone or restarted. Sessions that left nothing there may go elsewhere; the
        others are lost, and their next request is told so.
        """
        lost = []
        for key in self.by_engine.pop(engine, set()):
            if (session := self.held.get(key)) is None:
                continue
            if session.state:
                session.lost = True
                lost.append(session)
            else:
                session.engine = None
        return lost

    def expire(self, now: int) -> int:
        """Now and then. What runs does not expire."""
        old = [k for k, s in self.held.items() if not s.running and now - s.used >= s.timeout]
        for key in old:
            self._drop(key)
        return len(old)

    def _drop(self, key: tuple[str, str]) -> None:
        session = self.held.pop(key)
        if session.engine is not None and (keys := self.by_engine.get(session.engine)) is not None:
            keys.discard(key)
            if not keys:
                del self.by_engine[session.engine]

    def _make_room(self, now: int) -> None:
        """Danger: clients name any session they like; the one longest idle goes, if it left
        nothing.
        """
        if len(self.held) < MOST_SESSIONS:
            return
        self.expire(now)
        idle = [(s.used, k) for k, s in self.held.items() if not s.running and not s.state]
        if len(self.held) >= MOST_SESSIONS:
            if not idle:
                raise Fault(SESSION_NOT_FOUND, "too many sessions")
            self._drop(min(idle)[1])
