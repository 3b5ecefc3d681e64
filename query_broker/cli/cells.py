"""`larchhall cells ...`: the operators' calls on cells from a shell, and the planner."""

from __future__ import annotations

import http.client
import json
import sys
from pathlib import Path
from typing import Any, NoReturn
from urllib.parse import quote

import click

from ..cells.planner import BadProblem, Problem, read_problem, table

TIMEOUT = 2.0  # s; a broker answers within one


def _fail(text: str, code: int = 1) -> NoReturn:
    click.echo(f"larchhall: {text}", err=True)
    sys.exit(code)


def call(address: str, method: str, path: str) -> Any:
    """One call on the second address. A no, or no answer, ends the command with 1 and one line."""
    host, colon, port = address.rpartition(":")
    if not colon or not port.isdecimal() or not 0 < int(port) < 65_536:
        _fail(f"--address: {address!r} is no address host:port", 2)
    line = http.client.HTTPConnection(host.strip("[]"), int(port), timeout=TIMEOUT)
    try:
        line.request(method, path)
        answer = line.getresponse()
        body = answer.read()
    except (OSError, http.client.HTTPException) as error:
        _fail(f"{address}: {error or type(error).__name__}")
    finally:
        line.close()
    if answer.status == 404 and path == "/cells":
        _fail(f"{address}: this broker has no cells")
    try:
        said = json.loads(body)
    except ValueError:
        _fail(f"{address}: {answer.status} {body[:200].decode(errors='replace').strip()}")
    if answer.status != 200:
        _fail(f"{address}: {said.get('error', answer.status)}")
    return said


def _address(command: Any) -> Any:
    return click.option(
        "--address",
        envvar="PROXY_OPERATOR",
        required=True,
        metavar="HOST:PORT",
        help="The broker's second address (or PROXY_OPERATOR).",
    )(command)


def _json(command: Any) -> Any:
    return click.option("--json", "as_json", is_flag=True, help="Print JSON in place of tables.")(
        command
    )


@click.group()
def cells() -> None:
    """Cells of a running broker."""


@cells.command()
@_address
@_json
def show(address: str, as_json: bool) -> None:
    """Cells with their engines, tenants with their loads, and the moves."""
    said = call(address, "GET", "/cells")
    if as_json:
        click.echo(json.dumps(said, indent=2, ensure_ascii=False))
        return
    click.echo(f"epoch {said['epoch']}, map {said['digest']}\n")
    click.echo(
        table(
            ["cell", "ready", "cold", "cores", "open", "lent", "refused", "", "engines"],
            [
                [
                    c["cell"] + (" *" if c["default"] else ""),
                    *(
                        str(c[k])
                        for k in ("ready", "cold", "cores", "open", "lent", "refused_for_room")
                    ),
                    "short" if c["short"] else "",
                    " ".join(c["engines"][:6]) + (" ..." if len(c["engines"]) > 6 else ""),
                ]
                for c in said["cells"]
            ],
        )
    )
    if said["unplaced"]:
        click.echo(f"\nin no cell: {' '.join(said['unplaced'])}")
    click.echo(
        "\n"
        + table(
            ["tenant", "cell", "load"],
            [[t["tenant"], t["cell"], f"{t['load']:.3f}"] for t in said["tenants"]],
        )
    )
    if said["moves"]:
        click.echo(
            "\n"
            + table(
                ["tenant", "from", "to", "stage", "why"],
                [
                    [m["subject"], m["source"], m["target"], m["stage"], m["why"]]
                    for m in said["moves"]
                ],
            )
        )


def _tell(move: dict[str, Any], as_json: bool) -> None:
    click.echo(
        json.dumps(move, ensure_ascii=False)
        if as_json
        else f"{move['subject']} from {move['source']} to {move['target']}: {move['stage']}"
        + (f" ({move['why']})" if move["why"] else "")
    )


