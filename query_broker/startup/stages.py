"""The stages of a start, as a state machine. Performs no I/O.

    settings -> list -> contact -> ramp -> full

Each stage ends with what it waits for or with its timeout, and records which. An endpoint list is
there once the configuration or the discovery service has given one. Where the discovery service is
silent for ``list_wait_ns``, the endpoint snapshot is used; it stays unconfirmed until the service
has answered. Without any list the broker stays in the stage ``list``, logs it once, and goes on
calling: it neither ends because the discovery service is unreachable, nor serves without a list.
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
    """A stage that is over.

    Attributes:
        stage: The stage.
        duration_ns: How long it took, in nanoseconds.
        reason: What ended it, for the log and for operators.
    """

    stage: Stage
    duration_ns: int
    reason: str


@dataclass(slots=True)
class StartupStages:
    """The state of one start. Times are in nanoseconds.

    Attributes:
        settings: The settings of the start.
        started_ns: When the start began.
        stage: The present stage.
        stage_started_ns: When the present stage began.
        source: Where the endpoint list is from.
        snapshot_age_ns: Age of the snapshot, where it is in use.
        usable_snapshot_age_ns: Age of a snapshot that may be used; None for none.
        listed_count: Number of ready endpoints in the list.
        contacted_count: Number of listed endpoints that have answered, or rejected, since the
            start.
        open_fraction: Part of the admission that is open, from 0 to 1.
        delay_logged: Whether the log has a line on the absence of any list.
        completed: The stages that are over, in their order.
    """

    settings: StartupSettings
    started_ns: int
    stage: Stage = Stage.SETTINGS
    stage_started_ns: int = 0
    source: ListSource = ListSource.NONE
    snapshot_age_ns: int = 0
    usable_snapshot_age_ns: int | None = None
    listed_count: int = 0
    contacted_count: int = 0
    open_fraction: float = 0.0
    delay_logged: bool = False
    completed: list[CompletedStage] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Begin the first stage."""
        self.stage_started_ns = self.started_ns

    def settings_read(self, now_ns: int, usable_snapshot_age_ns: int | None) -> None:
        """The configuration has been read.

        Args:
            now_ns: The time in nanoseconds.
            usable_snapshot_age_ns: Age of the snapshot; None if there is none that may be used.
        """
        if self.stage is Stage.SETTINGS:
            self.usable_snapshot_age_ns = usable_snapshot_age_ns
            self._complete(now_ns, Stage.LIST, "read")

    def list_received(self, now_ns: int, source: ListSource, listed_count: int) -> None:
        """A complete list, or a change of it, has come from this source."""
        if source.value > self.source.value:
            self.source = source
        self.listed_count = listed_count
        if self.stage is Stage.LIST:
            self._complete(now_ns, Stage.CONTACT, f"told by the {source.label}")

    def endpoints_contacted(self, now_ns: int, contacted_count: int, listed_count: int) -> None:
        """Update how many of the listed endpoints have answered since the start, or rejected."""
        self.contacted_count = contacted_count
        self.listed_count = listed_count
        self.tick(now_ns)

    def snapshot_due(self, now_ns: int) -> bool:
        """Whether the discovery service has been silent for so long that the snapshot is used."""
        return (
            self.stage is Stage.LIST
            and self.usable_snapshot_age_ns is not None
            and now_ns - self.stage_started_ns >= self.settings.list_wait_ns
        )

    def list_overdue(self, now_ns: int) -> bool:
        """Whether the absence of any list is to be logged: it lasts, and is not logged yet."""
        return (
            self.stage is Stage.LIST
            and not self.delay_logged
            and now_ns - self.stage_started_ns >= self.settings.list_wait_ns
        )

    def tick(self, now_ns: int) -> None:
        """End the stage of contact if enough endpoints have answered, or its time is over."""
        if self.stage is not Stage.CONTACT:
            return
        required = self.settings.contact_fraction * self.listed_count
        counts = f"heard of {self.contacted_count} of {self.listed_count}"
        if self.listed_count and self.contacted_count >= required:
            self._complete(now_ns, Stage.RAMP, counts)
        elif now_ns - self.stage_started_ns >= self.settings.contact_wait_ns:
            self._complete(now_ns, Stage.RAMP, f"time-out: {counts} only")

    def ramp_advanced(self, now_ns: int, open_fraction: float) -> None:
        """Update the part of the admission that is open, from 0 to 1."""
        self.open_fraction = open_fraction
        if self.stage is Stage.RAMP and open_fraction >= 1.0:
            duration_s = (now_ns - self.stage_started_ns) / NS_PER_SECOND
            self._complete(now_ns, Stage.FULL, f"whole share after {duration_s:.1f} s")

    def skip(self, now_ns: int, reason: str) -> None:
        """Go to the last stage: another process of this broker serves already."""
        if self.stage in (Stage.CONTACT, Stage.RAMP):
            self.open_fraction = 1.0
            self._complete(now_ns, Stage.FULL, reason)

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
                required = f"{self.settings.contact_fraction:g} of {self.listed_count} engines"
                return f"{required}, heard of {self.contacted_count}"
            case Stage.RAMP:
                return f"its whole share, {self.open_fraction:.2f} now"
            case Stage.FULL:
                return "nothing"

    def status(self, now_ns: int) -> dict[str, Any]:
        """The answer for operators; durations in seconds."""
        return {
            "stage": self.stage.value,
            "for": (now_ns - self.stage_started_ns) / NS_PER_SECOND,
            "waits_for": self.waits_for(),
            "ready": self.ready(),
            "list": self.source.label,
            "list_age": self.snapshot_age_ns / NS_PER_SECOND,
            "confirmed": self.confirmed(),
            "listed": self.listed_count,
            "heard": self.contacted_count,
            "share": round(self.open_fraction, 4),
            "passed": [
                {
                    "stage": completed.stage.value,
                    "took": completed.duration_ns / NS_PER_SECOND,
                    "why": completed.reason,
                }
                for completed in self.completed
            ],
        }

    def _complete(self, now_ns: int, following: Stage, reason: str) -> None:
        self.completed.append(CompletedStage(self.stage, now_ns - self.stage_started_ns, reason))
        self.stage = following
        self.stage_started_ns = now_ns
