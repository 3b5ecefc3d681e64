"""The view of the group that the rest of the program reads.

Three numbers must not be confused: how many members this process holds to be *alive*; whether that
is *certain*; and the *effective size* that limits are divided by. A network partition looks like a
mass failure from both of its sides. Therefore a view is certain only while more than
1 - `max_lost_fraction` of the members that were last present still are. With that fraction below
one half, no two sides of a partition can both be certain, and all sides together use
1 + `max_lost_fraction` of a limit at the most: the certain one all of it, the others, less than
`max_lost_fraction` of all members, their quota of the size as it was. Performs no I/O.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, replace
from typing import NamedTuple, Protocol

from .member_table import view_digest
from .messages import Identity

MIN_SIZE_FRACTION = 1 / 3  # of the configured size: limits are never divided by less
MAX_SIZE_MULTIPLE = 4  # of the configured size: nor by more
CALM_SETTLE_PERIODS = 6  # settle times of certainty until a smaller size is the new reference
PENDING_REMOVAL_BATCHES = 4  # batches that a view waits for a removal that is due


class PlacedMember(NamedTuple):
    """A present member, ordered by its configured index."""

    ordinal: int
    identity: Identity


class Position(NamedTuple):
    """What limits are divided by, and the index of this broker within."""

    fleet_size: int
    own_index: int


@dataclass(frozen=True, slots=True)
class MembershipView:
    """The group as it was last published; equal digests are equal sets of members.

    Attributes:
        epoch: Number that rises with each change of the members.
        members: The present members in the order of their configured indexes.
        digest: Digest of the members.
        certain: Limits go by the members of this view.
        alive: Number of the members.
        reference: Number of members that losses are measured by.
        effective_size: Number of brokers that limits are divided by.
        effective_index: Index of this broker among them.
        reason: Why the view is certain or not, for operators.
    """

    epoch: int
    members: tuple[Identity, ...]
    digest: bytes
    certain: bool
    alive: int
    reference: int
    effective_size: int
    effective_index: int
    reason: str


@dataclass(frozen=True, slots=True)
class Observation:
    """What the failure detector and the broker know at one moment.

    Attributes:
        present: The present members, this process among them unless it has left.
        own: This process.
        cut_off: Nobody answers this process, or it has left.
        joined: Some member has answered.
        warming_up: An endpoint is warming up; limits must not rise meanwhile.
        removal_pending: A suspicion ends at any moment, so that a batch waits for it.
    """

    present: list[PlacedMember]
    own: Identity
    cut_off: bool
    joined: bool
    warming_up: bool
    removal_pending: bool


@dataclass(frozen=True, slots=True)
class ViewSettings:
    """How views are published.

    Attributes:
        max_lost_fraction: Fraction of the reference that may be lost at once.
        settle_ns: How long a smaller size must persist before it takes effect.
        batch_ns: How long changes are collected.
    """

    max_lost_fraction: float
    settle_ns: int
    batch_ns: int


class ViewObserver(Protocol):
    """Is notified of each published view, never of each change by itself."""

    def view_changed(
        self,
        view: MembershipView,
        joined: tuple[Identity, ...],
        departed: tuple[Identity, ...],
    ) -> None:
        """Take note of a view and of its difference from the one before."""


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
        """Start with a view that is not certain, of this process alone."""
        self.configured_index = configured_index
        self.view = MembershipView(
            epoch=0,
            members=(),
            digest=b"",
            certain=False,
            alive=1,
            reference=configured_size,
            effective_size=configured_size,
            effective_index=configured_index,
            reason="nobody has been heard yet",
        )
        self._configured_size = configured_size
        self._settings = settings
        self._observer = observer
        self._reference = configured_size
        self._pending_since_ns = 0
        self._certain_since_ns = 0
        self._smaller_size = 0  # the smaller size that has to persist; 0 for none
        self._smaller_since_ns = 0

    def configure(self, configured_size: int, configured_index: int) -> None:
        """Take new settings; a changed size is what losses are measured by from now on."""
        if configured_size != self._configured_size:
            self._reference = configured_size
        self._configured_size = configured_size
        self.configured_index = configured_index

    @property
    def configured_size(self) -> int:
        """The configured number of brokers."""
        return self._configured_size

    def record_leave(self) -> None:
        """Note that a member has announced its leave, which is no loss."""
        self._reference = max(1, self._reference - 1)

    def observe(self, now_ns: int, seen: Observation) -> None:
        """Publish a view if the observation differs from the last one for long enough."""
        members = tuple(member.identity for member in sorted(seen.present))
        alive = len(members)
        self._reference = max(self._reference, alive)
        certain = self._is_certain(seen, alive)
        reason = self._explain(seen, alive, certain)
        self._update_reference(now_ns, alive, certain)
        position = self._effective_position(now_ns, members, seen, certain)
        if self._is_published(members, certain, position):
            self._pending_since_ns = 0
            self.view = replace(self.view, reference=self._reference, reason=reason)
            return
        is_changed = members != self.view.members
        if is_changed and self._is_batching(now_ns, seen, certain):
            return
        self._publish(
            MembershipView(
                epoch=self.view.epoch + is_changed,
                members=members,
                digest=view_digest(list(members)),
                certain=certain,
                alive=alive,
                reference=self._reference,
                effective_size=position.fleet_size,
                effective_index=position.own_index,
                reason=reason,
            )
        )

    def _is_certain(self, seen: Observation, alive: int) -> bool:
        needed = (1 - self._settings.max_lost_fraction) * self._reference
        return seen.joined and not seen.cut_off and alive > needed

    def _explain(self, seen: Observation, alive: int, certain: bool) -> str:
        if certain:
            return "certain"
        if seen.cut_off or not seen.joined:
            return "we hear nobody"
        lost = self._settings.max_lost_fraction
        return f"{alive} of {self._reference} are there: more than {lost:.0%} are lost"

    def _update_reference(self, now_ns: int, alive: int, certain: bool) -> None:
        """Measure losses by the present size once views have been certain for long enough."""
        if not certain:
            self._certain_since_ns = 0
            return
        if not self._certain_since_ns:
            self._certain_since_ns = now_ns
        calm_ns = CALM_SETTLE_PERIODS * self._settings.settle_ns
        if now_ns - self._certain_since_ns >= calm_ns:
            self._reference = alive
            self._certain_since_ns = now_ns

    def _is_published(
        self, members: tuple[Identity, ...], certain: bool, position: Position
    ) -> bool:
        view = self.view
        return (
            members == view.members
            and certain == view.certain
            and position == (view.effective_size, view.effective_index)
        )

    def _is_batching(self, now_ns: int, seen: Observation, certain: bool) -> bool:
        """Return whether changes are still being collected; a loss of certainty never waits."""
        self._pending_since_ns = self._pending_since_ns or now_ns
        batches = PENDING_REMOVAL_BATCHES if seen.removal_pending else 1
        waited_ns = now_ns - self._pending_since_ns
        return waited_ns < batches * self._settings.batch_ns and self.view.certain >= certain

    def _publish(self, view: MembershipView) -> None:
        before = set(self.view.members)
        after = set(view.members)
        self._pending_since_ns = 0
        self.view = view
        self._observer.view_changed(view, tuple(after - before), tuple(before - after))

    def _effective_position(
        self, now_ns: int, members: tuple[Identity, ...], seen: Observation, certain: bool
    ) -> Position:
        """Return what limits are divided by.

        A size that is too small makes every broker's quota too large. So a smaller size takes
        effect only while the view is certain, has persisted, and no endpoint is warming up: one
        that all brokers load at once falls over.
        """
        alive = len(members)
        is_safe = certain and not seen.warming_up
        size = self._settled_size(now_ns, self._bounded_size(alive, is_safe))
        if not is_safe or seen.own not in members or size < alive:
            return Position(size, self.configured_index % size)
        return Position(size, members.index(seen.own) % size)

    def _bounded_size(self, alive: int, is_safe: bool) -> int:
        smallest = math.ceil(MIN_SIZE_FRACTION * self._configured_size)
        largest = MAX_SIZE_MULTIPLE * self._configured_size
        size = min(largest, max(alive, smallest))
        return size if is_safe else max(size, self._configured_size)

    def _settled_size(self, now_ns: int, size: int) -> int:
        """Return the size, or the present one until a smaller size has persisted."""
        if size >= self.view.effective_size:
            self._smaller_size = 0
            return size
        if not self._smaller_size or size > self._smaller_size:
            # The largest of the recent sizes is the one that has persisted.
            self._smaller_size = size
            self._smaller_since_ns = now_ns
        if now_ns - self._smaller_since_ns < self._settings.settle_ns:
            return self.view.effective_size
        settled = self._smaller_size
        self._smaller_size = 0
        return settled
