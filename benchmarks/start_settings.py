"""Rates, faults and modes that the parts of the start benchmark share."""

from __future__ import annotations

from typing import NamedTuple

from query_broker.emulator.faulty_links import Direction, Fault, FaultKind

#: Limit of the calls of the discovery service by all brokers together.
LIST_CALLS_PER_S = 50.0
#: Limit of the first health checks of one engine, each of which opens a connection.
ENGINE_PROBES_PER_S = 40
#: Limit of the further connections to one engine.
ENGINE_CONNECTS_PER_S = 100
#: Name of the link to the discovery service.
DISCOVERY_LINK = "bus"
#: A schedule of faults, in seconds from the start, for real processes and for the simulated clock.
DISCOVERY_FAULTS = (
    Fault(0.0, 5.0, DISCOVERY_LINK, FaultKind.REJECT),
    Fault(9.0, 9.0, DISCOVERY_LINK, FaultKind.RESET),
    Fault(9.0, 10.5, DISCOVERY_LINK, FaultKind.REJECT),
)
LAST_FAULT_ENDS_S = 10.5
#: A discovery service that rejects every call for half a minute.
DISCOVERY_OUTAGE = (Fault(0.0, 30.0, DISCOVERY_LINK, FaultKind.REJECT),)
OUTAGE_ENDS_S = 30.0
SLOW_BYTES_PER_S = 1e6
#: A discovery service that sends at this rate to all brokers together.
SLOW_DISCOVERY = (
    Fault(
        0.0,
        600.0,
        DISCOVERY_LINK,
        FaultKind.RATE,
        Direction.BACKWARD,
        bytes_per_s=SLOW_BYTES_PER_S,
    ),
)


class StartMode(NamedTuple):
    """Whether the brokers of a start pace their calls, and the name of this mode in results."""

    name: str
    is_paced: bool


MODES = (StartMode("before", False), StartMode("paced", True))
