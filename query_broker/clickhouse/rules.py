"""Where a request goes and under which terms: operators' rules, first match wins, each part by
itself. Pure.

A rule names conditions and what they lead to. What no rule says is taken from the defaults: the
class by what the statement does, the tenant by the user, the pool and the patience of the class.
"""

from __future__ import annotations

import fnmatch
from collections.abc import Mapping
from dataclasses import dataclass, field

from .statement import Does, Statement

MS = 1_000_000
WHERE = ("user", "path", "database", "first", "does", "setting", "header", "quota")


class BadRule(ValueError):
    """``key: problem``"""


@dataclass(frozen=True, slots=True)
class Seen:
    """A request as rules see it. Header names in small letters; times in milliseconds."""

    user: str
    path: str
    database: str
    statement: Statement
    settings: Mapping[str, str]
    headers: Mapping[str, str]
    quota: str = ""


@dataclass(frozen=True, slots=True)
class Rule:
    """Patterns as in a shell. ``setting`` and ``header`` are (name, pattern) pairs; all must match.
    An empty outcome says nothing of that part.
    """

    user: str = ""
    path: str = ""
    database: str = ""
    first: tuple[str, ...] = ()
    does: tuple[Does, ...] = ()
    setting: tuple[tuple[str, str], ...] = ()
    header: tuple[tuple[str, str], ...] = ()
    quota: str = ""
    route: str = ""
    tenant: str = ""
    pool: str = ""
    cell: str = ""
    patience_ms: int = 0
    deny: str = ""

    def __post_init__(self) -> None:
        if not (
            self.route or self.tenant or self.pool or self.cell or self.patience_ms or self.deny
        ):
            raise BadRule("route: a rule must lead to something")
        if self.patience_ms < 0:
            raise BadRule("patience_ms: must not be negative")
        if any(word != word.upper() for word in self.first):
            raise BadRule("first: words are written in capitals")

    def matches(self, seen: Seen) -> bool:
        return (
            _fits(self.user, seen.user)
            and _fits(self.path, seen.path)
            and _fits(self.database, seen.database)
            and _fits(self.quota, seen.quota)
            and (not self.first or seen.statement.first in self.first)
            and (not self.does or seen.statement.does in self.does)
            and all(n in seen.settings and _fits(p, seen.settings[n]) for n, p in self.setting)
            and all(n in seen.headers and _fits(p, seen.headers[n]) for n, p in self.header)
        )


def _fits(pattern: str, value: str) -> bool:
    return not pattern or fnmatch.fnmatchcase(value, pattern)


@dataclass(frozen=True, slots=True)
class Went:
    """Where a request goes. ``patience`` in nanoseconds."""

    route: str
    tenant: str
    pool: str
    cell: str
    patience: int
    deny: str
    keyed: bool  # a repeat is recognised by its engine
    repeatable: bool  # a repeat does no harm at all


@dataclass(frozen=True, slots=True)
class Rules:
    """``classes``: the deadline of each class, in nanoseconds. ``by_does``: the class of what no
    rule names; ``capped``: settings that tell how long the client waits.
    """

    classes: Mapping[str, int]
    by_does: Mapping[Does, str]
    rules: tuple[Rule, ...] = ()
    default_tenant: str = ""
    tenants: frozenset[str] = frozenset()
    limits: tuple[str, ...] = ("max_execution_time",)
    dedup: tuple[str, ...] = ("insert_deduplication_token",)
    keyed_by_id: bool = False
    # tenant by user, where it is not the user's name
    names: Mapping[str, str] = field(default_factory=dict)

    def __post_init__(self) -> None:
        for key, route in [("rules.route", r.route) for r in self.rules] + [
            ("by_does", r) for r in self.by_does.values()
        ]:
            if route and route not in self.classes:
                raise BadRule(f"{key}: {route!r} is no class of the settings")
        for does in Does:
            if does not in self.by_does:
                raise BadRule(f"by_does: nothing is said of {does.value!r}")

    def go(self, seen: Seen, query_id: str = "") -> Went:
        said = {"route": "", "tenant": "", "pool": "", "cell": "", "deny": ""}
        patience_ms = 0
        for rule in self.rules:
            if not rule.matches(seen):
                continue
            for key in said:
                said[key] = said[key] or getattr(rule, key)
            patience_ms = patience_ms or rule.patience_ms
        route = said["route"] or self.by_does[seen.statement.does]
        tenant = said["tenant"] or self.names.get(seen.user, seen.user)
        if self.tenants and tenant not in self.tenants:
            tenant = self.default_tenant
        keyed = seen.statement.does is Does.WRITE and (
            any(seen.settings.get(name) for name in self.dedup)
            or (self.keyed_by_id and bool(query_id))
        )
        return Went(
            route,
            tenant,
            said["pool"],
            said["cell"],
            self._patience(route, patience_ms, seen),
            said["deny"],
            keyed,
            seen.statement.does is Does.READ,
        )

    def _patience(self, route: str, patience_ms: int, seen: Seen) -> int:
        """The least of the class's deadline, the rule's, and what the client says that it waits.
        Danger: 0, and what is no number, mean no limit there; here the class's holds.
        """
        found = [self.classes[route]] + ([patience_ms * MS] if patience_ms else [])
        for name in self.limits:
            try:
                seconds = float(seen.settings.get(name, "0"))
            except ValueError:
                continue
            if 0 < seconds < 1e9:
                found.append(int(seconds * 1_000 * MS))
        return max(MS, min(found))
