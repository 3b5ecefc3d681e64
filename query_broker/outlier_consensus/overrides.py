"""Operators' overrides of endpoints, merged to the same result on both sides of a partition.

An override has a version, one more than the latest that its author knew, and names the override it
replaces. The override with the higher version is in force; of two with the same version, `out`
takes precedence over other values, then the greater author address. All brokers therefore reach the
same result, in whatever order they receive overrides. An override that lost to one whose author did
not know it is kept for display, so that its operator can see that it is not in force. Performs no
I/O.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

from .messages import Override, OverrideValue

MAX_OVERRIDES = 4_096
DIGEST_BYTES = 8
NO_REPLACED_OVERRIDE = (0, "")
#: Overrides whose versions differ by at least this much are not concurrent.
CONCURRENT_VERSION_DISTANCE = 2
OVERRIDE_VALUES = tuple(value.value for value in OverrideValue)


class OverrideStore:
    """The overrides in force, those that were superseded, and what is still to be sent.

    Attributes:
        own_address: Address of this broker, the author of the overrides set here.
        overrides: The override in force, by endpoint id.
        superseded: The latest override that lost against a concurrent one, by endpoint id.
        remaining_sends: In how many more batches the override is sent, by endpoint id.
    """

    def __init__(self, own_address: str) -> None:
        """Start without overrides."""
        self.own_address = own_address
        self.overrides: dict[str, Override] = {}
        self.superseded: dict[str, Override] = {}
        self.remaining_sends: dict[str, int] = {}

    def digest(self) -> bytes:
        """Return a hash of all overrides in force."""
        digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
        for uid in sorted(self.overrides):
            override = self.overrides[uid]
            digest.update(
                f"{uid}\0{override.value}\0{override.version}\0{override.author}\0".encode()
            )
        return digest.digest()

    def has_value(self, uid: str, value: OverrideValue) -> bool:
        """Return whether the override of an endpoint has this value."""
        override = self.overrides.get(uid)
        return override is not None and override.value == value

    def set(self, uid: str, value: str, send_count: int) -> Override:
        """Store an operator's decision made at this broker, to be sent in `send_count` batches."""
        present = self.overrides.get(uid)
        if present is None:
            override = Override(uid, value, 1, self.own_address, NO_REPLACED_OVERRIDE)
        else:
            replaced = (present.version, present.author)
            override = Override(uid, value, 1 + present.version, self.own_address, replaced)
        self._store(override, send_count)
        return override

    def merge(self, overrides: Iterable[Override], send_count: int) -> list[Override]:
        """Merge overrides of other brokers; return those that have come into force.

        Args:
            overrides: The overrides as received; invalid ones are ignored.
            send_count: In how many batches each accepted override is forwarded.
        """
        accepted: list[Override] = []
        for override in overrides:
            present = self.overrides.get(override.uid)
            if not self._is_acceptable(override, present):
                continue
            if present is not None and override.rank() <= present.rank():
                if _are_concurrent(present, override):
                    self.superseded[override.uid] = override
                continue
            if present is not None and _are_concurrent(override, present):
                self.superseded[override.uid] = present
            self._store(override, send_count)
            accepted.append(override)
        return accepted

    def _is_acceptable(self, override: Override, present: Override | None) -> bool:
        if override.value not in OVERRIDE_VALUES or override.version < 1:
            return False
        if present is None:
            return len(self.overrides) < MAX_OVERRIDES
        return present != override

    def _store(self, override: Override, send_count: int) -> None:
        self.overrides[override.uid] = override
        self.remaining_sends[override.uid] = send_count

    def next_batch(self, max_count: int) -> tuple[Override, ...]:
        """Return the overrides to send in one round, those sent least often first."""
        uids = sorted(self.remaining_sends, key=lambda uid: -self.remaining_sends[uid])
        chosen = uids[:max_count]
        for uid in chosen:
            self.remaining_sends[uid] -= 1
            if self.remaining_sends[uid] <= 0:
                del self.remaining_sends[uid]
        return tuple(self.overrides[uid] for uid in chosen)


def _are_concurrent(winner: Override, loser: Override) -> bool:
    """Return whether the author of the override that won did not know the one that lost."""
    if winner.replaced == (loser.version, loser.author):
        return False
    return winner.version - loser.version < CONCURRENT_VERSION_DISTANCE
