"""The view of the group that the rest of the program reads.

A view states the number of present members, whether that number is *certain*, and the *effective
size* that limits are divided by, which can differ from the number of members. From either side, a
network partition looks like a mass failure. Therefore a view is certain only while more than
1 - `max_lost_fraction` of the reference size are present. With that fraction below one half, at
most one side of a partition is certain, and all sides together use at most 1 + `max_lost_fraction`
of a limit: the certain side uses all of it, and the other sides, which have less than
`max_lost_fraction` of all members, use their quotas of the former size. Performs no I/O.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, replace
from typing import NamedTuple, Protocol

from .member_table import view_digest
from .messages import Identity

#: Minimum effective size, as a fraction of the configured size.
MIN_SIZE_FRACTION = 1 / 3
#: Maximum effective size, as a multiple of the configured size.
MAX_SIZE_MULTIPLE = 4
#: Settle times for which views must be certain before the present size becomes the reference.
REFERENCE_SETTLE_PERIODS = 6
#: Batch periods that a view waits at most for a pending removal.
PENDING_REMOVAL_BATCH_PERIODS = 4


class PlacedMember(NamedTuple):
    """A present member, ordered by its configured index."""

    ordinal: int
    identity: Identity


class FleetPosition(NamedTuple):
    """The fleet size that limits are divided by, and the index of this broker in that fleet."""

    fleet_size: int
    own_index: int


@dataclass(frozen=True, slots=True)
class MembershipView:
    """A published view of the group; equal digests mean equal sets of members.

    Attributes:
        epoch: Number that increases with each published change of the members.
        members: The present members in the order of their configured indexes.
        digest: Digest of the members.
        is_certain: Whether the number of members is certain enough to divide limits by.
        member_count: Number of the members.
        reference_size: Number of members that losses are measured against.
        effective_size: Number of brokers that limits are divided by.
        effective_index: Index of this broker among the `effective_size` brokers.
        reason: Why the view is certain or not, for operators.
    """

    epoch: int
    members: tuple[Identity, ...]
    digest: bytes
    is_certain: bool
    member_count: int
    reference_size: int
    effective_size: int
    effective_index: int
    reason: str


@dataclass(frozen=True, slots=True)
class Observation:
    """The state of the group and of this broker at one moment.

    Attributes:
        present: The present members, including this process unless it has left.
        own: This process.
        is_cut_off: Whether this process has left, or no member answers it.
        has_joined: Whether any member has answered.
        is_endpoint_warming_up: Whether an endpoint is warming up, so that limits must not rise.
        is_removal_pending: Whether a suspicion is about to expire; publication then waits for it.
    """

    present: list[PlacedMember]
    own: Identity
    is_cut_off: bool
    has_joined: bool
    is_endpoint_warming_up: bool
    is_removal_pending: bool


@dataclass(frozen=True, slots=True)
class ViewSettings:
    """Settings of the publication of views.

    Attributes:
        max_lost_fraction: Fraction of the reference size that may be lost at once.
        settle_ns: How long a smaller size must persist before it takes effect.
        batch_ns: How long changes are collected before they are published.
    """

    max_lost_fraction: float
    settle_ns: int
    batch_ns: int


class ViewObserver(Protocol):
    """Is notified of each published view, not of each change."""

    def view_changed(
        self,
        view: MembershipView,
        joined: tuple[Identity, ...],
        departed: tuple[Identity, ...],
    ) -> None:
        """Process a published view and its changes since the previous view."""


class ViewTracker:
    """Publishes views from observations.

    Attributes:
        view: The view published last.
        configured_index: Index of this broker in the configuration.
    """

    def __init__(
        self,
        configured_size: int,
        configured_index: int,
        settings: ViewSettings,
        observer: ViewObserver,
    ) -> None:
        """Start with an uncertain view of one member."""
        self.configured_index = configured_index
        self.view = MembershipView(
            epoch=0,
            members=(),
            digest=b"",
            is_certain=False,
            member_count=1,
            reference_size=configured_size,
            effective_size=configured_size,
            effective_index=configured_index,
            reason="nobody has been heard yet",
        )
        self._configured_size = configured_size
        self._settings = settings
        self._observer = observer
        self._reference_size = configured_size
        self._pending_since_ns = 0
        self._certain_since_ns = 0
        self._smaller_size = 0  # candidate for a smaller effective size; 0 for none
        self._smaller_since_ns = 0

    def configure(self, configured_size: int, configured_index: int) -> None:
        """Apply new settings; a changed configured size becomes the reference size."""
        if configured_size != self._configured_size:
            self._reference_size = configured_size
        self._configured_size = configured_size
        self.configured_index = configured_index

    @property
    def configured_size(self) -> int:
        """The configured number of brokers."""
        return self._configured_size

    def record_leave(self) -> None:
        """Record that a member has announced its leave, which does not count as a loss."""
        self._reference_size = max(1, self._reference_size - 1)

    def observe(self, now_ns: int, observation: Observation) -> None:
        """Update the view, and publish it once changes have been collected for the batch time."""
        members = tuple(member.identity for member in sorted(observation.present))
        member_count = len(members)
        self._reference_size = max(self._reference_size, member_count)
        is_certain = self._is_certain(observation, member_count)
        reason = self._explain(observation, member_count, is_certain)
        self._update_reference(now_ns, member_count, is_certain)
        position = self._effective_position(now_ns, members, observation, is_certain)
        if self._is_published(members, is_certain, position):
            self._pending_since_ns = 0
            self.view = replace(self.view, reference_size=self._reference_size, reason=reason)
            return
        is_changed = members != self.view.members
        if is_changed and self._is_batching(now_ns, observation, is_certain):
            return
        self._publish(
            MembershipView(
                epoch=self.view.epoch + is_changed,
                members=members,
                digest=view_digest(list(members)),
                is_certain=is_certain,
                member_count=member_count,
                reference_size=self._reference_size,
                effective_size=position.fleet_size,
                effective_index=position.own_index,
                reason=reason,
            )
        )

    def _is_certain(self, observation: Observation, member_count: int) -> bool:
        needed = (1 - self._settings.max_lost_fraction) * self._reference_size
        return observation.has_joined and not observation.is_cut_off and member_count > needed

    def _explain(self, observation: Observation, member_count: int, is_certain: bool) -> str:
        if is_certain:
            return "certain"
        if observation.is_cut_off or not observation.has_joined:
            return "we hear nobody"
        lost = self._settings.max_lost_fraction
        return f"{member_count} of {self._reference_size} are there: more than {lost:.0%} are lost"

    def _update_reference(self, now_ns: int, member_count: int, is_certain: bool) -> None:
        """Make the present size the reference once views have been certain for long enough."""
        if not is_certain:
            self._certain_since_ns = 0
            return
        if not self._certain_since_ns:
            self._certain_since_ns = now_ns
        certain_period_ns = REFERENCE_SETTLE_PERIODS * self._settings.settle_ns
        if now_ns - self._certain_since_ns >= certain_period_ns:
            self._reference_size = member_count
            self._certain_since_ns = now_ns

    def _is_published(
        self, members: tuple[Identity, ...], is_certain: bool, position: FleetPosition
    ) -> bool:
        view = self.view
        return (
            members == view.members
            and is_certain == view.is_certain
            and position == (view.effective_size, view.effective_index)
        )

    def _is_batching(self, now_ns: int, observation: Observation, is_certain: bool) -> bool:
        """Return whether changes are still collected; a loss of certainty is published at once."""
        self._pending_since_ns = self._pending_since_ns or now_ns
        batch_periods = PENDING_REMOVAL_BATCH_PERIODS if observation.is_removal_pending else 1
        waited_ns = now_ns - self._pending_since_ns
        return (
            waited_ns < batch_periods * self._settings.batch_ns
            and self.view.is_certain >= is_certain
        )

    def _publish(self, view: MembershipView) -> None:
        before = set(self.view.members)
        after = set(view.members)
        self._pending_since_ns = 0
        self.view = view
        self._observer.view_changed(view, tuple(after - before), tuple(before - after))

    def _effective_position(
        self, now_ns: int, members: tuple[Identity, ...], observation: Observation, is_certain: bool
    ) -> FleetPosition:
        """Return the size that limits are divided by, and this broker's index.

        A size that is too small makes every broker's quota too large. Therefore a smaller size
        takes effect only after it has persisted and, below the configured size, only while the
        view is certain and no endpoint is warming up: an endpoint that is warming up and loaded
        by all brokers at once would be overloaded.
        """
        member_count = len(members)
        is_safe = is_certain and not observation.is_endpoint_warming_up
        size = self._settled_size(now_ns, self._bounded_size(member_count, is_safe))
        if not is_safe or observation.own not in members or size < member_count:
            return FleetPosition(size, self.configured_index % size)
        return FleetPosition(size, members.index(observation.own) % size)

    def _bounded_size(self, member_count: int, is_safe: bool) -> int:
        smallest = math.ceil(MIN_SIZE_FRACTION * self._configured_size)
        largest = MAX_SIZE_MULTIPLE * self._configured_size
        size = min(largest, max(member_count, smallest))
        return size if is_safe else max(size, self._configured_size)

    def _settled_size(self, now_ns: int, size: int) -> int:
        """Return the size, or the current one until a smaller size has persisted."""
        if size >= self.view.effective_size:
            self._smaller_size = 0
            return size
        if not self._smaller_size or size > self._smaller_size:
            # The size that has persisted is the largest one observed since the wait began.
            self._smaller_size = size
            self._smaller_since_ns = now_ns
        if now_ns - self._smaller_since_ns < self._settings.settle_ns:
            return self.view.effective_size
        settled = self._smaller_size
        self._smaller_size = 0
        return settled
