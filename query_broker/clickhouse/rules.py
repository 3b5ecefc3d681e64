"""Where a request goes and under which terms: operators' rules, of which the first match wins.

Performs no I/O. A rule names conditions and what they lead to. Each part of the outcome is taken
from the first matching rule that names it. What no rule names is taken from the defaults: the class
by what the statement does, the tenant by the user, the pool and the deadline of the class.
"""

from __future__ import annotations

import fnmatch
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from ..errors import QueryBrokerError
from .statement import Statement, StatementKind

NS_PER_MS = 1_000_000
MS_PER_S = 1_000
#: A client's timeout from here on counts as none.
CLIENT_TIMEOUT_LIMIT_S = 1e9


class RuleError(QueryBrokerError, ValueError):
    """A rule that cannot be used; the text is ``key: problem``.

    The keys are those of the rules' own form: ``route`` is the class, ``first`` the verbs,
    ``patience_ms`` the timeout and ``by_does`` the class by kind.
    """

    def __init__(self, key: str, problem: str) -> None:
        """Name the key of the rule and what is wrong with it."""
        super().__init__(f"{key}: {problem}")


@dataclass(frozen=True, slots=True)
class RequestFacts:
    """A request as rules see it.

    Attributes:
        user: The user.
        path: The path of the URL.
        database: The database that the head of the request names.
        statement: What was read of its statement.
        settings: The settings that it names.
        headers: Its headers; their names are in lower case.
        quota_key: By what the user's quota is counted.
    """

    user: str
    path: str
    database: str
    statement: Statement
    settings: Mapping[str, str]
    headers: Mapping[str, str]
    quota_key: str = ""


class NamedPattern(NamedTuple):
    """A shell pattern for the value of a setting or header."""

    name: str
    pattern: str


@dataclass(frozen=True, slots=True)
class Rule:
    """One rule: conditions that must all hold, and what a match leads to.

    Patterns are those of a shell. An empty condition always holds, and an empty outcome leaves that
    part to later rules.

    Attributes:
        user: A pattern for the user.
        path: A pattern for the path of the URL.
        database: A pattern for the database.
        verbs: The first words of statements that match, in capitals.
        kinds: What the statement does.
        settings: Settings that must be named, with patterns for their values.
        headers: Headers that must be there, with patterns for their values.
        quota_key: A pattern for the quota key.
        class_name: The request class.
        tenant: The tenant.
        pool: The pool.
        cell: The cell.
        timeout_ms: The timeout; 0 sets none.
        denial: The reason to deny the request.

    Raises:
        RuleError: A value cannot be used; the text names the key.
    """

    user: str = ""
    path: str = ""
    database: str = ""
    verbs: tuple[str, ...] = ()
    kinds: tuple[StatementKind, ...] = ()
    settings: tuple[NamedPattern, ...] = ()
    headers: tuple[NamedPattern, ...] = ()
    quota_key: str = ""
    class_name: str = ""
    tenant: str = ""
    pool: str = ""
    cell: str = ""
    timeout_ms: int = 0
    denial: str = ""

    def __post_init__(self) -> None:
        """Check the values."""
        outcomes = (self.class_name, self.tenant, self.pool, self.cell, self.denial)
        if not any(outcomes) and not self.timeout_ms:
            raise RuleError("route", "a rule must lead to something")
        if self.timeout_ms < 0:
            raise RuleError("patience_ms", "must not be negative")
        if any(verb != verb.upper() for verb in self.verbs):
            raise RuleError("first", "words are written in capitals")

    def matches(self, request: RequestFacts) -> bool:
        """Return whether all conditions hold for a request."""
        return (
            _matches(self.user, request.user)
            and _matches(self.path, request.path)
            and _matches(self.database, request.database)
            and _matches(self.quota_key, request.quota_key)
            and (not self.verbs or request.statement.verb in self.verbs)
            and (not self.kinds or request.statement.kind in self.kinds)
            and _all_match(self.settings, request.settings)
            and _all_match(self.headers, request.headers)
        )


def _all_match(patterns: tuple[NamedPattern, ...], values: Mapping[str, str]) -> bool:
    return all(name in values and _matches(pattern, values[name]) for name, pattern in patterns)


def _matches(pattern: str, value: str) -> bool:
    return not pattern or fnmatch.fnmatchcase(value, pattern)


@dataclass(frozen=True, slots=True)
class Routing:
    """Where a request goes and under which terms.

    Attributes:
        class_name: Its request class.
        tenant: Its tenant.
        pool: Its pool; empty leaves the choice to the class.
        cell: Its cell; empty leaves the choice to the map.
        timeout_ns: How long it may take.
        denial: Why it is denied; empty if it is not.
        has_idempotency_key: Whether its engine recognises a second execution.
        idempotent: Whether a second execution does no harm.
    """

    class_name: str
    tenant: str
    pool: str
    cell: str
    timeout_ns: int
    denial: str
    has_idempotency_key: bool
    idempotent: bool


