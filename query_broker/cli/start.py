"""`query-broker start show`: the progress of a broker's start-up."""

from __future__ import annotations

from typing import Any

import click

from ..text_table import table
from .admin_client import address_option, call, json_option, print_json


@click.group()
def start() -> None:
    """The start of a running broker."""


@start.command(
    help="The stages that are over and how long they took, the present one and what it waits for."
)
@address_option
@json_option
def show(address: str, as_json: bool) -> None:
    """Print the stages of the start-up and what the present one waits for."""
    answer = call(address, "GET", "/start")
    if as_json:
        print_json(answer)
        return
    click.echo(f"{_summary(answer)}\n")
    rows = [[stage["stage"], f"{stage['took']:.2f}", stage["why"]] for stage in answer["passed"]]
    rows.append(
        [f"{answer['stage']} *", f"{answer['for']:.2f}", f"waits for {answer['waits_for']}"]
    )
    click.echo(table(["stage", "seconds", "what ended it"], rows))


def _summary(answer: dict[str, Any]) -> str:
    readiness = "ready" if answer["ready"] else "not ready"
    confirmation = "" if answer["confirmed"] else " (not confirmed)"
    return (
        f"place {answer['place']} of {answer['fleet']}, {readiness}, "
        f"list from {answer['list']}{confirmation}, share {answer['share']:.2f}"
    )
