"""`larchhall members ...`: which brokers of the installation are there."""

from __future__ import annotations

import json

import click

from ..cells.planner import table
from .cells import _address, _json, call


@click.group()
def members() -> None:
    """The brokers that a running broker knows of."""


@members.command()
@_address
@_json
def show(address: str, as_json: bool) -> None:
    """The view, how sure it is, and what is known of each member."""
    said = call(address, "GET", "/members")
    if as_json:
        click.echo(json.dumps(said, indent=2))
        return
    view = said["view"]
    click.echo(
        f"{said['me']}, view {view['epoch']} ({view['digest']}): {view['alive']} there, "
        f"{view['why']}; limits by {view['limits_by']}, place {view['place']}; "
        f"doubt in itself {said['doubt']} of 8"
        f"{', cut off' if said['isolated'] else ''}{', has left' if said['left'] else ''}\n"
    )

    def ago(value: float | None) -> str:
        return "never" if value is None else f"{value:.1f}"

    rows = [
        [
            m["address"],
            m["status"],
            m["verdict"],
            ago(m["for"]),
            ago(m["heard"]),
            ago(m["reached"]),
            ago(m["through_others"]),
            f"{m['round_trip_ms']:.1f}",
            str(m["incarnation"]),
        ]
        for m in said["members"]
    ]
    click.echo(
        table(
            [
                "member",
                "status",
                "verdict",
                "for s",
                "heard s ago",
                "reached",
                "through others",
                "ms",
                "incarnation",
            ],
            rows,
        )
    )


@members.command()
@_address
@_json
def leave(address: str, as_json: bool) -> None:
    """Take the broker out of the view by its own word; it serves on, by the size in its file."""
    said = call(address, "POST", "/members/leave")
    click.echo(json.dumps(said, indent=2) if as_json else f"{said['left']} has left")


@members.command()
@_address
@_json
def keys(address: str, as_json: bool) -> None:
    """Which key signs, which are read, and how many messages came under each."""
    said = call(address, "GET", "/members/keys")
    if as_json:
        click.echo(json.dumps(said, indent=2))
        return
    click.echo(
        table(
            ["key", "signs", "messages taken in"],
            [
                [
                    str(id),
                    "yes" if id == said["signs"] else "no",
                    str(said["taken_in"].get(str(id), 0)),
                ]
                for id in said["reads"]
            ],
        )
    )
    for why, count in said["dropped"].items():
        click.echo(f"dropped, {why}: {count}")
