"""The stages of a start, as a state machine. Performs no I/O.

    settings -> list -> contact -> ramp -> full

Each stage ends by what it waits for or by its timeout, and says which. An endpoint list is there
once the configuration or the discovery service has given one. Where the discovery service says
nothing for ``list_wait_ns``, the endpoint snapshot will do; what it names is unconfirmed until the
service has spoken. Without any list the broker stays in the stage ``list``, says so, and goes on
calling: it never ends because the discovery service is away, and never serves from nothing.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from .settings import NS_PER_SECOND, StartupSettings


class Stage(Enum):
    """The stages in their order; the values are those of answers and metrics."""

    SETTINGS = "settings"
    LIST = "list"
    CONTACT = "contact"
    RAMP = "ramp"
    FULL = "full"


class ListSource(Enum):
    """Where the endpoint list is from; a larger value is more reliable.

    The names, in lower case, are those of answers and log lines.
    """

    NONE = 0
    DISK = 1
    KNOWN = 2
    BUS = 3

    @property
    def label(self) -> str:
        """The name in answers and log lines."""
        return self.name.lower()


@dataclass(frozen=True, slots=True)
class CompletedStage:
    """A stage that is over, how long it took in nanoseconds, and what ended it."""

    stage: Stage
    took_ns: int
    reason: str


@dataclass(slots=True)
class StartupStages:
    """The state of one start. Times are in nanoseconds.

    Attributes:
        settings: The settings of the start.
        begun_ns: When it began.
        stage: The present stage.
        since_ns: When the present stage began.
        source: Where the endpoint list is from.
        snapshot_age_ns: Age of the snapshot, where it is in use.
        usable_snapshot_age_ns: Age of a snapshot that may be used; None for none.
        listed: Endpoints in the list.
        contacted: Listed endpoints that have answered, or rejected, since the start.
        open_fraction: Part of the admission that is open, from 0 to 1.
        delay_logged: Whether the log has a line on the absence of any list.
        completed: The stages that are over, in their order.
    """

    settings: StartupSettings
    begun_ns: int
    stage: Stage = Stage.SETTINGS
    since_ns: int = 0
    source: ListSource = ListSource.NONE
    snapshot_age_ns: int = 0
    usable_snapshot_age_ns: int | None = None
    listed: int = 0
    contacted: int = 0
    open_fraction: float = 0.0
    delay_logged: bool = False
    completed: list[CompletedStage] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Begin the first stage."""
        self.since_ns = self.begun_ns

    def settings_read(self, now: int, usable_snapshot_age_ns: int | None) -> None:
        """The configuration has been read, and the snapshot looked for; None if there is none."""
        if self.stage is Stage.SETTINGS:
            self.usable_snapshot_age_ns = usable_snapshot_age_ns
            self._complete(now, Stage.LIST, "read")

    def list_received(self, now: int, source: ListSource, listed: int) -> None:
        """A complete list, or a change of it, has come from this source."""
        if source.value > self.source.value:
            self.source = source
        self.listed = listed
        if self.stage is Stage.LIST:
            self._complete(now, Stage.CONTACT, f"told by the {source.label}")

    def endpoints_contacted(self, now: int, contacted: int, listed: int) -> None:
        """So many of the listed endpoints have answered since the start, or rejected."""
        self.contacted = contacted
        self.listed = listed
        self.tick(now)

    def snapshot_due(self, now: int) -> bool:
        """Whether the discovery service has been silent for so long that the snapshot will do."""
        return (
            self.stage is Stage.LIST
            and self.usable_snapshot_age_ns is not None
            and now - self.since_ns >= self.settings.list_wait_ns
        )

    def list_overdue(self, now: int) -> bool:
        """Whether there is no list for so long that the log has to say it, and has not yet."""
        return (
            self.stage is Stage.LIST
            and not self.delay_logged
            and now - self.since_ns >= self.settings.list_wait_ns
        )

    def tick(self, now: int) -> None:
        """End the stage of contact if enough endpoints have answered, or its time is over."""
        if self.stage is not Stage.CONTACT:
            return
        wanted = self.settings.contact_fraction * self.listed
        counts = f"heard of {self.contacted} of {self.listed}"
        if self.listed and self.contacted >= wanted:
            self._complete(now, Stage.RAMP, counts)
        elif now - self.since_ns >= self.settings.contact_wait_ns:
            self._complete(now, Stage.RAMP, f"time-out: {counts} only")

    def ramp_advanced(self, now: int, open_fraction: float) -> None:
        """This part of the admission is open now."""
        self.open_fraction = open_fraction
        if self.stage is Stage.RAMP and open_fraction >= 1.0:
            took_s = (now - self.since_ns) / NS_PER_SECOND
            self._complete(now, Stage.FULL, f"whole share after {took_s:.1f} s")

    def skip(self, now: int, reason: str) -> None:
        """Go to the last stage: another process of this broker serves already."""
        if self.stage in (Stage.CONTACT, Stage.RAMP):
            self.open_fraction = 1.0
            self._complete(now, Stage.FULL, reason)

    def ready(self) -> bool:
        """Whether the broker may be given requests."""
        return self.stage in (Stage.RAMP, Stage.FULL)

    def confirmed(self) -> bool:
        """Whether an address in the list is still that of its endpoint.

        That is not known while the list is from the snapshot alone.
        """
        return self.source.value > ListSource.DISK.value

    def waits_for(self) -> str:
        """What the present stage waits for, for operators."""
        match self.stage:
            case Stage.SETTINGS:
                return "the configuration"
            case Stage.LIST:
                if self.usable_snapshot_age_ns is None:
                    return "the bus"
                return f"the bus, or {self.settings.list_wait_ns / NS_PER_SECOND:g} s"
            case Stage.CONTACT:
                wanted = f"{self.settings.contact_fraction:g} of {self.listed} engines"
                return f"{wanted}, heard of {self.contacted}"
            case Stage.RAMP:
                return f"its whole share, {self.open_fraction:.2f} now"
            case Stage.FULL:
                return "nothing"

    def status(self, now: int) -> dict[str, Any]:
        """The answer for operators; durations in seconds."""
        return {
            "stage": self.stage.value,
            "for": (now - self.since_ns) / NS_PER_SECOND,
            "waits_for": self.waits_for(),
            "ready": self.ready(),
            "list": self.source.label,
            "list_age": self.snapshot_age_ns / NS_PER_SECOND,
            "confirmed": self.confirmed(),
            "listed": self.listed,
            "heard": self.contacted,
            "share": round(self.open_fraction, 4),
            "passed": [
                {
                    "stage": completed.stage.value,
                    "took": completed.took_ns / NS_PER_SECOND,
                    "why": completed.reason,
                }
                for completed in self.completed
            ],
        }

    def _complete(self, now: int, following: Stage, reason: str) -> None:
        self.completed.append(CompletedStage(self.stage, now - self.since_ns, reason))
        self.stage = following
        self.since_ns = now
