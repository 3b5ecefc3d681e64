"""A membership that sends nothing and records what it is given."""

from __future__ import annotations

import random
from types import SimpleNamespace
from typing import NamedTuple


class SentMessage(NamedTuple):
    """A message for another member, as the membership was given it."""

    topic: str
    member: str
    body: bytes


class RecordingMembership:
    """The membership of a broker that knows one other member."""

    def __init__(self) -> None:
        self.sent: list[SentMessage] = []
        self.name = "a:1/ff"
        self.detector = SimpleNamespace(draw=random.Random(1))

    def send(self, topic: str, name: str, body: bytes) -> None:
        """Record a message for one member."""
        self.sent.append(SentMessage(topic, name, body))

    def flush(self) -> None:
        """Do nothing: what is sent has been recorded."""

    def names(self) -> tuple[str, ...]:
        """Return the names of both members."""
        return ("a:1/ff", "b:1/ee")
