"""Replay protection by the sequence numbers received from each sender.

A sliding window as in IPsec's anti-replay service (RFC 4303, section 3.4.3). Performs no I/O.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from .messages import Identity

#: Maximum reordering of one sender's messages that is tolerated, in sequence numbers.
WINDOW_BITS = 256
MAX_REPLAY_WINDOWS = 8_192


@dataclass(slots=True)
class ReplayWindow:
    """The received sequence numbers of one sender; bit n stands for `highest_sequence - n`."""

    highest_sequence: int = -1
    bits: int = 0

    def accept(self, sequence: int) -> bool:
        """Record a sequence number; return False if it was recorded before or is too old."""
        if sequence > self.highest_sequence:
            self._advance(sequence)
            return True
        distance = self.highest_sequence - sequence
        if distance >= WINDOW_BITS or self.bits >> distance & 1:
            return False
        self.bits |= 1 << distance
        return True

    def _advance(self, sequence: int) -> None:
        advance = sequence - self.highest_sequence
        if advance < WINDOW_BITS:
            self.bits = ((self.bits << advance) | 1) & ((1 << WINDOW_BITS) - 1)
        else:
            self.bits = 1
        self.highest_sequence = sequence


@dataclass(slots=True)
class ReplayWindows:
    """The windows of all senders; the least recently used is evicted beyond the maximum."""

    windows: OrderedDict[Identity, ReplayWindow] = field(default_factory=OrderedDict)

    def __len__(self) -> int:
        """Return the number of senders that have a window."""
        return len(self.windows)

    def accept(self, sender: Identity, sequence: int) -> bool:
        """Record a sender's sequence number; return False if it is a replay."""
        window = self.windows.get(sender)
        if window is None:
            window = ReplayWindow()
            self.windows[sender] = window
            if len(self.windows) > MAX_REPLAY_WINDOWS:
                self.windows.popitem(last=False)
        else:
            self.windows.move_to_end(sender)
        return window.accept(sequence)
