"""Which endpoints the operators have disabled by hand.

Performs no I/O: the directives come from the admin API and from the other process of this broker.
"""

from __future__ import annotations

from typing import NamedTuple


class AdministrativeState(NamedTuple):
    """The operators' latest directive on one endpoint.

    Attributes:
        given_ns: When the directive was given, in Unix nanoseconds.
        disabled: Whether the endpoint takes no requests until it is enabled again.
    """

    given_ns: int
    disabled: bool


class AdministrativeStates:
    """The administrative state of each endpoint, by uid.

    The uid is the key, not the endpoint's number in the table, because an endpoint may restart or
    leave the list while it is disabled. Only the latest directive counts: an endpoint that was
    disabled twice is enabled by one directive.
    """

    def __init__(self) -> None:
        """Start with no directive: every endpoint is enabled."""
        self.states: dict[str, AdministrativeState] = {}

    def is_disabled(self, uid: str) -> bool:
        """Return whether the operators have disabled this endpoint."""
        state = self.states.get(uid)
        return state is not None and state.disabled

    def record(self, uid: str, state: AdministrativeState) -> bool:
        """Record a directive unless the same or a later one has been recorded.

        Returns:
            Whether the directive was recorded.
        """
        latest = self.states.get(uid)
        if latest is not None and latest.given_ns >= state.given_ns:
            return False
        self.states[uid] = state
        return True

    def forget(self, before_ns: int) -> None:
        """Drop the endpoints that were enabled again at ``before_ns`` (Unix time) or earlier.

        New uids appear for as long as the process runs, so the table would otherwise grow without
        bound. Disabled endpoints are kept.
        """
        self.states = {
            uid: state
            for uid, state in self.states.items()
            if state.disabled or state.given_ns > before_ns
        }
