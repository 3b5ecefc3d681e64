"""Client of the admin API of a running broker, and options that the commands share."""

from __future__ import annotations

import http.client
import json
import sys
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, NamedTuple, NoReturn, TypeVar

import click

MAX_PORT = 65_535
#: Timeout of a call; a broker answers within one second.
CALL_TIMEOUT_S = 2.0
#: Printed bytes of an answer that is not JSON.
MAX_PRINTED_BYTES = 200
#: Exit code: the broker has rejected the call or has not answered.
EXIT_REJECTED = 1
#: Exit code: the arguments of the command are not valid.
EXIT_USAGE = 2
#: Exit code: no placement satisfies the constraints.
EXIT_NO_PLAN = 3

Command = TypeVar("Command", bound=Callable[..., Any])


class HttpAnswer(NamedTuple):
    """An answer of the admin API: the HTTP status and the body."""

    status: int
    body: bytes


def exit_with_error(message: str, code: int = EXIT_REJECTED) -> NoReturn:
    """Print one line on standard error, and end the command with an exit code."""
    click.echo(f"larchhall: {message}", err=True)
    sys.exit(code)


def call(address: str, method: str, path: str) -> Any:
    """Call the admin API and return the JSON answer.

    A rejection or a timeout ends the command with one line and `EXIT_REJECTED`; a malformed address
    ends it with `EXIT_USAGE`.
    """
    status, body = _send_call(address, method, path)
    if status == HTTPStatus.NOT_FOUND and path == "/cells":
        exit_with_error(f"{address}: this broker has no cells")
    try:
        answer = json.loads(body)
    except ValueError:
        exit_with_error(
            f"{address}: {status} {body[:MAX_PRINTED_BYTES].decode(errors='replace').strip()}"
        )
    if status != HTTPStatus.OK:
        exit_with_error(f"{address}: {answer.get('error', status)}")
    return answer


def _send_call(address: str, method: str, path: str) -> HttpAnswer:
    host, colon, port = address.rpartition(":")
    if not colon or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        exit_with_error(f"--address: {address!r} is no address host:port", EXIT_USAGE)
    connection = http.client.HTTPConnection(host.strip("[]"), int(port), timeout=CALL_TIMEOUT_S)
    try:
        connection.request(method, path)
        response = connection.getresponse()
        return HttpAnswer(response.status, response.read())
    except (OSError, http.client.HTTPException) as error:
        exit_with_error(f"{address}: {error or type(error).__name__}")
    finally:
        connection.close()


def print_json(answer: Any) -> None:
    """Print an answer as indented JSON."""
    click.echo(json.dumps(answer, indent=2))


def address_option(command: Command) -> Command:
    """Add the option --address, the address of the admin API."""
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
