"""Where a request goes and under which terms: operators' rules, of which the first match wins.

Performs no I/O. Each part of the outcome is taken from the first rule that names it.

A rule names conditions and what they lead to. What no rule says is taken from the defaults: the
class by what the statement does, the tenant by the user, the pool and the patience of the class.
"""

from __future__ import annotations

import fnmatch
from collections.abc import Mapping
from dataclasses import dataclass, field

from ..errors import QueryBrokerError
from .statement import Statement, StatementKind

MS = 1_000_000
LONGEST_S = 1e9  # a time beyond that is taken for none
WHERE = ("user", "path", "database", "first", "does", "setting", "header", "quota")


class RuleError(QueryBrokerError, ValueError):
    """A rule that cannot be used; the text is ``key: problem``."""

    def __init__(self, key: str, problem: str) -> None:
        """Name the key of the rule and what is wrong with it."""
        super().__init__(f"{key}: {problem}")


@dataclass(frozen=True, slots=True)
class RequestFacts:
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
    """One rule: patterns as in a shell, and what a match leads to.

    ``setting`` and ``header`` are pairs of name and pattern; all must match. An empty outcome says
    nothing of that part.
    """

    user: str = ""
    path: str = ""
    database: str = ""
    first: tuple[str, ...] = ()
    does: tuple[StatementKind, ...] = ()
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
        """Check the values; RuleError names the one that cannot be used."""
        if not (
            self.route or self.tenant or self.pool or self.cell or self.patience_ms or self.deny
        ):
            raise RuleError("route", "a rule must lead to something")
        if self.patience_ms < 0:
            raise RuleError("patience_ms", "must not be negative")
        if any(verb != verb.upper() for verb in self.first):
            raise RuleError("first", "words are written in capitals")

    def matches(self, seen: RequestFacts) -> bool:
        """Return whether all conditions hold for a request."""
        return (
            _fits(self.user, seen.user)
            and _fits(self.path, seen.path)
            and _fits(self.database, seen.database)
            and _fits(self.quota, seen.quota)
            and (not self.first or seen.statement.first in self.first)
            and (not self.does or seen.statement.does in self.does)
            and _all_fit(self.setting, seen.settings)
            and _all_fit(self.header, seen.headers)
        )


def _all_fit(patterns: tuple[tuple[str, str], ...], values: Mapping[str, str]) -> bool:
    return all(name in values and _fits(pattern, values[name]) for name, pattern in patterns)


def _fits(pattern: str, value: str) -> bool:
    return not pattern or fnmatch.fnmatchcase(value, pattern)


@dataclass(frozen=True, slots=True)
class Routing:
    """Where a request goes and under which terms. ``timeout_ns`` in nanoseconds."""

    route: str
    tenant: str
    pool: str
    cell: str
    timeout_ns: int
    deny: str
    keyed: bool  # a repeat is recognised by its engine
    repeatable: bool  # a repeat does no harm at all


@dataclass(frozen=True, slots=True)
class Rules:
    """All rules, and the defaults of what no rule names.

    Attributes:
        classes: The deadline of each class in nanoseconds.
        by_does: The class by what the statement does.
        rules: The rules, looked at in their order.
        default_tenant: The tenant where the named one is not among the known ones.
        tenants: The known tenants.
        limits: Settings that say how long the client waits.
        dedup: Settings that hold an idempotency key.
        keyed_by_id: Whether a query id serves as idempotency key.
        names: The tenant by user, where it is not the user's name.
    """

    classes: Mapping[str, int]
    by_does: Mapping[StatementKind, str]
    rules: tuple[Rule, ...] = ()
    default_tenant: str = ""
    tenants: frozenset[str] = frozenset()
    limits: tuple[str, ...] = ("max_execution_time",)
    dedup: tuple[str, ...] = ("insert_deduplication_token",)
    keyed_by_id: bool = False
    names: Mapping[str, str] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Check the values; RuleError names the one that cannot be used."""
        named = [("rules.route", rule.route) for rule in self.rules]
        named += [("by_does", class_name) for class_name in self.by_does.values()]
        for key, class_name in named:
            if class_name and class_name not in self.classes:
                raise RuleError(key, f"{class_name!r} is no class of the settings")
        for does in StatementKind:
            if does not in self.by_does:
                raise RuleError("by_does", f"nothing is said of {does.value!r}")

    def route(self, seen: RequestFacts, query_id: str = "") -> Routing:
        """Return where a request goes; ``query_id`` is the client's own id of it."""
        outcome, rule_timeout_ms = self._outcome(seen)
        class_name = outcome["route"] or self.by_does[seen.statement.does]
        return Routing(
            class_name,
            self._tenant(outcome["tenant"], seen.user),
            outcome["pool"],
            outcome["cell"],
            self._timeout_ns(class_name, rule_timeout_ms, seen),
            outcome["deny"],
            self._has_idempotency_key(seen, query_id),
            seen.statement.does is StatementKind.READ,
        )

    def _outcome(self, seen: RequestFacts) -> tuple[dict[str, str], int]:
        """Each part from the first matching rule that names it, and the timeout likewise."""
        outcome = dict.fromkeys(("route", "tenant", "pool", "cell", "deny"), "")
        timeout_ms = 0
        for rule in self.rules:
            if not rule.matches(seen):
                continue
            for key, value in outcome.items():
                outcome[key] = value or getattr(rule, key)
            timeout_ms = timeout_ms or rule.patience_ms
        return outcome, timeout_ms

    def _tenant(self, named: str, user: str) -> str:
        tenant = named or self.names.get(user, user)
        if self.tenants and tenant not in self.tenants:
            return self.default_tenant
        return tenant

    def _has_idempotency_key(self, seen: RequestFacts, query_id: str) -> bool:
        if seen.statement.does is not StatementKind.WRITE:
            return False
        if any(seen.settings.get(name) for name in self.dedup):
            return True
        return self.keyed_by_id and bool(query_id)

    def _timeout_ns(self, class_name: str, rule_timeout_ms: int, seen: RequestFacts) -> int:
        """The least of the class's deadline, the rule's, and what the client says that it waits.

        There 0, and what is no number, mean that there is no limit; here the class's holds.
        """
        found = [self.classes[class_name]]
        if rule_timeout_ms:
            found.append(rule_timeout_ms * MS)
        for name in self.limits:
            try:
                seconds = float(seen.settings.get(name, "0"))
            except ValueError:
                continue
            if 0 < seconds < LONGEST_S:
                found.append(int(seconds * 1_000 * MS))
        return max(MS, min(found))
