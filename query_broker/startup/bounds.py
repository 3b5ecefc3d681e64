"""Describes for ``check-config`` which bounds the directive ``start`` sets for a fleet.

Performs no I/O.
"""

from __future__ import annotations

from .admission_ramp import MAX_RAMP_DURATIONS
from .pacing import MAX_SKIPPED_WINDOWS, call_window_ns
from .settings import NS_PER_SECOND, StartupSettings


def describe_bounds(settings: StartupSettings, broker_index: int, fleet_size: int) -> list[str]:
    """Return the lines that ``check-config`` prints.

    Args:
        settings: The settings of the start.
        broker_index: Index of this broker in the fleet.
        fleet_size: Number of brokers.
    """
    probe_window_s = call_window_ns(fleet_size, settings.endpoint_probes_per_s) / NS_PER_SECOND
    lines = [
        _discovery_line(settings, broker_index, fleet_size),
        _contact_line(settings, probe_window_s),
        _connections_line(settings, fleet_size),
        _ramp_line(settings),
    ]
    required_wait_s = probe_window_s * settings.contact_fraction
    if required_wait_s > settings.contact_wait_ns / NS_PER_SECOND:
        lines.append(
            f"start: contact_wait ends before {settings.contact_fraction:g} of the engines can be "
            f"heard of ({required_wait_s:.2f} s): the time-out ends this stage"
        )
    if settings.snapshot_path:
        lines.append(
            f"start: the last list in {settings.snapshot_path} is used after "
            f"{settings.list_wait_ns / NS_PER_SECOND:g} s without the bus, if it is not older than "
            f"{settings.snapshot_max_age_ns / NS_PER_SECOND:g} s"
        )
    return lines


def _discovery_line(settings: StartupSettings, broker_index: int, fleet_size: int) -> str:
    window_s = call_window_ns(fleet_size, settings.list_connects_per_s) / NS_PER_SECOND
    slot_offset_s = broker_index % max(1, fleet_size) / settings.list_connects_per_s
    max_retry_delay_s = (MAX_SKIPPED_WINDOWS + 1) * window_s
    return (
        f"start: place {broker_index} of {fleet_size}: one call on the list service in "
        f"{window_s:.2f} s at the most, at {slot_offset_s:.2f} s of each; all together "
        f"{settings.list_connects_per_s:g} a second, each again after "
        f"{max_retry_delay_s:.2f} s at the latest"
    )


def _contact_line(settings: StartupSettings, probe_window_s: float) -> str:
    return (
        f"start: {settings.endpoint_probes_per_s:g} brokers a second ask each engine, all in "
        f"{probe_window_s:.2f} s; ready once {settings.contact_fraction:g} of the engines are "
        f"heard of, or after {settings.contact_wait_ns / NS_PER_SECOND:g} s"
    )


def _connections_line(settings: StartupSettings, fleet_size: int) -> str:
    window_s = call_window_ns(fleet_size, settings.endpoint_connects_per_s) / NS_PER_SECOND
    return (
        f"start: until the whole share is open {settings.endpoint_connects_per_s:g} new "
        f"connections a second at each engine, this broker one in {window_s:.2f} s, and "
        f"{settings.accepts_per_s:g} new clients a second"
    )


def _ramp_line(settings: StartupSettings) -> str:
    return (
        f"start: admission from {settings.initial_fraction:g} of the share to the whole within "
        f"{settings.ramp_ns / NS_PER_SECOND:g} s, "
        f"{MAX_RAMP_DURATIONS * settings.ramp_ns / NS_PER_SECOND:g} s with bad news"
    )
