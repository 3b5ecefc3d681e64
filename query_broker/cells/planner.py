"""Which tenants to move where: the problem, plain hashing to compare with, and what a plan does.

The solver is behind `solve` in `query_broker.cells.solver`; here is what it is asked and how its
answer is told.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from .model import rendezvous


class BadProblem(ValueError):
    """``key: problem``"""


@dataclass(frozen=True, slots=True)
class Problem:
    """Loads in thread-seconds a second; capacities in cores. ``now`` is where each tenant is
    today.
    """

    loads: Mapping[str, float]
    capacities: Mapping[str, float]
    now: Mapping[str, str]
    apart: tuple[tuple[str, str], ...] = ()
    fixed: Mapping[str, str] | None = None
    most_moves: int | None = None
    most_load: float | None = None  # of any cell, against its capacity

    def __post_init__(self) -> None:
        if not self.loads:
            raise BadProblem("tenants: none is named")
        if not self.capacities:
            raise BadProblem("cells: none is named")
        for name, value in self.loads.items():
            if not 0 <= value < 1e12:
                raise BadProblem(f"tenants.load: of {name!r} must not be negative")
        for name, value in self.capacities.items():
            if not 0 < value < 1e12:
                raise BadProblem(f"cells.capacity: of {name!r} must be above 0")
        for name in self.loads:
            if self.now.get(name) not in self.capacities:
                raise BadProblem(f"tenants.cell: {self.now.get(name)!r} of {name!r} is no cell")
        for key, names in (
            ("apart", [n for pair in self.apart for n in pair]),
            ("fixed", list(self.fixed or {})),
        ):
            for name in names:
                if name not in self.loads:
                    raise BadProblem(f"{key}: {name!r} is no tenant")
        for cell in (self.fixed or {}).values():
            if cell not in self.capacities:
                raise BadProblem(f"fixed: {cell!r} is no cell")


def _pairs(raw: Iterable[Any], key: str) -> tuple[tuple[str, str], ...]:
    pairs = []
    for group in raw:
        if not isinstance(group, list) or not all(isinstance(n, str) for n in group):
            raise BadProblem(f"{key}: must be a list of lists of tenants")
        pairs += [(a, b) for i, a in enumerate(group) for b in group[i + 1 :]]
    return tuple(pairs)


def read_problem(text: str) -> Problem:
    """From JSON: ``{"tenants": {NAME: {"cell": C, "load": L}}, "cells": {C: CAPACITY}, "apart":
    [[A, B]], "fixed": {NAME: C}, "most_moves": N, "most_load": SHARE}``; the last four may be
    absent.
    """
    try:
        raw = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise BadProblem(f"the file holds no JSON ({error})") from None
    if not isinstance(raw, dict):
        raise BadProblem("the file holds no JSON object")
    for key, kind in (("tenants", dict), ("cells", dict), ("apart", list), ("fixed", dict)):
        if not isinstance(raw.get(key, kind()), kind):
            raise BadProblem(f"{key}: is no {'object' if kind is dict else 'list'}")
    for name, tenant in raw.get("tenants", {}).items():
        if not isinstance(tenant, dict) or not isinstance(tenant.get("load"), int | float):
            raise BadProblem(f"tenants.load: of {name!r} is no number")
    for name, value in raw.get("cells", {}).items():
        if not isinstance(value, int | float):
            raise BadProblem(f"cells.capacity: of {name!r} is no number")
    for key in ("most_moves", "most_load"):
        value = raw.get(key)
        if value is not None and (
            not isinstance(value, int | float) or isinstance(value, bool) or value < 0
        ):
            raise BadProblem(f"{key}: is no number from 0 up")
    most_moves = raw.get("most_moves")
    return Problem(
        {n: float(t["load"]) for n, t in raw.get("tenants", {}).items()},
        {n: float(c) for n, c in raw.get("cells", {}).items()},
        {n: t.get("cell") for n, t in raw.get("tenants", {}).items()},
        _pairs(raw.get("apart", []), "apart"),
        raw.get("fixed"),
        None if most_moves is None else int(most_moves),
        raw.get("most_load"),
    )


def hashed(tenants: Iterable[str], capacities: Mapping[str, float]) -> dict[str, str]:
    """Plain weighted rendezvous hashing: what a plan is measured against."""
    return {
        tenant: min(capacities, key=lambda cell: rendezvous(cell, tenant, capacities[cell]))
        for tenant in tenants
    }


def load_of(problem: Problem, placed: Mapping[str, str]) -> dict[str, float]:
    """Each cell's load against its capacity."""
    loads = dict.fromkeys(problem.capacities, 0.0)
    for tenant, cell in placed.items():
        loads[cell] += problem.loads[tenant]
    return {cell: load / problem.capacities[cell] for cell, load in loads.items()}


