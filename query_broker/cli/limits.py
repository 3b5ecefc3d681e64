"""`larchhall limits ...` and `larchhall verdicts ...`: what brokers share of limits and of
engines.
"""

from __future__ import annotations

import json
from typing import Any

import click

from ..cells.planner import table
from .cells import _address, _json, call


def _said(said: Any, as_json: bool, text: str) -> None:
    click.echo(json.dumps(said, indent=2) if as_json else text)


@click.group()
def limits() -> None:
    """The limits that all brokers share."""


@limits.command("show")
@_address
@_json
def show_limits(address: str, as_json: bool) -> None:
    """Each limit: what is ours, how old what we act on can be, by how much all can be over."""
    said = call(address, "GET", "/limits")
    rows = [
        [
            li["name"],
            li["kind"],
            f"{li['whole']:.4g}",
            f"{li['ours']:.4g}",
            f"{li['asked']:.4g}",
            f"{li['held']:.4g}" if li["hard"] else "-",
            ("floor" if li["floor_in_force"] else f"{li['left_s']:.1f} s left")
            if li["hard"]
            else "-",
            li["home"] if li["hard"] else "-",
            f"{li['stale_s']:g}",
            f"{li['overshoot_promised']:.4g}",
            "-" if li["hard"] else f"{li['overshoot_seen']:.4g}",
        ]
        for li in said["limits"]
    ]
    _said(
        said,
        as_json,
        table(
            [
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
            ],
            rows,
        ),
    )


@limits.command()
@click.argument("limit")
@click.argument("holder")
@click.argument("most", type=float)
@_address
@_json
def lend(limit: str, holder: str, most: float, address: str, as_json: bool) -> None:
    """Lend the broker HOLDER no more than MOST of LIMIT; said at the limit's home."""
    said = call(address, "POST", f"/limits/lend/{limit}/{holder}/{most}")
    _said(said, as_json, f"{holder} gets {most:g} of {limit} at the most")


@limits.command()
@click.argument("limit")
@click.argument("holder")
@_address
@_json
def recall(limit: str, holder: str, address: str, as_json: bool) -> None:
    """Lend the broker HOLDER nothing of LIMIT any more; it keeps its guaranteed part."""
    said = call(address, "POST", f"/limits/recall/{limit}/{holder}")
    _said(said, as_json, f"{holder} gets nothing of {limit} when its lease has ended")


@click.group()
def verdicts() -> None:
    """What all brokers know together of the engines."""


@verdicts.command("show")
@_address
@_json
def show_verdicts(address: str, as_json: bool) -> None:
    """Engines that are held out and on whose evidence, operators' words, and words that did not
    hold.
    """
    said = call(address, "GET", "/verdicts")
    rows = [
        [
            v["uid"],
            v["kind"],
            str(v["observers"]),
            f"{v['evidence_age']:.1f}",
            f"{v['for']:.1f}",
            f"{v['at_least']:.1f}",
            str(v["relapses"]),
        ]
        for v in said["verdicts"]
    ]
    text = table(
        ["engine", "verdict", "observers", "evidence s old", "for s", "at least s", "relapses"],
        rows,
    )
    words = [
        [w["uid"], w["word"], str(w["version"]), w["by"], kind]
        for kind in ("words", "lost")
        for w in said[kind]
    ]
    text += "\n\n" + table(
        ["engine", "word", "version", "by", "holds"],
        [[*w[:4], "yes" if w[4] == "words" else "no, another did"] for w in words],
    )
    _said(said, as_json, text)


def _word(value: str, help: str) -> None:
    @verdicts.command(value, help=help)
    @click.argument("uid")
    @_address
    @_json
    def say(uid: str, address: str, as_json: bool) -> None:
        said = call(address, "POST", f"/verdicts/{value}/{uid}")
        _said(said, as_json, f"{uid}: {said['word']}, version {said['version']}")


_word("clear", "Use the engine again, everywhere; a verdict on it ends.")
_word("pin", "Let no shared verdict hold the engine out.")
_word("out", "Leave the engine out, everywhere.")
