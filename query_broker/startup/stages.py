"""The stages of a start, as a state machine. Pure.

    settings -> list -> contact -> ramp -> full

Each stage ends by what it waits for or by its time-out, and says which. A list is there once the
configuration or the bus has told it; where the bus says nothing for `list_wait`, the last list kept
on disk
will do, and what it names is unconfirmed until the bus has spoken. Without any list the broker
stays in
`list`, says so, and goes on asking: it never ends for want of the bus, and never serves from
nothing.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from .settings import StartupSettings

S = 1_000_000_000


class Stage(Enum):
    SETTINGS = "settings"
    LIST = "list"
    CONTACT = "contact"
    RAMP = "ramp"
    FULL = "full"


class Source(Enum):
    """Where the list is from, the surer the later."""

    NONE = 0
    DISK = 1
    KNOWN = 2
    BUS = 3


@dataclass(frozen=True, slots=True)
class Passed:
    """One stage that is over."""

    stage: Stage
    took: int
    why: str


@dataclass(slots=True)
class Start:
    terms: StartupSettings
    begun: int
    stage: Stage = Stage.SETTINGS
    since: int = 0
    source: Source = Source.NONE
    age: int = 0  # of a list from the disk
    disk: int | None = None  # the age of a list on disk that may be used; None: none
    listed: int = 0
    heard: int = 0
    share: float = 0.0
    complained: bool = False
    passed: list[Passed] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.since = self.begun

    def _pass(self, now: int, to: Stage, why: str) -> None:
        self.passed.append(Passed(self.stage, now - self.since, why))
        self.stage, self.since = to, now

    def settings_read(self, now: int, disk: int | None) -> None:
        """``disk``: the age of the last list, if there is one that may be used."""
        if self.stage is Stage.SETTINGS:
            self.disk = disk
            self._pass(now, Stage.LIST, "read")

    def list_told(self, now: int, source: Source, listed: int) -> None:
        """A whole list, or news of it."""
        surer = source.value > self.source.value
        self.source = source if surer else self.source
        self.listed = listed
        if self.stage is Stage.LIST:
            self._pass(now, Stage.CONTACT, f"told by the {source.name.lower()}")

    def heard_of(self, now: int, heard: int, listed: int) -> None:
        """So many of the listed engines have answered since the start, or refused to."""
        self.heard, self.listed = heard, listed
        self.tick(now)

    def wants_disk(self, now: int) -> bool:
        """The bus has said nothing for long enough: the last list is to be taken now."""
        return (
            self.stage is Stage.LIST
            and self.disk is not None
            and now - self.since >= self.terms.list_wait
        )

    def tick(self, now: int) -> None:
        if self.stage is Stage.CONTACT:
            wanted = self.terms.contact_part * self.listed
            if self.listed and self.heard >= wanted:
                self._pass(now, Stage.RAMP, f"heard of {self.heard} of {self.listed}")
            elif now - self.since >= self.terms.contact_wait:
                self._pass(
                    now, Stage.RAMP, f"time-out: heard of {self.heard} of {self.listed} only"
                )

    def ramped(self, now: int, share: float) -> None:
        self.share = share
        if self.stage is Stage.RAMP and share >= 1.0:
            self._pass(now, Stage.FULL, f"whole share after {(now - self.since) / S:.1f} s")

    def skip(self, now: int, why: str) -> None:
        """Nothing of this start is cold: another process of this broker serves beside it."""
        if self.stage in (Stage.CONTACT, Stage.RAMP):
            self.share = 1.0
            self._pass(now, Stage.FULL, why)

    def ready(self) -> bool:
        return self.stage in (Stage.RAMP, Stage.FULL)

    def confirmed(self) -> bool:
        """The list is not the disk's alone: an address in it is still that engine's."""
        return self.source.value > Source.DISK.value

    def waits_for(self) -> str:
        match self.stage:
            case Stage.SETTINGS:
                return "the configuration"
            case Stage.LIST:
                return "the bus" + (
                    "" if self.disk is None else f", or {self.terms.list_wait / S:g} s"
                )
            case Stage.CONTACT:
                return (
                    f"{self.terms.contact_part:g} of {self.listed} engines, heard of {self.heard}"
                )
            case Stage.RAMP:
                return f"its whole share, {self.share:.2f} now"
        return "nothing"

    def told(self, now: int) -> dict[str, Any]:
        """For operators; seconds."""
        return {
            "stage": self.stage.value,
            "for": (now - self.since) / S,
            "waits_for": self.waits_for(),
            "ready": self.ready(),
            "list": self.source.name.lower(),
            "list_age": self.age / S,
            "confirmed": self.confirmed(),
            "listed": self.listed,
            "heard": self.heard,
            "share": round(self.share, 4),
            "passed": [
                {"stage": p.stage.value, "took": p.took / S, "why": p.why} for p in self.passed
            ],
        }
