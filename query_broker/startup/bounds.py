"""What follows from the operators' word for this fleet, in lines for `check-config`. Pure."""

from __future__ import annotations

from .pacing import MOST_SKIPPED, window
from .settings import StartupSettings

S = 1_000_000_000


def lines(terms: StartupSettings, me: int, fleet: int) -> list[str]:
    whole = window(fleet, terms.list_connects) / S
    contact = window(fleet, terms.engine_probes) / S
    told = [
        f"start: place {me} of {fleet}: one call on the list service in {whole:.2f} s at the "
        "most, at "
        f"{me % max(1, fleet) / terms.list_connects:.2f} s of each; all together "
        f"{terms.list_connects:g} "
        f"a second, each again after {(MOST_SKIPPED + 1) * whole:.2f} s at the latest",
        f"start: {terms.engine_probes:g} brokers a second ask each engine, all in {contact:.2f} "
        "s; ready "
        f"once {terms.contact_part:g} of the engines are heard of, or after "
        f"{terms.contact_wait / S:g} s",
        f"start: until the whole share is open {terms.engine_connects:g} new connections a "
        "second at each "
        f"engine, this broker one in {window(fleet, terms.engine_connects) / S:.2f} s, and "
        f"{terms.accepts:g} "
        f"new clients a second",
        f"start: admission from {terms.floor:g} of the share to the whole within "
        f"{terms.ramp / S:g} s, "
        f"{4 * terms.ramp / S:g} s with bad news",
    ]
    if contact * terms.contact_part > terms.contact_wait / S:
        told.append(
            f"start: contact_wait ends before {terms.contact_part:g} of the engines can be heard "
            "of "
            f"({contact * terms.contact_part:.2f} s): the time-out ends this stage"
        )
    if terms.last_list:
        told.append(
            f"start: the last list in {terms.last_list} is used after {terms.list_wait / S:g} s "
            f"without the bus, if it is not older than {terms.last_list_age / S:g} s"
        )
    return told
