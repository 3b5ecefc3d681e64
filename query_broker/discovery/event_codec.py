"""The line codec of the endpoint list: watch events and heartbeats, one JSON value a line.

Performs no I/O. An event is an object with an ``offset``, the number of the event, and an optional
``topology``, which lists endpoints. A heartbeat is just the offset of the latest event.

The discovery service and the configuration file (under ``known``) use the same format. This module
maps the names of that format to the terms of the rest of the program.
"""

from __future__ import annotations

import json
import math
from dataclasses import dataclass
from typing import Any, NamedTuple, NewType

from ..decisions.facade import EndpointState
from ..errors import QueryBrokerError

STATE_BY_NAME = {
    "in_service": EndpointState.READY,
    "terminating": EndpointState.DRAINING,
    "terminated": EndpointState.REMOVED,
}
#: A list of thousands of endpoints fits in one MiB, and a service that never ends a line can't fill
#: the memory.
MAX_LINE_BYTES = 1 << 20
#: How much of an invalid line or address an error message quotes.
MAX_QUOTED_BYTES = 80
NS_PER_MS = 1_000_000
MAX_PORT = 65_535
MAX_PORT_DIGITS = 5
#: Largest ``boot_ms``; later start times exceed 64 bits in nanoseconds.
MAX_BOOT_MS = (1 << 63) // 1_000_000

#: The offset of the latest event of the service, as sent in a heartbeat.
Heartbeat = NewType("Heartbeat", int)


class InvalidEventError(QueryBrokerError):
    """A line of the watch, or an entry of the configuration, is not a valid event.

    Attributes:
        problem: What is wrong with the event.
        uid: The uid of the invalid endpoint, empty if unknown.
    """

    def __init__(self, problem: str, uid: str = "") -> None:
        """Compose the message from the uid, if it is known, and the problem."""
        super().__init__(f"{uid}: {problem}" if uid else problem)
        self.problem = problem
        self.uid = uid


class Address(NamedTuple):
    """The address of a listener: a host name or an IP address without brackets, and a TCP port."""

    host: str
    port: int


#: Address of a removed endpoint whose event has none; no connection to it is opened any more.
NO_ADDRESS = Address("", 0)


@dataclass(frozen=True, slots=True)
class ListedEndpoint:
    """One endpoint of the list.

    Attributes:
        uid: The endpoint's identity, independent of its address.
        host: The host name or IP address at which it listens.
        port: The TCP port at which it listens.
        zone: The availability zone, empty if unknown.
        kind: The model of the machine, empty if unknown.
        cell: The number of the pod group that it belongs to.
        state: Whether it takes new work.
        weight: Its capacity relative to other endpoints.
        started_ns: When it started, in Unix nanoseconds; 0 if unknown or long ago.
    """

    uid: str
    host: str
    port: int
    zone: str
    kind: str
    cell: int
    state: EndpointState
    weight: float
    started_ns: int


@dataclass(frozen=True, slots=True)
class EndpointListEvent:
    """One change of the endpoint list.

    Attributes:
        offset: The number of the event; successive events have successive numbers.
        full: Whether ``targets`` is the complete list, so that all other endpoints are removed.
        targets: The endpoints that are new or have changed, or the complete list.
    """

    offset: int
    full: bool
    targets: tuple[ListedEndpoint, ...]


def parse_address(text: Any) -> Address:
    """Parse ``host:port``; an IPv6 address may be in brackets.

    Raises:
        InvalidEventError: The text is not such an address.
    """
    host, colon, port = str(text).rpartition(":")
    is_number = port.isdecimal() and len(port) <= MAX_PORT_DIGITS
    if not colon or not host or not is_number or not 0 < int(port) <= MAX_PORT:
        quoted = repr(text)[:MAX_QUOTED_BYTES]
        raise InvalidEventError(problem=f"{quoted} is no address host:port")
    return Address(host.strip("[]"), int(port))


