"""The configuration of one broker, and the remarks that are logged about it."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any

from ..decisions import Settings
from ..discovery.event_codec import EndpointListEvent
from .schema import IGNORED_SETTINGS_KEYS, KNOWN_REPORT_FIELDS, REPORT_KEY, SETTINGS_KEYS
from .values import Section, ValueKind


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of one broker. Durations are in nanoseconds.

    Attributes:
        name: Name of this broker in the log and for its other processes.
        host: Address on which clients are accepted.
        port: Port on which clients are accepted.
        seed: Seed of the random numbers.
        sockets: File descriptors that the process may have open.
        memory_mb: Memory that the process may use, in megabytes.
        cores: Processor time in seconds per second, which the platform enforces.
        discovery_address: Host and port of the discovery service, if there is one.
        admin_address: Host and port of the admin API, if there is one.
        accept_fd: Descriptor of the clients' listening socket, if the platform holds that socket.
        folder: Folder that the processes of this broker share.
        known_offset: Number of the last watch event that ``known_events`` includes.
        known_events: Watch events that the file contains.
        connect_timeout_ns: Time in which a connection to an endpoint has to be established.
        connection_idle_ns: Time after which an unused connection to an endpoint is closed.
        streams_per_connection: Requests that one connection to an endpoint carries at a time.
        settings: The platform's settings.
        source: The content of the file without the watch events, which a reload compares.
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
        """Control period of the decisions, in nanoseconds."""
        return self.settings.tick_ns

    def remarks(self) -> list[str]:
        """Return a line for each key of ``settings`` that is unknown or whose value is replaced."""
        settings = self.source.get("settings", {})
        return [
            *self._broker_index_remarks(settings),
            *(
                f"settings.{key}: is not known here, and has no effect"
                for key in unknown_keys(settings)
            ),
            *_report_remarks(settings),
        ]

    def _broker_index_remarks(self, settings: Mapping[str, Any]) -> Iterator[str]:
        # While a fleet grows or shrinks, its size and the brokers' indices may be deployed at
        # different times. The broker must serve during that time.
        broker_index = self.settings.broker_index
        last_index = self.settings.fleet_size - 1
        configured = Section(settings, "settings").integer("me", broker_index)
        if configured != broker_index:
            yield f"settings.me: {configured} is outside 0 to {last_index}: taken as {broker_index}"


def _report_remarks(settings: Mapping[str, Any]) -> Iterator[str]:
    for name in Section(settings).section(REPORT_KEY).list_of("fields", ValueKind.TEXT):
        if name not in KNOWN_REPORT_FIELDS:
            yield (
                f"settings.report.fields: {name!r} is no value that is known here, and has no "
                "effect"
            )


def unknown_keys(settings: Mapping[str, Any]) -> list[str]:
    """Return the keys that are neither used nor in ``IGNORED_SETTINGS_KEYS``, each once."""
    unknown: dict[str, None] = {}  # an ordered set
    for section, used_keys in SETTINGS_KEYS.items():
        known_keys = used_keys | IGNORED_SETTINGS_KEYS.get(section, set())
        prefix = f"{section}." if section else ""
        for entry in _objects(settings, section):
            unknown.update({prefix + key: None for key in entry if key not in known_keys})
    return list(unknown)


def _objects(settings: Mapping[str, Any], section: str) -> list[Mapping[str, Any]]:
    """Return the objects of one section of the settings: the section itself, or those of a list."""
    content = settings.get(section, {}) if section else settings
    entries = content if isinstance(content, list) else [content]
    return [entry for entry in entries if isinstance(entry, dict)]
