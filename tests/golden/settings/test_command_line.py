"""Golden form of the command line: the commands, their arguments and options, their help."""

from __future__ import annotations

from collections.abc import Iterator

import click

from query_broker.cli.main import main

ADDRESS = "--address! text $PROXY_OPERATOR: The broker's second address (or PROXY_OPERATOR)."
JSON = "--json flag: Print JSON in place of tables."
# A command with its arguments and options: `--name` and its type, `!` where it is required.
COMMANDS: dict[str, list[str]] = {
    "": [],
    " cells": [],
    " cells abort": [ADDRESS, JSON, "tenant! text"],
    " cells move": [ADDRESS, JSON, "tenant! text", "cell! text"],
    " cells plan": [
        JSON,
        "file file",
        "--address text: Loads and cells of a running broker.",
        "--most-moves integer range: No more tenants than so many move.",
        "--most-load float: No cell gets more than this share of its capacity.",
        "--apart text many: Not both in one cell.",
        "--seconds float range: How long the solver may search.",
    ],
    " cells show": [ADDRESS, JSON],
    " check-config": [
        (
            "--operator-file text $PROXY_OPERATOR_FILE: The operators' own file, to be "
            "checked as well."
        )
    ],
    " demo": ["--seconds float range: How long the load is played."],
    " limits": [],
    " limits lend": ["limit! text", "holder! text", "most! float", ADDRESS, JSON],
    " limits recall": ["limit! text", "holder! text", ADDRESS, JSON],
    " limits show": [ADDRESS, JSON],
    " members": [],
    " members keys": [ADDRESS, JSON],
    " members leave": [ADDRESS, JSON],
    " members show": [ADDRESS, JSON],
    " serve": [
        (
            "--operator-file text $PROXY_OPERATOR_FILE: The operators' own file "
            "(Starlark); without it nothing that it sets is there."
        )
    ],
    " start": [],
    " start show": [ADDRESS, JSON],
    " verdicts": [],
    " verdicts clear": ["uid! text", ADDRESS, JSON],
    " verdicts out": ["uid! text", ADDRESS, JSON],
    " verdicts pin": ["uid! text", ADDRESS, JSON],
    " verdicts show": [ADDRESS, JSON],
    " version": [],
}
COMMAND_HELP: dict[str, str] = {
    "": "A broker that shares a pool of data engines fairly. Without a command it serves.",
    " cells": "Show the cells of a running broker, move tenants between them, plan moves.",
    " cells abort": "Take back the move of TENANT that is under way.",
    " cells move": "Move TENANT (or one part of a spread one, TENANT#N) to CELL.",
    " cells plan": (
        "Which tenants to move so that the cells are balanced; ends with 3 where no "
        "placement satisfies the terms. Nothing is moved."
    ),
    " cells show": "Cells with their engines, tenants with their loads, and the moves.",
    " check-config": "Read the configuration, say what it holds, and do nothing.",
    " demo": (
        "Stand-in engines, a broker with two cells and some load, all on loopback; "
        "ends by itself."
    ),
    " limits": "Show the limits that brokers share, lend them, recall them.",
    " limits lend": (
        "Lend the broker HOLDER no more than MOST of LIMIT; said at the limit's home."
    ),
    " limits recall": (
        "Lend the broker HOLDER nothing of LIMIT any more; it keeps its guaranteed part."
    ),
    " limits show": (
        "Each limit: what is ours, how old what we act on can be, by how much all can be over."
    ),
    " members": "Show which brokers are there, leave, look at the keys.",
    " members keys": "Which key signs, which are read, and how many messages came under each.",
    " members leave": (
        "Take the broker out of the view by its own word; it serves on, by the size in its file."
    ),
    " members show": "The view, how sure it is, and what is known of each member.",
    " serve": "Serve clients until SIGTERM.",
    " start": "Show how far a broker has come in its start.",
    " start show": (
        "The stages that are over and how long they took, the present one and what it waits for."
    ),
    " verdicts": "Show what brokers know together of engines; say a word for all of them.",
    " verdicts clear": "Use the engine again, everywhere; a verdict on it ends.",
    " verdicts out": "Leave the engine out, everywhere.",
    " verdicts pin": "Let no shared verdict hold the engine out.",
    " verdicts show": (
        "Engines that are held out and on whose evidence, operators' words, and "
        "words that did not hold."
    ),
    " version": "Print the versions of larchhall and of what it runs on.",
}


def walk(command: click.Command, path: str = "") -> Iterator[tuple[str, click.Command]]:
    """Yield a command and all commands below it, each with its path."""
    yield path, command
    if isinstance(command, click.Group):
        context = click.Context(command)
        for name in command.list_commands(context):
            subcommand = command.get_command(context, name)
            assert subcommand is not None
            yield from walk(subcommand, f"{path} {name}")


def described(parameter: click.Parameter) -> str:
    """A parameter as the table above has it."""
    required = "!" if parameter.required else ""
    if not isinstance(parameter, click.Option):
        return f"{parameter.name}{required} {parameter.type.name}"
    variable = "" if parameter.envvar is None else f" ${parameter.envvar}"
    type_name = "flag" if parameter.is_flag else parameter.type.name
    many = " many" if parameter.multiple else ""
    options = " ".join(parameter.opts)
    return f"{options}{required} {type_name}{many}{variable}: {parameter.help}"


def test_the_commands_keep_their_arguments_and_options() -> None:
    parameters = {
        path: [described(parameter) for parameter in command.params] for path, command in walk(main)
    }
    assert parameters == COMMANDS


def test_the_commands_keep_their_help() -> None:
    texts = {path: " ".join((command.help or "").split()) for path, command in walk(main)}
    assert texts == COMMAND_HELP
