"""An observer of membership views that records them."""

from __future__ import annotations

from query_broker.membership.messages import Identity
from query_broker.membership.views import MembershipView


class RecordingObserver:
    """Records the published views."""

    def __init__(self) -> None:
        self.views: list[MembershipView] = []

    def view_changed(
        self,
        view: MembershipView,
        joined: tuple[Identity, ...],
        departed: tuple[Identity, ...],
    ) -> None:
        self.views.append(view)
