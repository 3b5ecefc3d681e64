"""`query-broker limits ...` and `query-broker verdicts ...`.

The former are commands for the limits that all brokers share, the latter for the consensus on
outliers.
"""

from __future__ import annotations

from typing import Any

import click

from ..text_table import table
from .admin_client import address_option, call, json_option, print_json

LIMIT_COLUMNS = [
    "limit",
    "kind",
    "whole",
    "ours",
    "asked",
    "leased",
    "in force",
    "home",
    "stale s",
    "over, promised",
    "over, seen",
]
VERDICT_COLUMNS = [
    "engine",
    "verdict",
    "observers",
    "evidence s old",
    "for s",
    "at least s",
    "relapses",
]
NOT_APPLICABLE = "-"


def _print_answer(answer: Any, as_json: bool, text: str) -> None:
    if as_json:
        print_json(answer)
    else:
        click.echo(text)


@click.group()
def limits() -> None:
    """The limits that all brokers share."""


@limits.command(
    "show",
    help="Each limit: what is ours, how old what we act on can be, by how much all can be over.",
)
@address_option
@json_option
def show_limits(address: str, as_json: bool) -> None:
    """Print one row for each limit."""
    answer = call(address, "GET", "/limits")
    rows = [_limit_row(limit) for limit in answer["limits"]]
    _print_answer(answer, as_json, table(LIMIT_COLUMNS, rows))


def _limit_row(limit: dict[str, Any]) -> list[str]:
    leased = NOT_APPLICABLE
    in_force = NOT_APPLICABLE
    home = NOT_APPLICABLE
    overshoot_seen = NOT_APPLICABLE
    if limit["hard"]:
        leased = f"{limit['held']:.4g}"
        in_force = "floor" if limit["floor_in_force"] else f"{limit['left_s']:.1f} s left"
        home = limit["home"]
    else:
        overshoot_seen = f"{limit['overshoot_seen']:.4g}"
    return [
        limit["name"],
        limit["kind"],
        f"{limit['whole']:.4g}",
        f"{limit['ours']:.4g}",
        f"{limit['asked']:.4g}",
        leased,
        in_force,
        home,
        f"{limit['stale_s']:g}",
        f"{limit['overshoot_promised']:.4g}",
        overshoot_seen,
    ]


@limits.command(help="Lend the broker HOLDER no more than MOST of LIMIT; said at the limit's home.")
@click.argument("limit")
@click.argument("holder")
@click.argument("most", type=float)
@address_option
@json_option
def lend(limit: str, holder: str, most: float, address: str, as_json: bool) -> None:
    """Cap the part of a limit that is lent to one broker."""
    answer = call(address, "POST", f"/limits/lend/{limit}/{holder}/{most}")
    _print_answer(answer, as_json, f"{holder} gets {most:g} of {limit} at the most")


@limits.command(
    help="Lend the broker HOLDER nothing of LIMIT any more; it keeps its guaranteed part."
)
@click.argument("limit")
@click.argument("holder")
@address_option
@json_option
def recall(limit: str, holder: str, address: str, as_json: bool) -> None:
    """Stop lending a part of a limit to one broker."""
    answer = call(address, "POST", f"/limits/recall/{limit}/{holder}")
    _print_answer(answer, as_json, f"{holder} gets nothing of {limit} when its lease has ended")


@click.group()
def verdicts() -> None:
    """What all brokers know together of the engines."""


@verdicts.command(
    "show",
    help="Engines that are held out and on whose evidence, operators' words, and words that did not"
    "\nhold.",
)
@address_option
@json_option
def show_verdicts(address: str, as_json: bool) -> None:
    """Print the ejected endpoints and the operators' overrides."""
    answer = call(address, "GET", "/verdicts")
    ejected = [
        [
            verdict["uid"],
            verdict["kind"],
            str(verdict["observers"]),
            f"{verdict['evidence_age']:.1f}",
            f"{verdict['for']:.1f}",
            f"{verdict['at_least']:.1f}",
            str(verdict["relapses"]),
        ]
        for verdict in answer["verdicts"]
    ]
    overrides = [
        *(_override_row(override, "yes") for override in answer["words"]),
        *(_override_row(override, "no, another did") for override in answer["lost"]),
    ]
    text = table(VERDICT_COLUMNS, ejected)
    text += "\n\n" + table(["engine", "word", "version", "by", "holds"], overrides)
    _print_answer(answer, as_json, text)


def _override_row(override: dict[str, Any], holds: str) -> list[str]:
    return [override["uid"], override["word"], str(override["version"]), override["by"], holds]


def _add_override_command(value: str, help_text: str) -> None:
    @verdicts.command(value, help=help_text)
    @click.argument("uid")
    @address_option
    @json_option
    def override(uid: str, address: str, as_json: bool) -> None:
        answer = call(address, "POST", f"/verdicts/{value}/{uid}")
        _print_answer(answer, as_json, f"{uid}: {answer['word']}, version {answer['version']}")


_add_override_command("clear", "Use the engine again, everywhere; a verdict on it ends.")
_add_override_command("pin", "Let no shared verdict hold the engine out.")
_add_override_command("out", "Leave the engine out, everywhere.")
