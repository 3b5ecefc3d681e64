"""Operators' rules that decide the class, tenant, pool, cell and timeout of a request.

Performs no I/O. A rule consists of conditions and an outcome. Each part of the outcome is taken
from the first matching rule that sets it. Parts that no rule sets have defaults: the class depends
on the kind of statement, the tenant on the user, and the pool and the deadline on the class.
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
#: A client's timeout of this length or longer counts as no timeout.
CLIENT_TIMEOUT_LIMIT_S = 1e9


class RuleError(QueryBrokerError, ValueError):
    """An invalid rule; the text is ``key: problem``.

    The keys are those of the rules' written form: ``route`` is the class, ``first`` the verbs,
    ``patience_ms`` the timeout and ``by_does`` the class by statement kind.
    """

    def __init__(self, key: str, problem: str) -> None:
        """Create an error for a key of a rule."""
        super().__init__(f"{key}: {problem}")


@dataclass(frozen=True, slots=True)
class RequestFacts:
    """The properties of a request that rules can match.

    Attributes:
        user: The user.
        path: The path of the URL.
        database: The database that the head of the request names.
        statement: The parsed statement.
        settings: The settings of the request.
        headers: The headers of the request, by name in lower case.
        quota_key: The key by which the user's quota is counted.
    """

    user: str
    path: str
    database: str
    statement: Statement
    settings: Mapping[str, str]
    headers: Mapping[str, str]
    quota_key: str = ""


class NamedPattern(NamedTuple):
    """The name of a setting or header, and a shell pattern for its value."""

    name: str
    pattern: str


@dataclass(frozen=True, slots=True)
class Rule:
    """A rule: conditions that must all hold, and the outcome of a match.

    Patterns are shell patterns. An empty condition always holds; an empty part of the outcome is
    left to later rules.

    Attributes:
        user: A pattern for the user.
        path: A pattern for the path of the URL.
        database: A pattern for the database.
        verbs: The first words of statements that match, in upper case.
        kinds: The kinds of statements that match.
        settings: The settings that must be present, with patterns for their values.
        headers: The headers that must be present, with patterns for their values.
        quota_key: A pattern for the quota key.
        class_name: The request class.
        tenant: The tenant.
        pool: The pool.
        cell: The cell.
        timeout_ms: The timeout; 0 sets none.
        denial: The reason for denying the request; empty does not deny it.

    Raises:
        RuleError: A value is invalid; the text names the key.
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
        """Validate the values."""
        outcomes = (self.class_name, self.tenant, self.pool, self.cell, self.denial)
        if not any(outcomes) and not self.timeout_ms:
            raise RuleError("route", "a rule must have an outcome")
        if self.timeout_ms < 0:
            raise RuleError("patience_ms", "must not be negative")
        if any(verb != verb.upper() for verb in self.verbs):
            raise RuleError("first", "verbs must be in upper case")

    def matches(self, request: RequestFacts) -> bool:
        """Return whether a request meets all conditions."""
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
    """The decision about a request: its destination, its timeout, and whether it may run twice.

    Attributes:
        class_name: The request class.
        tenant: The tenant.
        pool: The pool; empty uses that of the class.
        cell: The cell; empty uses that of the cell map.
        timeout_ns: How long the request may take.
        denial: The reason for denying the request; empty if it is not denied.
        has_idempotency_key: Whether engines can recognise a second execution by a key.
        idempotent: Whether a second execution is harmless.
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
    """The combined outcome of the matching rules."""

    class_name: str = ""
    tenant: str = ""
    pool: str = ""
    cell: str = ""
    denial: str = ""
    timeout_ms: int = 0

    def add(self, rule: Rule) -> None:
        """Add the parts of a rule's outcome that no earlier rule has set."""
        self.class_name = self.class_name or rule.class_name
        self.tenant = self.tenant or rule.tenant
        self.pool = self.pool or rule.pool
        self.cell = self.cell or rule.cell
        self.denial = self.denial or rule.denial
        self.timeout_ms = self.timeout_ms or rule.timeout_ms


@dataclass(frozen=True, slots=True)
class Rules:
    """All rules, and the defaults for the parts that no rule sets.

    Attributes:
        class_deadlines_ns: The deadline of each request class.
        class_by_kind: The default request class of each kind of statement.
        rules: The rules, in the order in which they are evaluated.
        default_tenant: The tenant of requests whose tenant is unknown.
        tenants: The known tenants; if empty, all tenants are known.
        timeout_settings: The settings that contain the client's timeout in seconds.
        idempotency_settings: The settings that contain an idempotency key.
        query_id_is_idempotency_key: Whether a query id is used as an idempotency key.
        tenant_by_user: The tenant of each user whose tenant is not named after the user.

    Raises:
        RuleError: A value is invalid; the text names the key.
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
        """Validate the values."""
        class_references = [("rules.route", rule.class_name) for rule in self.rules]
        class_references += [("by_does", class_name) for class_name in self.class_by_kind.values()]
        for key, class_name in class_references:
            if class_name and class_name not in self.class_deadlines_ns:
                raise RuleError(key, f"{class_name!r} is no class of the settings")
        for kind in StatementKind:
            if kind not in self.class_by_kind:
                raise RuleError("by_does", f"no class is given for {kind.value!r}")

    def route(self, request: RequestFacts, query_id: str = "") -> Routing:
        """Apply the rules to a request; ``query_id`` is the id that the client gave it."""
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

    def _tenant(self, rule_tenant: str, user: str) -> str:
        tenant = rule_tenant or self.tenant_by_user.get(user, user)
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
        """Return the shortest of the deadline of the class and the timeouts of rule and client.

        A client's timeout that is 0, negative or not a number is ignored.
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
