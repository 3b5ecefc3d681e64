"""What the directive ``start`` means for a fleet, in lines for ``check-config``.

Performs no I/O.
"""

from __future__ import annotations

from .admission_ramp import MAX_RAMPS
from .pacing import MAX_SKIPPED_WINDOWS, call_window_ns
from .settings import NS_PER_SECOND, StartupSettings


def describe_bounds(settings: StartupSettings, place: int, fleet_size: int) -> list[str]:
    """Return the lines.

    Args:
        settings: The settings of the start.
        place: Place of this broker in the fleet.
        fleet_size: Number of brokers.
    """
    all_probed_s = call_window_ns(fleet_size, settings.endpoint_probes_per_s) / NS_PER_SECOND
    lines = [
        _discovery_line(settings, place, fleet_size),
        _contact_line(settings, all_probed_s),
        _connections_line(settings, fleet_size),
        _ramp_line(settings),
    ]
    enough_contacts_s = all_probed_s * settings.contact_fraction
    if enough_contacts_s > settings.contact_wait_ns / NS_PER_SECOND:
        lines.append(
            f"start: contact_wait ends before {settings.contact_fraction:g} of the engines can be "
            f"heard of ({enough_contacts_s:.2f} s): the time-out ends this stage"
        )
    if settings.snapshot_path:
        lines.append(
            f"start: the last list in {settings.snapshot_path} is used after "
            f"{settings.list_wait_ns / NS_PER_SECOND:g} s without the bus, if it is not older than "
            f"{settings.snapshot_max_age_ns / NS_PER_SECOND:g} s"
        )
    return lines


def _discovery_line(settings: StartupSettings, place: int, fleet_size: int) -> str:
    window_s = call_window_ns(fleet_size, settings.list_connects_per_s) / NS_PER_SECOND
    slot_s = place % max(1, fleet_size) / settings.list_connects_per_s
    latest_s = (MAX_SKIPPED_WINDOWS + 1) * window_s
    return (
        f"start: place {place} of {fleet_size}: one call on the list service in {window_s:.2f} s "
        f"at the most, at {slot_s:.2f} s of each; all together {settings.list_connects_per_s:g} a "
        f"second, each again after {latest_s:.2f} s at the latest"
    )


def _contact_line(settings: StartupSettings, all_probed_s: float) -> str:
    return (
        f"start: {settings.endpoint_probes_per_s:g} brokers a second ask each engine, all in "
        f"{all_probed_s:.2f} s; ready once {settings.contact_fraction:g} of the engines are heard "
        f"of, or after {settings.contact_wait_ns / NS_PER_SECOND:g} s"
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
        f"{MAX_RAMPS * settings.ramp_ns / NS_PER_SECOND:g} s with bad news"
    )
