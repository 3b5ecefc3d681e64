"""`larchhall start show`: how far a broker has come in its start."""

from __future__ import annotations

import json

import click

from ..cells.planner import table
from .cells import _address, _json, call


@click.group()
def start() -> None:
    """The start of a running broker."""


@start.command()
@_address
@_json
def show(address: str, as_json: bool) -> None:
    """The stages that are over and how long they took, the present one and what it waits for."""
    said = call(address, "GET", "/start")
    if as_json:
        click.echo(json.dumps(said, indent=2))
        return
    click.echo(
        f"place {said['place']} of {said['fleet']}, {'ready' if said['ready'] else 'not ready'}, "
        f"list from {said['list']}{'' if said['confirmed'] else ' (not confirmed)'}, "
        f"share {said['share']:.2f}\n"
    )
    rows = [[p["stage"], f"{p['took']:.2f}", p["why"]] for p in said["passed"]]
    rows.append([f"{said['stage']} *", f"{said['for']:.2f}", f"waits for {said['waits_for']}"])
    click.echo(table(["stage", "seconds", "what ended it"], rows))
