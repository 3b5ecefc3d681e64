"""`query-broker cells ...`: commands for the cells of a running broker and for planning moves."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any
from urllib.parse import quote

import click

from ..cells.planner import Plan, PlanningProblemError, Problem, read_problem
from ..cells.solver import NoPlanError, solve
from ..text_table import table
from .admin_client import (
    EXIT_NO_PLAN,
    EXIT_USAGE,
    address_option,
    call,
    exit_with_error,
    json_option,
)

CELL_COLUMNS = ["cell", "ready", "cold", "cores", "open", "lent", "refused", "", "engines"]
CELL_COUNTS = ("ready", "cold", "cores", "open", "lent", "refused_for_room")
MAX_PRINTED_ENGINES = 6

TenantPairs = tuple[tuple[str, ...], ...]


@click.group()
def cells() -> None:
    """Cells of a running broker."""


@cells.command(help="Cells with their engines, tenants with their loads, and the moves.")
@address_option
@json_option
def show(address: str, as_json: bool) -> None:
    """Print the cells, the tenants and the migrations."""
    answer = call(address, "GET", "/cells")
    if as_json:
        click.echo(json.dumps(answer, indent=2, ensure_ascii=False))
        return
    click.echo(f"epoch {answer['epoch']}, map {answer['digest']}\n")
    click.echo(table(CELL_COLUMNS, [_cell_row(cell) for cell in answer["cells"]]))
    if answer["unplaced"]:
        click.echo(f"\nin no cell: {' '.join(answer['unplaced'])}")
    tenants = [
        [tenant["tenant"], tenant["cell"], f"{tenant['load']:.3f}"] for tenant in answer["tenants"]
    ]
    click.echo("\n" + table(["tenant", "cell", "load"], tenants))
    if answer["moves"]:
        moves = [
            [
                migration["subject"],
                migration["source"],
                migration["target"],
                migration["stage"],
                migration["why"],
            ]
            for migration in answer["moves"]
        ]
        click.echo("\n" + table(["tenant", "from", "to", "stage", "why"], moves))


def _cell_row(cell: dict[str, Any]) -> list[str]:
    engines = " ".join(cell["engines"][:MAX_PRINTED_ENGINES])
    if len(cell["engines"]) > MAX_PRINTED_ENGINES:
        engines += " ..."
    name = cell["cell"]
    if cell["default"]:
        name += " *"
    counts = [str(cell[count]) for count in CELL_COUNTS]
    return [name, *counts, "short" if cell["short"] else "", engines]


def _print_migration(migration: dict[str, Any], as_json: bool) -> None:
    if as_json:
        click.echo(json.dumps(migration, ensure_ascii=False))
        return
    route = f"{migration['subject']} from {migration['source']} to {migration['target']}"
    why = f" ({migration['why']})" if migration["why"] else ""
    click.echo(f"{route}: {migration['stage']}{why}")


@cells.command(help="Move TENANT (or one part of a spread one, TENANT#N) to CELL.")
@address_option
@json_option
@click.argument("tenant")
@click.argument("cell")
def move(address: str, as_json: bool, tenant: str, cell: str) -> None:
    """Start the migration of a tenant to another cell."""
    path = f"/cells/move/{quote(tenant, safe='')}/{quote(cell, safe='')}"
    _print_migration(call(address, "POST", path), as_json)


@cells.command(help="Take back the move of TENANT that is under way.")
@address_option
@json_option
@click.argument("tenant")
def abort(address: str, as_json: bool, tenant: str) -> None:
    """Abort the migration of a tenant."""
    _print_migration(call(address, "POST", f"/cells/abort/{quote(tenant, safe='')}"), as_json)


@cells.command(
    help="Which tenants to move so that the cells are balanced; ends with 3 where no placement\n"
    "satisfies the terms. Nothing is moved."
)
@json_option
@click.argument("file", required=False, type=click.Path(exists=True, dir_okay=False))
@click.option(
    "--address", metavar="HOST:PORT", default="", help="Loads and cells of a running broker."
)
@click.option(
    "--most-moves", "max_moves", type=click.IntRange(0), help="No more tenants than so many move."
)
@click.option(
    "--most-load", "max_load", type=float, help="No cell gets more than this share of its capacity."
)
@click.option(
    "--apart",
    "separated",
    nargs=2,
    multiple=True,
    metavar="TENANT TENANT",
    help="Not both in one cell.",
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
    max_moves: int | None,
    max_load: float | None,
    separated: TenantPairs,
    seconds: float,
) -> None:
    """Print which tenants to move so that the cells are balanced."""
    if (file is None) == (not address):
        exit_with_error("plan: name a FILE or an --address", EXIT_USAGE)
    try:
        if file is not None:
            problem = _problem_from_file(file, max_moves, max_load, separated)
        else:
            answer = call(address, "GET", "/cells")
            problem = _problem_from_broker(answer, max_moves, max_load, separated)
    except (PlanningProblemError, UnicodeDecodeError, OSError) as error:
        exit_with_error(f"{file or address}: {error}", EXIT_USAGE)
    solution = _solve(problem, seconds, as_json)
    if as_json:
        click.echo(json.dumps(solution.plain(), indent=2, ensure_ascii=False))
    else:
        _print_plan(solution, len(problem.loads))


def _problem_from_file(
    file: str, max_moves: int | None, max_load: float | None, separated: TenantPairs
) -> Problem:
    """Return the planning problem of a file; options of the command line take precedence."""
    file_problem = read_problem(Path(file).read_text(encoding="utf-8"))
    return Problem(
        file_problem.loads,
        file_problem.capacities,
        file_problem.current_cells,
        file_problem.separated_pairs + _pairs(separated),
        file_problem.fixed_cells,
        file_problem.max_moves if max_moves is None else max_moves,
        file_problem.max_load if max_load is None else max_load,
    )


def _problem_from_broker(
    answer: dict[str, Any], max_moves: int | None, max_load: float | None, separated: TenantPairs
) -> Problem:
    """Return the planning problem of a running broker, from its tenant loads and cell cores."""
    return Problem(
        {tenant["tenant"]: tenant["load"] for tenant in answer["tenants"]},
        {cell["cell"]: float(cell["cores"]) for cell in answer["cells"] if cell["cores"]},
        {tenant["tenant"]: tenant["cell"] for tenant in answer["tenants"]},
        _pairs(separated),
        None,
        max_moves,
        max_load,
    )


def _pairs(separated: TenantPairs) -> tuple[tuple[str, str], ...]:
    return tuple((first, second) for first, second in separated)


def _solve(problem: Problem, seconds: float, as_json: bool) -> Plan:
    try:
        return solve(problem, seconds)
    except ImportError:
        exit_with_error(
            "plan: needs the extra 'planner' (highspy), which is not installed", EXIT_USAGE
        )
    except NoPlanError as error:
        if as_json:
            click.echo(json.dumps({"moves": None, "why": str(error)}))
        exit_with_error(f"plan: {error}", EXIT_NO_PLAN)


def _print_plan(solution: Plan, tenant_count: int) -> None:
    if solution.moves:
        rows = [
            [tenant, source, target, f"{load:.3f}"]
            for tenant, source, target, load in solution.moves
        ]
        click.echo(table(["tenant", "from", "to", "load"], rows))
    else:
        click.echo("nothing to move")
    loads = [
        [cell, f"{before:.3f}", f"{solution.loads_after[cell]:.3f}"]
        for cell, before in solution.loads_before.items()
    ]
    click.echo("\n" + table(["cell", "before", "after"], loads))
    proven = "" if solution.proven else "; not proven to be the best"
    highest_before = max(solution.loads_before.values())
    highest_after = max(solution.loads_after.values())
    click.echo(
        f"\n{len(solution.moves)} of {tenant_count} tenants move; the fullest cell goes from "
        f"{highest_before:.3f} to {highest_after:.3f}{proven}"
    )
