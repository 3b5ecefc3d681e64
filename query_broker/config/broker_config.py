"""The configuration of one broker, as a value, and the remarks that it calls for."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any

from ..decisions import Settings
from ..discovery.event_codec import EndpointListEvent
from .schema import IGNORED_SETTINGS_KEYS, KNOWN_REPORT_FIELDS, REPORT, SETTINGS_KEYS
from .values import Section


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of one broker. Durations are in nanoseconds.

    Attributes:
        name: Name of this broker in the log and towards its other processes.
        host: Address on which clients are accepted.
        port: Port on which clients are accepted.
        seed: Seed of the random draws.
        sockets: Descriptors that the process may hold.
        memory_mb: Memory that the process may take, in megabytes.
        cores: Processor time in seconds a second, which the platform enforces.
        discovery_address: Address of the discovery service, if there is one.
        admin_address: Address on which the operators' calls are accepted, if there is one.
        accept_fd: Descriptor of the clients' listening socket, where the platform holds it.
        folder: Folder shared with another process of this broker.
        known_offset: Number of the last watch event that ``known_events`` includes.
        known_events: Watch events that the file itself holds.
        connect_timeout_ns: Time in which a connection to an endpoint has to be established.
        connection_idle_ns: Time after which an unused connection to an endpoint is closed.
        streams_per_connection: Requests that one connection to an endpoint carries at a time.
        settings: The platform's settings.
        source: The file as it was read, without the watch events: what a reload compares.
    """

    name: str
    host: str
    port: int
    seed: int
    sockets: int
    memory_mb: int
    cores: float
    discovery_address: tuple[str, int] | None
    admin_address: tuple[str, int] | None
    accept_fd: int | None
    folder: str
    known_offset: int
    known_events: tuple[EndpointListEvent, ...]
    connect_timeout_ns: int
    connection_idle_ns: int
    streams_per_connection: int
    settings: Settings
    source: Mapping[str, Any] = field(default_factory=dict, repr=False)

    @property
    def tick_ns(self) -> int:
        """Interval of the decisions' clock, in nanoseconds."""
        return self.settings.tick_ns

    def remarks(self) -> list[str]:
        """Return one line for each key of ``settings`` that is not used as it is written."""
        settings = self.source.get("settings", {})
        return [
            *self._place_remarks(settings),
            *(f"settings.{key}: is not known here, and has no effect" for key in unknown(settings)),
            *_report_remarks(settings),
        ]

    def _place_remarks(self, settings: Mapping[str, Any]) -> Iterator[str]:
        # A fleet that grows or shrinks may give the size and the places in it at different times,
        # and that is no reason not to serve.
        place = self.settings.broker_index
        last = self.settings.fleet_size - 1
        written = Section(settings, "settings").integer("me", place)
        if written != place:
            yield f"settings.me: {written} is outside 0 to {last}: taken as {place}"


def _report_remarks(settings: Mapping[str, Any]) -> Iterator[str]:
    report = settings.get(REPORT) or {}
    for name in report.get("fields", []):
        if name not in KNOWN_REPORT_FIELDS:
            yield (
                f"settings.report.fields: {name!r} is no value that is known here, and has no "
                "effect"
            )


def unknown(settings: Mapping[str, Any]) -> list[str]:
    """Return the keys that are neither read nor known as not needed, each once."""
    found: dict[str, None] = {}  # in the place of a set, for its order
    for part, read in SETTINGS_KEYS.items():
        known = read | IGNORED_SETTINGS_KEYS.get(part, set())
        prefix = f"{part}." if part else ""
        for source in _objects(settings, part):
            found.update({prefix + key: None for key in source if key not in known})
    return list(found)


def _objects(settings: Mapping[str, Any], part: str) -> list[Mapping[str, Any]]:
    """The objects of one part of the settings: one, or all of a list."""
    content = settings.get(part, {}) if part else settings
    entries = content if isinstance(content, list) else [content]
    return [entry for entry in entries if isinstance(entry, dict)]
