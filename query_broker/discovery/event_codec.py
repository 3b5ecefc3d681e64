"""The event bus's lines: events of the engine list and second-beats. Knows no socket."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from ..decisions.facade import EndpointState

STATES = {
    "in_service": EndpointState.READY,
    "terminating": EndpointState.DRAINING,
    "terminated": EndpointState.REMOVED,
}
MOST_LINE = 1 << 20
MS = 1_000_000


class BadLine(Exception):
    """A line, or an entry of the configuration, that tells no event."""


@dataclass(frozen=True, slots=True)
class ListedEndpoint:
    """One engine as the bus tells of it."""

    uid: str
    host: str
    port: int
    zone: str
    kind: str
    cell: int
    state: EndpointState
    weight: float
    started_ns: int  # Unix nanoseconds; 0: long ago


@dataclass(frozen=True, slots=True)
class EndpointListEvent:
    offset: int
    full: bool
    targets: tuple[ListedEndpoint, ...]


def parse_address(text: Any) -> tuple[str, int]:
    host, colon, port = str(text).rpartition(":")
    if not colon or not host or not port.isdecimal() or not 0 < int(port) < 65_536:
        raise BadLine(f"{text!r} is no address host:port")
    return host.strip("[]"), int(port)


def _target(raw: Any) -> ListedEndpoint:
    if not isinstance(raw, dict):
        raise BadLine("a target that is no object")
    state, uid = raw.get("state"), raw.get("uid")
    if not isinstance(uid, str) or not uid:
        raise BadLine("a target without its uid")
    if state not in STATES:
        raise BadLine(f"{uid}: unknown state {state!r}")
    # A terminated engine may come without the rest: there is nothing to connect to any more.
    gone = STATES[state] is EndpointState.REMOVED
    host, port = ("", 0) if gone and not raw.get("endpoint") else parse_address(raw.get("endpoint"))
    try:
        return ListedEndpoint(
            uid,
            host,
            port,
            str(raw.get("az") or ""),
            str(raw.get("model") or ""),
            int(raw.get("pod_group") or 0),
            STATES[state],
            float(raw.get("capacity_hint") or 1.0),
            int(raw.get("boot_ms") or 0) * MS,
        )
    except (TypeError, ValueError, OverflowError) as error:
        raise BadLine(f"{uid}: {error}") from None


def parse_event(raw: Any) -> EndpointListEvent:
    """One event, as on the bus and under `known`."""
    if not isinstance(raw, dict) or type(raw.get("offset")) is not int:
        raise BadLine("an event without its offset")
    topology = raw.get("topology")
    if not isinstance(topology, dict):
        return EndpointListEvent(
            raw["offset"], False, ()
        )  # some other event: only its number counts
    targets = topology.get("targets", [])
    if not isinstance(targets, list):
        raise BadLine("targets is no list")
    return EndpointListEvent(
        raw["offset"], topology.get("all") is True, tuple(_target(t) for t in targets)
    )


def parse_line(line: bytes) -> EndpointListEvent | int:
    """An event, or the last offset that a second-beat names."""
    try:
        raw = json.loads(line)
    except (ValueError, RecursionError):
        raise BadLine(f"{line[:80]!r} is no JSON") from None
    return raw if type(raw) is int else parse_event(raw)


class LineParser:
    """Takes bytes as they come; gives whole lines without their end."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        self.buffer += data
        *lines, rest = self.buffer.split(b"\n")
        if len(rest) > MOST_LINE:
            raise BadLine("a line without end")
        self.buffer = bytearray(rest)
        return [bytes(line) for line in lines if line.strip()]