def parse_event(raw: Any) -> EndpointListEvent:
    """Parse one event of the watch or of the configuration's ``known``.

    An event without a topology changes no endpoint and only advances the offset.

    Raises:
        InvalidEventError: The value is not a valid event.
    """
    if not isinstance(raw, dict) or type(raw.get("offset")) is not int:
        raise InvalidEventError(problem="an event without its offset")
    offset = raw["offset"]
    topology = raw.get("topology")
    if not isinstance(topology, dict):
        return EndpointListEvent(offset, False, ())
    targets = topology.get("targets", [])
    if not isinstance(targets, list):
        raise InvalidEventError(problem="targets is no list")
    is_full = topology.get("all") is True
    return EndpointListEvent(offset, is_full, tuple(_parse_target(target) for target in targets))


def parse_line(line: bytes) -> EndpointListEvent | Heartbeat:
    """Parse one line of the watch.

    Raises:
        InvalidEventError: The line is neither an event nor a heartbeat.
    """
    try:
        raw = json.loads(line)
    except (ValueError, RecursionError):
        raise InvalidEventError(problem=f"{line[:MAX_QUOTED_BYTES]!r} is not JSON") from None
    if type(raw) is int:
        return Heartbeat(raw)
    return parse_event(raw)


class LineParser:
    """Splits a stream of bytes into lines.

    Attributes:
        buffer: The received part of a line that is still incomplete.
    """

    def __init__(self) -> None:
        """Start at the beginning of a line."""
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Add bytes, and return the lines that they complete, without the line ends.

        Blank lines are omitted.

        Raises:
            InvalidEventError: An incomplete line is longer than `MAX_LINE_BYTES`.
        """
        self.buffer += data
        *lines, rest = self.buffer.split(b"\n")
        if len(rest) > MAX_LINE_BYTES:
            raise InvalidEventError(problem="a line exceeds the maximum length")
        self.buffer = bytearray(rest)
        return [bytes(line) for line in lines if line.strip()]


def _parse_target(raw: Any) -> ListedEndpoint:
    if not isinstance(raw, dict):
        raise InvalidEventError(problem="a target is not an object")
    uid = raw.get("uid")
    if not isinstance(uid, str) or not uid:
        raise InvalidEventError(problem="a target without its uid")
    state = raw.get("state")
    if not isinstance(state, str) or state not in STATE_BY_NAME:
        raise InvalidEventError(problem=f"unknown state {state!r}", uid=uid)
    return _listed_endpoint(uid, STATE_BY_NAME[state], raw)


def _listed_endpoint(uid: str, state: EndpointState, raw: dict[str, Any]) -> ListedEndpoint:
    address = _parse_target_address(state, raw.get("endpoint"))
    try:
        weight = float(raw.get("capacity_hint") or 1.0)
        started_ms = int(raw.get("boot_ms") or 0)
        _check_range(weight, started_ms)
        return ListedEndpoint(
            uid=uid,
            host=address.host,
            port=address.port,
            zone=str(raw.get("az") or ""),
            kind=str(raw.get("model") or ""),
            cell=int(raw.get("pod_group") or 0),
            state=state,
            weight=weight,
            started_ns=started_ms * NS_PER_MS,
        )
    except (TypeError, ValueError, OverflowError) as error:
        raise InvalidEventError(problem=str(error), uid=uid) from None


def _check_range(weight: float, started_ms: int) -> None:
    """Check the numbers of an endpoint.

    The decisions would fail on a number that is not finite, but only once its event counts as
    applied: the event, perhaps a drain, would be lost.

    Raises:
        ValueError: The weight is not finite, or the start time is out of range.
    """
    if not math.isfinite(weight) or abs(started_ms) > MAX_BOOT_MS:
        problem = "capacity_hint or boot_ms is out of range"
        raise ValueError(problem)


def _parse_target_address(state: EndpointState, text: Any) -> Address:
    if state is EndpointState.REMOVED and not text:
        return NO_ADDRESS
    return parse_address(text)
