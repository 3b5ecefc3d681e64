"""`query-broker members ...`: commands for the membership."""

from __future__ import annotations

from typing import Any

import click

from ..text_table import table
from .admin_client import address_option, call, json_option, print_json

MEMBER_COLUMNS = [
    "member",
    "status",
    "verdict",
    "for s",
    "heard s ago",
    "reached",
    "through others",
    "ms",
    "incarnation",
]


@click.group()
def members() -> None:
    """The brokers that a running broker knows of."""


@members.command(help="The view, how sure it is, and what is known of each member.")
@address_option
@json_option
def show(address: str, as_json: bool) -> None:
    """Print the view, and one row for each member."""
    answer = call(address, "GET", "/members")
    if as_json:
        print_json(answer)
        return
    click.echo(f"{_summary(answer)}\n")
    click.echo(table(MEMBER_COLUMNS, [_member_row(member) for member in answer["members"]]))


def _summary(answer: dict[str, Any]) -> str:
    view = answer["view"]
    isolation = ", cut off" if answer["isolated"] else ""
    departure = ", has left" if answer["left"] else ""
    return (
        f"{answer['me']}, view {view['epoch']} ({view['digest']}): {view['alive']} there, "
        f"{view['why']}; limits by {view['limits_by']}, place {view['place']}; "
        f"doubt in itself {answer['doubt']} of 8{isolation}{departure}"
    )


def _member_row(member: dict[str, Any]) -> list[str]:
    return [
        member["address"],
        member["status"],
        member["verdict"],
        _format_seconds(member["for"]),
        _format_seconds(member["heard"]),
        _format_seconds(member["reached"]),
        _format_seconds(member["through_others"]),
        f"{member['round_trip_ms']:.1f}",
        str(member["incarnation"]),
    ]


def _format_seconds(value: float | None) -> str:
    return "never" if value is None else f"{value:.1f}"


@members.command(
    help="Take the broker out of the view by its own word; it serves on, by the size in its file."
)
@address_option
@json_option
def leave(address: str, as_json: bool) -> None:
    """Make the broker leave the membership."""
    answer = call(address, "POST", "/members/leave")
    if as_json:
        print_json(answer)
    else:
        click.echo(f"{answer['left']} has left")


@members.command(help="Which key signs, which are read, and how many messages came under each.")
@address_option
@json_option
def keys(address: str, as_json: bool) -> None:
    """Print the keys and the counts of accepted and dropped messages."""
    answer = call(address, "GET", "/members/keys")
    if as_json:
        print_json(answer)
        return
    rows = [
        [
            str(key),
            "yes" if key == answer["signs"] else "no",
            str(answer["taken_in"].get(str(key), 0)),
        ]
        for key in answer["reads"]
    ]
    click.echo(table(["key", "signs", "messages taken in"], rows))
    for why, count in answer["dropped"].items():
        click.echo(f"dropped, {why}: {count}")