@cells.command()
@_address
@_json
@click.argument("tenant")
@click.argument("cell")
def move(address: str, as_json: bool, tenant: str, cell: str) -> None:
    """Move TENANT (or one part of a spread one, TENANT#N) to CELL."""
    _tell(
        call(address, "POST", f"/cells/move/{quote(tenant, safe='')}/{quote(cell, safe='')}"),
        as_json,
    )


@cells.command()
@_address
@_json
@click.argument("tenant")
def abort(address: str, as_json: bool, tenant: str) -> None:
    """Take back the move of TENANT that is under way."""
    _tell(call(address, "POST", f"/cells/abort/{quote(tenant, safe='')}"), as_json)


def _problem_of(
    said: dict[str, Any],
    most_moves: int | None,
    most_load: float | None,
    apart: tuple[tuple[str, ...], ...],
) -> Problem:
    """From what a running broker shows: measured loads, cores of the engines that each cell has."""
    return Problem(
        {t["tenant"]: t["load"] for t in said["tenants"]},
        {c["cell"]: float(c["cores"]) for c in said["cells"] if c["cores"]},
        {t["tenant"]: t["cell"] for t in said["tenants"]},
        tuple((a, b) for a, b in apart),
        None,
        most_moves,
        most_load,
    )


@cells.command()
@_json
@click.argument("file", required=False, type=click.Path(exists=True, dir_okay=False))
@click.option(
    "--address", metavar="HOST:PORT", default="", help="Loads and cells of a running broker."
)
@click.option("--most-moves", type=click.IntRange(0), help="No more tenants than so many move.")
@click.option("--most-load", type=float, help="No cell gets more than this share of its capacity.")
@click.option(
    "--apart", nargs=2, multiple=True, metavar="TENANT TENANT", help="Not both in one cell."
)
@click.option(
    "--seconds",
    default=20.0,
    show_default=True,
    type=click.FloatRange(0.1, 600.0),
    help="How long the solver may search.",
)
def plan(
    file: str | None,
    as_json: bool,
    address: str,
    most_moves: int | None,
    most_load: float | None,
    apart: tuple[tuple[str, ...], ...],
    seconds: float,
) -> None:
    """Which tenants to move so that the cells are balanced; ends with 3 where no placement
    satisfies the terms. Nothing is moved.
    """
    if (file is None) == (not address):
        _fail("plan: name a FILE or an --address", 2)
    try:
        if file is not None:
            read = read_problem(Path(file).read_text(encoding="utf-8"))
            problem = Problem(
                read.loads,
                read.capacities,
                read.now,
                read.apart + tuple((a, b) for a, b in apart),
                read.fixed,
                read.most_moves if most_moves is None else most_moves,
                read.most_load if most_load is None else most_load,
            )
        else:
            problem = _problem_of(call(address, "GET", "/cells"), most_moves, most_load, apart)
    except (BadProblem, UnicodeDecodeError, OSError) as error:
        _fail(f"{file or address}: {error}", 2)
    try:
        from ..cells.solver import NoPlan, solve

        made = solve(problem, seconds)
    except ImportError:
        _fail("plan: needs the extra 'planner' (highspy), which is not installed", 2)
    except NoPlan as error:
        if as_json:
            click.echo(json.dumps({"moves": None, "why": str(error)}))
        _fail(f"plan: {error}", 3)
    if as_json:
        click.echo(json.dumps(made.plain(), indent=2, ensure_ascii=False))
        return
    click.echo(
        table(
            ["tenant", "from", "to", "load"],
            [[t, a, b, f"{load:.3f}"] for t, a, b, load in made.moves],
        )
        if made.moves
        else "nothing to move"
    )
    click.echo(
        "\n"
        + table(
            ["cell", "before", "after"],
            [[c, f"{made.before[c]:.3f}", f"{made.after[c]:.3f}"] for c in made.before],
        )
    )
    click.echo(
        f"\n{len(made.moves)} of {len(problem.loads)} tenants move; the fullest cell goes from "
        f"{max(made.before.values()):.3f} to {max(made.after.values()):.3f}"
        + ("" if made.proven else "; not proven to be the best")
    )
