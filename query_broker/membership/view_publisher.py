"""Publishes the view of the group to the log and to a listener."""

from __future__ import annotations

from typing import Protocol

from ..endpoints.endpoint_table import has_warming_endpoint
from ..server.host import NodeContext
from .failure_detector import FailureDetector
from .messages import Identity
from .rate_limit import DatagramRateLimiter
from .service_host import ServiceHost
from .settings import MembershipSettings
from .views import MembershipView, Observation, PlacedMember, ViewSettings, ViewTracker

MAX_LOGGED_MEMBERS = 8


class ViewListener(Protocol):
    """Is called with each published view."""

    def __call__(self, view: MembershipView, /) -> None:
        """Process a published view."""


class ViewPublisher:
    """Publishes views from the state of the failure detector and the node's endpoints.

    Attributes:
        views: Tracker of the published view.
        observed_at_ns: Time of the last observation.
    """

    def __init__(
        self,
        node: NodeContext,
        settings: MembershipSettings,
        detector: FailureDetector,
        rate_limiter: DatagramRateLimiter,
        host: ServiceHost,
        listener: ViewListener,
    ) -> None:
        """Start with the configured fleet size and index."""
        self._node = node
        self._settings = settings
        self._detector = detector
        self._rate_limiter = rate_limiter
        self._host = host
        self._listener = listener
        self.observed_at_ns = host.now_ns()
        configured = node.config.settings
        self.views = ViewTracker(
            configured.fleet_size,
            configured.broker_index,
            ViewSettings(
                max_lost_fraction=settings.max_lost_fraction,
                settle_ns=settings.settle_ns,
                batch_ns=settings.interval_ns,
            ),
            self,
        )

    def configure(self) -> None:
        """Apply the fleet size and index of the node's reloaded configuration."""
        configured = self._node.config.settings
        self.views.configure(configured.fleet_size, configured.broker_index)

    def observe(self, now_ns: int) -> None:
        """Observe the group, and publish a view if it has changed."""
        self.observed_at_ns = now_ns
        detector = self._detector
        present = [
            PlacedMember(record.ordinal, record.identity)
            for record in detector.table.records.values()
            if record.is_present()
        ]
        if not detector.own.has_left:
            present.append(PlacedMember(detector.own.ordinal, detector.me))
        self._rate_limiter.member_addresses = {member.identity.address for member in present}
        is_isolated = detector.health.is_isolated(len(present) - 1)
        self.views.observe(
            now_ns,
            Observation(
                present=present,
                own=detector.me,
                is_cut_off=detector.own.has_left or is_isolated,
                has_joined=detector.contacts.has_joined,
                is_endpoint_warming_up=self._is_endpoint_warming_up(now_ns),
                is_removal_pending=self._is_removal_pending(now_ns),
            ),
        )

    def view_changed(
        self,
        view: MembershipView,
        joined: tuple[Identity, ...],
        departed: tuple[Identity, ...],
    ) -> None:
        """Log a published view and pass it to the listener."""
        self._host.log(
            f"view {view.epoch} ({view.digest.hex()}): {view.member_count} alive, {view.reason}; "
            f"limits by {view.effective_size}, place {view.effective_index}"
            f"{_members_log_text('joined', joined)}{_members_log_text('left', departed)}"
        )
        self._listener(view)

    def _is_endpoint_warming_up(self, now_ns: int) -> bool:
        warm_up_ns = self._node.config.settings.contract.warmup_ns
        return has_warming_endpoint(self._node.dispatcher.endpoint_table, warm_up_ns, now_ns)

    def _is_removal_pending(self, now_ns: int) -> bool:
        suspicions = self._detector.suspicions
        return any(
            suspicions.deadline_ns(identity) - now_ns < self._settings.interval_ns
            for identity in suspicions.active_suspicions
        )


def _members_log_text(event: str, members: tuple[Identity, ...]) -> str:
    """Return the part of a log line that lists the first few members; empty if there are none."""
    if not members:
        return ""
    addresses = ", ".join(member.address for member in members[:MAX_LOGGED_MEMBERS])
    unnamed = len(members) - MAX_LOGGED_MEMBERS
    more = f" and {unnamed} more" if unnamed > 0 else ""
    return f", {event} {addresses}{more}"
