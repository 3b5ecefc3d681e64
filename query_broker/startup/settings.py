"""Settings of a start, from the operators' directive ``start``."""

from __future__ import annotations

from dataclasses import dataclass

NS_PER_SECOND = 1_000_000_000


@dataclass(frozen=True, slots=True)
class StartupSettings:
    """The arguments of the directive ``start``, in its order; durations in nanoseconds.

    Unless noted otherwise, rates are per second and apply to the whole fleet; the rate of one
    broker follows from the fleet size.

    Attributes:
        list_connects_per_s: Connections to the discovery service (``list_connects``).
        list_wait_ns: Time without the discovery service after which the endpoint snapshot is used
            (``list_wait``).
        endpoint_probes_per_s: Health checks of one endpoint (``engine_probes``).
        endpoint_connects_per_s: New connections to one endpoint until the ramp has ended
            (``engine_connects``).
        accepts_per_s: New clients that a single broker begins to read until the ramp has ended
            (``accepts``).
        contact_fraction: Fraction of the listed endpoints that must have answered before the
            broker is ready (``contact_part``).
        contact_wait_ns: Time after which the broker is ready regardless of answers
            (``contact_wait``).
        initial_fraction: Fraction of the admission that is open when the ramp begins (``floor``).
        ramp_ns: Time until the admission is complete if there are no answers; shorter with
            successes, longer with failures (``ramp``).
        snapshot_path: File of the endpoint snapshot; empty for none (``last_list``).
        snapshot_max_age_ns: Maximum age of a snapshot that is used (``last_list_age``).
        installation: Name of the installation; a snapshot of another one is not used
            (``installation``).
    """

    list_connects_per_s: float = 50.0
    list_wait_ns: int = 10 * NS_PER_SECOND
    endpoint_probes_per_s: float = 20.0
    endpoint_connects_per_s: float = 100.0
    accepts_per_s: float = 200.0
    contact_fraction: float = 0.5
    contact_wait_ns: int = 2 * NS_PER_SECOND
    initial_fraction: float = 0.1
    ramp_ns: int = 8 * NS_PER_SECOND
    snapshot_path: str = ""
    snapshot_max_age_ns: int = 3_600 * NS_PER_SECOND
    installation: str = ""