@dataclass(slots=True)
class _Outcome:
    """What the matching rules lead to, each part from the first rule that names it."""

    class_name: str = ""
    tenant: str = ""
    pool: str = ""
    cell: str = ""
    denial: str = ""
    timeout_ms: int = 0

    def add(self, rule: Rule) -> None:
        """Take the parts that no earlier rule has named."""
        self.class_name = self.class_name or rule.class_name
        self.tenant = self.tenant or rule.tenant
        self.pool = self.pool or rule.pool
        self.cell = self.cell or rule.cell
        self.denial = self.denial or rule.denial
        self.timeout_ms = self.timeout_ms or rule.timeout_ms


@dataclass(frozen=True, slots=True)
class Rules:
    """All rules, and the defaults of what no rule names.

    Attributes:
        class_deadlines_ns: The deadline of each request class.
        class_by_kind: The request class by what the statement does.
        rules: The rules, looked at in their order.
        default_tenant: The tenant where the named one is not among the known ones.
        tenants: The known tenants; with none, any name is one.
        timeout_settings: Settings that say how long the client waits.
        idempotency_settings: Settings that hold an idempotency key.
        query_id_is_idempotency_key: Whether a query id serves as idempotency key.
        tenant_by_user: The tenant of each user whose tenant has another name than the user.

    Raises:
        RuleError: A value cannot be used; the text names the key.
    """

    class_deadlines_ns: Mapping[str, int]
    class_by_kind: Mapping[StatementKind, str]
    rules: tuple[Rule, ...] = ()
    default_tenant: str = ""
    tenants: frozenset[str] = frozenset()
    timeout_settings: tuple[str, ...] = ("max_execution_time",)
    idempotency_settings: tuple[str, ...] = ("insert_deduplication_token",)
    query_id_is_idempotency_key: bool = False
    tenant_by_user: Mapping[str, str] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Check the values."""
        named = [("rules.route", rule.class_name) for rule in self.rules]
        named += [("by_does", class_name) for class_name in self.class_by_kind.values()]
        for key, class_name in named:
            if class_name and class_name not in self.class_deadlines_ns:
                raise RuleError(key, f"{class_name!r} is no class of the settings")
        for kind in StatementKind:
            if kind not in self.class_by_kind:
                raise RuleError("by_does", f"nothing is said of {kind.value!r}")

    def route(self, request: RequestFacts, query_id: str = "") -> Routing:
        """Return where a request goes; ``query_id`` is the client's own id of it."""
        outcome = self._outcome(request)
        kind = request.statement.kind
        class_name = outcome.class_name or self.class_by_kind[kind]
        return Routing(
            class_name=class_name,
            tenant=self._tenant(outcome.tenant, request.user),
            pool=outcome.pool,
            cell=outcome.cell,
            timeout_ns=self._timeout_ns(class_name, outcome.timeout_ms, request),
            denial=outcome.denial,
            has_idempotency_key=self._has_idempotency_key(request, query_id),
            idempotent=kind is StatementKind.READ,
        )

    def _outcome(self, request: RequestFacts) -> _Outcome:
        outcome = _Outcome()
        for rule in self.rules:
            if rule.matches(request):
                outcome.add(rule)
        return outcome

    def _tenant(self, named: str, user: str) -> str:
        tenant = named or self.tenant_by_user.get(user, user)
        if self.tenants and tenant not in self.tenants:
            return self.default_tenant
        return tenant

    def _has_idempotency_key(self, request: RequestFacts, query_id: str) -> bool:
        if request.statement.kind is not StatementKind.WRITE:
            return False
        if any(request.settings.get(name) for name in self.idempotency_settings):
            return True
        return self.query_id_is_idempotency_key and bool(query_id)

    def _timeout_ns(self, class_name: str, rule_timeout_ms: int, request: RequestFacts) -> int:
        """Return the shortest of the class's deadline, the rule's timeout and the client's.

        For the client 0, and what is no number, mean that there is no limit; the class's holds.
        """
        timeouts_ns = [self.class_deadlines_ns[class_name]]
        if rule_timeout_ms:
            timeouts_ns.append(rule_timeout_ms * NS_PER_MS)
        for name in self.timeout_settings:
            try:
                timeout_s = float(request.settings.get(name, "0"))
            except ValueError:
                continue
            if 0 < timeout_s < CLIENT_TIMEOUT_LIMIT_S:
                timeouts_ns.append(int(timeout_s * MS_PER_S * NS_PER_MS))
        return max(NS_PER_MS, min(timeouts_ns))
