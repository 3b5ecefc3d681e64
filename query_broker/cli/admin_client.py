"""Calls to the admin address of a running broker, and what all commands that make them share."""

from __future__ import annotations

import http.client
import json
import sys
from collections.abc import Callable
from typing import Any, NoReturn, TypeVar

import click

TIMEOUT_S = 2.0  # a broker answers within one second
MOST_SHOWN = 200  # bytes of an answer that is no JSON
EXIT_REFUSED = 1  # the broker said no, or did not answer
EXIT_USAGE = 2  # what was asked for makes no sense
EXIT_NO_PLAN = 3  # no placement satisfies the terms

Command = TypeVar("Command", bound=Callable[..., Any])


def fail(text: str, code: int = EXIT_REFUSED) -> NoReturn:
    """End the command with one line on standard error and an exit code."""
    click.echo(f"larchhall: {text}", err=True)
    sys.exit(code)


def call(address: str, method: str, path: str) -> Any:
    """Make one call on the admin address and return the JSON answer.

    A refusal, or no answer in time, ends the command with `EXIT_REFUSED` and one line; a malformed
    address ends it with `EXIT_USAGE`.
    """
    status, body = _exchange(address, method, path)
    if status == 404 and path == "/cells":
        fail(f"{address}: this broker has no cells")
    try:
        answer = json.loads(body)
    except ValueError:
        fail(f"{address}: {status} {body[:MOST_SHOWN].decode(errors='replace').strip()}")
    if status != 200:
        fail(f"{address}: {answer.get('error', status)}")
    return answer


def _exchange(address: str, method: str, path: str) -> tuple[int, bytes]:
    host, colon, port = address.rpartition(":")
    if not colon or not port.isdecimal() or not 0 < int(port) < 65_536:
        fail(f"--address: {address!r} is no address host:port", EXIT_USAGE)
    connection = http.client.HTTPConnection(host.strip("[]"), int(port), timeout=TIMEOUT_S)
    try:
        connection.request(method, path)
        response = connection.getresponse()
        return response.status, response.read()
    except (OSError, http.client.HTTPException) as error:
        fail(f"{address}: {error or type(error).__name__}")
    finally:
        connection.close()


def print_json(answer: Any) -> None:
    """Print an answer as indented JSON."""
    click.echo(json.dumps(answer, indent=2))


def address_option(command: Command) -> Command:
    """Add the option --address, which names the admin address."""
    return click.option(
        "--address",
        envvar="PROXY_OPERATOR",
        required=True,
        metavar="HOST:PORT",
        help="The broker's second address (or PROXY_OPERATOR).",
    )(command)


def json_option(command: Command) -> Command:
    """Add the flag --json."""
    return click.option("--json", "as_json", is_flag=True, help="Print JSON in place of tables.")(
        command
    )
