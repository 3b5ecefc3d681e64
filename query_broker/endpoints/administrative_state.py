"""Which endpoints the operators have disabled by hand.

Performs no I/O: the operators' HTTP interface and the other process of this broker bring the
directives in.
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
    leave the list while it is disabled. Directives are not counted: an endpoint that was disabled
    twice is enabled by one directive.
    """

    def __init__(self) -> None:
        """Start with no directive: every endpoint is enabled."""
        self.states: dict[str, AdministrativeState] = {}

    def is_disabled(self, uid: str) -> bool:
        """Return whether the operators have disabled this endpoint."""
        state = self.states.get(uid)
        return state is not None and state.disabled

    def record(self, uid: str, state: AdministrativeState) -> bool:
        """Record a directive unless the same one or a later one is known.

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

        Endpoints come under new uids for as long as the process runs, so that states which are
        never dropped would grow without bound. Disabled endpoints stay.
        """
        self.states = {
            uid: state
            for uid, state in self.states.items()
            if state.disabled or state.given_ns > before_ns
        }
