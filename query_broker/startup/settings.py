"""What the operators' file says of a start. Times in nanoseconds."""

from __future__ import annotations

from dataclasses import dataclass

S = 1_000_000_000


@dataclass(frozen=True, slots=True)
class StartupSettings:
    """``list_connects``, ``engine_probes``: what the list service, and one engine, take a second of
    the whole fleet; a broker's part follows from `fleet_size`. ``contact_part`` of the listed
    engines must have been heard of, or ``contact_wait`` be over, before the broker is ready. The
    admission begins with ``floor`` of the full share and is whole after ``ramp`` without news,
    sooner with good, later with bad. Until then one engine gets ``engine_connects`` new connections
    a second of the whole fleet, and this broker begins to read ``accepts`` new clients a second.
    ``last_list``: a file that keeps the list; empty: none.
    """

    list_connects: float = 50.0
    list_wait: int = 10 * S
    engine_probes: float = 20.0
    engine_connects: float = 100.0
    accepts: float = 200.0
    contact_part: float = 0.5
    contact_wait: int = 2 * S
    floor: float = 0.1
    ramp: int = 8 * S
    last_list: str = ""
    last_list_age: int = 3_600 * S
    installation: str = ""