def faults(problem: Problem, placed: Mapping[str, str]) -> list[str]:
    """The terms that a placement breaks, in words. Danger: a solver's answer is believed only after
    this.
    """
    broken = [
        f"{a} and {b} are both in {placed[a]}" for a, b in problem.apart if placed[a] == placed[b]
    ]
    broken += [
        f"{tenant} is in {placed[tenant]}, not in {cell}"
        for tenant, cell in (problem.fixed or {}).items()
        if placed[tenant] != cell
    ]
    moved = sum(placed[t] != problem.now[t] for t in problem.loads)
    if problem.most_moves is not None and moved > problem.most_moves:
        broken.append(f"{moved} tenants move, more than {problem.most_moves}")
    if problem.most_load is not None:
        broken += [
            f"{cell} has {load:.2f} of its capacity"
            for cell, load in load_of(problem, placed).items()
            if load > problem.most_load + 1e-6
        ]
    return broken


def greedy(problem: Problem) -> dict[str, str]:
    """A start for the solver, and its answer where time runs out: repair what the terms forbid,
    then take the move that lowers the fullest cell most, as long as there is one.
    """
    placed = {**problem.now, **(problem.fixed or {})}
    foes: dict[str, set[str]] = {}
    for a, b in problem.apart:
        foes.setdefault(a, set()).add(b)
        foes.setdefault(b, set()).add(a)
    loads = dict.fromkeys(problem.capacities, 0.0)
    for tenant, cell in placed.items():
        loads[cell] += problem.loads[tenant]
    fixed = set(problem.fixed or {})
    left = (len(placed) if problem.most_moves is None else problem.most_moves) - sum(
        placed[t] != problem.now[t] for t in placed
    )

    def free(tenant: str, cell: str) -> bool:
        return all(placed[f] != cell for f in foes.get(tenant, ()))

    def put(tenant: str, cell: str) -> None:
        loads[placed[tenant]] -= problem.loads[tenant]
        loads[cell] += problem.loads[tenant]
        placed[tenant] = cell

    def after(tenant: str, cell: str) -> float:
        return (loads[cell] + problem.loads[tenant]) / problem.capacities[cell]

    for a, b in problem.apart:
        tenant = a if a not in fixed and (b in fixed or problem.loads[a] <= problem.loads[b]) else b
        able = [c for c in problem.capacities if free(tenant, c)]
        if placed[a] == placed[b] and tenant not in fixed and able and left > 0:
            put(tenant, min(able, key=lambda c: after(tenant, c)))
            left -= 1
    while left > 0:
        fullest = max(loads, key=lambda c: loads[c] / problem.capacities[c])
        top = loads[fullest] / problem.capacities[fullest]
        best = min(
            (
                (after(t, c), t, c)
                for t, home in placed.items()
                if home == fullest
                and t not in fixed
                and t in problem.loads
                and problem.now[t] == home
                for c in problem.capacities
                if c != fullest and free(t, c) and after(t, c) < top - 1e-9
            ),
            default=None,
        )
        if best is None:
            break
        put(best[1], best[2])
        left -= 1
    return placed


@dataclass(frozen=True, slots=True)
class Plan:
    """``moves`` in order of their load: tenant, from, to, load."""

    moves: tuple[tuple[str, str, str, float], ...]
    before: Mapping[str, float]
    after: Mapping[str, float]
    proven: bool  # nothing better satisfies the terms

    def plain(self) -> dict[str, Any]:
        return {
            "moves": [
                {"tenant": t, "from": a, "to": b, "load": load} for t, a, b, load in self.moves
            ],
            "cells": {
                c: {"before": round(self.before[c], 6), "after": round(self.after[c], 6)}
                for c in self.before
            },
            "proven": self.proven,
        }


def plan_of(problem: Problem, placed: Mapping[str, str], proven: bool) -> Plan:
    moves = sorted(
        (
            (t, problem.now[t], placed[t], problem.loads[t])
            for t in problem.loads
            if placed[t] != problem.now[t]
        ),
        key=lambda m: (-m[3], m[0]),
    )
    return Plan(tuple(moves), load_of(problem, problem.now), load_of(problem, placed), proven)


def table(head: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Columns as wide as they need to be; numbers to the right."""
    lines = [list(head), *map(list, rows)]
    widths = [max(len(line[i]) for line in lines) for i in range(len(head))]

    def number(text: str) -> bool:
        return text.replace(".", "", 1).replace("%", "").isdigit()

    return "\n".join(
        "  ".join(
            text.rjust(w) if number(text) else text.ljust(w)
            for text, w in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )
