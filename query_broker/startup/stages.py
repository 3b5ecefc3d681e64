"""The stages of a start, as a state machine. Performs no I/O.

    settings -> list -> contact -> ramp -> full

Each stage ends when its condition is met or its timeout expires, and the reason is recorded. The
endpoint list comes from the configuration or the discovery service. If the discovery service is
silent for ``list_wait_ns``, the endpoint snapshot is used, which is unconfirmed until the service
has answered. Without any list the broker stays in the stage ``list``, logs that once, and keeps
calling the discovery service: it neither exits while the service is unreachable nor serves without
a list.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from .settings import NS_PER_SECOND, StartupSettings


class Stage(Enum):
    """The stages in order; the values appear in answers of the admin API and in metrics."""

    SETTINGS = "settings"
    LIST = "list"
    CONTACT = "contact"
    RAMP = "ramp"
    FULL = "full"


class ListSource(Enum):
    """The source of the endpoint list; a larger value is more reliable.

    The names in lower case appear in answers of the admin API and in log lines.
    """

    NONE = 0
    DISK = 1
    KNOWN = 2
    BUS = 3

    @property
    def label(self) -> str:
        """The name in answers of the admin API and in log lines."""
        return self.name.lower()


@dataclass(frozen=True, slots=True)
class CompletedStage:
    """A stage that has ended.

    Attributes:
        stage: The stage.
        duration_ns: Duration of the stage, in nanoseconds.
        reason: Why the stage ended, for the log and for operators.
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
        source: Source of the endpoint list.
        snapshot_age_ns: Age of the snapshot when it was put to use; 0 if it is not in use.
        usable_snapshot_age_ns: Age of a usable snapshot; None if there is none.
        listed_count: Number of ready endpoints in the list.
        contacted_count: Number of listed endpoints that have answered or rejected a health check
            since the start.
        open_fraction: Open part of the admission, from 0 to 1.
        missing_list_logged: Whether the absence of any list has been logged.
        completed: The stages that have ended, in order.
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
    missing_list_logged: bool = False
    completed: list[CompletedStage] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Begin the first stage."""
        self.stage_started_ns = self.started_ns

    def settings_read(self, now_ns: int, usable_snapshot_age_ns: int | None) -> None:
        """Record that the configuration has been read.

        Args:
            now_ns: The time in nanoseconds.
            usable_snapshot_age_ns: Age of the snapshot; None if there is no usable one.
        """
        if self.stage is Stage.SETTINGS:
            self.usable_snapshot_age_ns = usable_snapshot_age_ns
            self._complete(now_ns, Stage.LIST, "read")

    def list_received(self, now_ns: int, source: ListSource, listed_count: int) -> None:
        """Record a complete list, or a change of it, from this source."""
        if source.value > self.source.value:
            self.source = source
        self.listed_count = listed_count
        if self.stage is Stage.LIST:
            self._complete(now_ns, Stage.CONTACT, f"told by the {source.label}")

    def endpoints_contacted(self, now_ns: int, contacted_count: int, listed_count: int) -> None:
        """Update how many listed endpoints have answered or rejected a health check."""
        self.contacted_count = contacted_count
        self.listed_count = listed_count
        self.tick(now_ns)

    def is_snapshot_due(self, now_ns: int) -> bool:
        """Whether a snapshot is usable and discovery has been silent for ``list_wait_ns``."""
        return (
            self.stage is Stage.LIST
            and self.usable_snapshot_age_ns is not None
            and now_ns - self.stage_started_ns >= self.settings.list_wait_ns
        )

    def is_list_overdue(self, now_ns: int) -> bool:
        """Whether no list has arrived for ``list_wait_ns`` and this has not been logged yet."""
        return (
            self.stage is Stage.LIST
            and not self.missing_list_logged
            and now_ns - self.stage_started_ns >= self.settings.list_wait_ns
        )

    def tick(self, now_ns: int) -> None:
        """End the stage ``contact`` if enough endpoints have answered or it has timed out."""
        if self.stage is not Stage.CONTACT:
            return
        required = self.settings.contact_fraction * self.listed_count
        counts = f"heard of {self.contacted_count} of {self.listed_count}"
        if self.listed_count and self.contacted_count >= required:
            self._complete(now_ns, Stage.RAMP, counts)
        elif now_ns - self.stage_started_ns >= self.settings.contact_wait_ns:
            self._complete(now_ns, Stage.RAMP, f"time-out: {counts} only")

    def ramp_advanced(self, now_ns: int, open_fraction: float) -> None:
        """Update the open part of the admission, from 0 to 1."""
        self.open_fraction = open_fraction
        if self.stage is Stage.RAMP and open_fraction >= 1.0:
            duration_s = (now_ns - self.stage_started_ns) / NS_PER_SECOND
            self._complete(now_ns, Stage.FULL, f"whole share after {duration_s:.1f} s")

    def skip(self, now_ns: int, reason: str) -> None:
        """Go to the last stage, because another process of this broker serves already."""
        if self.stage in (Stage.CONTACT, Stage.RAMP):
            self.open_fraction = 1.0
            self._complete(now_ns, Stage.FULL, reason)

    def ready(self) -> bool:
        """Whether the broker is ready for requests."""
        return self.stage in (Stage.RAMP, Stage.FULL)

    def confirmed(self) -> bool:
        """Whether the list has another source than the snapshot.

        An address in the snapshot may have been reassigned to another endpoint.
        """
        return self.source.value > ListSource.DISK.value

    def waits_for(self) -> str:
        """Return what the present stage waits for, as shown to operators."""
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
        """Return the status for the admin API; durations in seconds."""
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

    def _complete(self, now_ns: int, next_stage: Stage, reason: str) -> None:
        self.completed.append(CompletedStage(self.stage, now_ns - self.stage_started_ns, reason))
        self.stage = next_stage
        self.stage_started_ns = now_ns
