"""Routing rules: class, pool, cell, tenant and timeout of a request."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from query_broker.clickhouse.rules import NamedPattern, RequestFacts, Rule, RuleError, Rules
from query_broker.clickhouse.statement import StatementKind, parse_statement

from ..support.helpers import S

CLASSES = {"glance": 5 * S, "report": 20 * S, "load": 25 * S}
CLASS_BY_KIND = {
    StatementKind.READ: "glance",
    StatementKind.WRITE: "load",
    StatementKind.CHANGE: "load",
    StatementKind.SESSION: "glance",
    StatementKind.UNKNOWN: "report",
}


def request_facts(text: str = "SELECT 1", **more: Any) -> RequestFacts:
    """Return the properties of a request with this statement, as rules match them."""
    defaults: dict[str, Any] = {
        "user": "ann",
        "path": "/",
        "database": "",
        "settings": {},
        "headers": {},
    }
    return RequestFacts(statement=parse_statement(text), **{**defaults, **more})


def test_each_part_is_taken_from_the_first_matching_rule_that_sets_it() -> None:
    rules = Rules(
        CLASSES,
        CLASS_BY_KIND,
        (
            Rule(user="fin*", class_name="report", pool="big"),
            Rule(database="t?", tenant="likoni", timeout_ms=3_000),
            Rule(user="fin*", class_name="load", cell="b"),
            Rule(settings=(NamedPattern("priority", "1*"),), cell="a"),
            Rule(headers=(NamedPattern("x-desk", "lamu"),), tenant="lamu"),
            Rule(verbs=("KILL",), denial="not here"),
        ),
    )
    routing = rules.route(request_facts(user="finance", database="t1", settings={"priority": "10"}))
    assert routing.class_name == "report"
    assert routing.pool == "big"
    assert routing.cell == "b"
    assert routing.tenant == "likoni"
    assert routing.timeout_ns == 3 * S
    assert rules.route(request_facts(headers={"x-desk": "lamu"})).tenant == "lamu"
    assert rules.route(request_facts("KILL QUERY WHERE 1")).denial == "not here"
    assert not rules.route(request_facts()).denial


@pytest.mark.parametrize(
    ("client_timeout", "timeout_s"),
    [("2.5", 2.5), ("0", 5), ("60", 5), ("x", 5), ("nan", 5), ("-1", 5)],
)
def test_the_timeout_is_the_shorter_of_class_deadline_and_client_timeout(
    client_timeout: str, timeout_s: float
) -> None:
    rules = Rules(CLASSES, CLASS_BY_KIND)
    facts = request_facts(settings={"max_execution_time": client_timeout})
    assert rules.route(facts).timeout_ns == timeout_s * S


def test_an_insert_has_an_idempotency_key_only_with_a_token_or_query_id() -> None:
    rules = Rules(
        CLASSES,
        CLASS_BY_KIND,
        query_id_is_idempotency_key=True,
        tenants=frozenset({"acme"}),
        default_tenant="acme",
    )
    routing = rules.route(request_facts("INSERT INTO t VALUES (1)"))
    assert not routing.has_idempotency_key
    assert not routing.idempotent
    assert routing.tenant == "acme"
    assert routing.class_name == "load"
    assert rules.route(
        request_facts("INSERT INTO t VALUES (1)", settings={"insert_deduplication_token": "x"})
    ).has_idempotency_key
    assert rules.route(request_facts("INSERT INTO t VALUES (1)"), "q1").has_idempotency_key
    # only the query id of an INSERT is an idempotency key
    assert not rules.route(request_facts("ALTER TABLE t DELETE WHERE 1"), "q1").has_idempotency_key
    assert rules.route(request_facts()).idempotent


@pytest.mark.parametrize(
    "make_rules",
    [
        pytest.param(lambda: Rule(user="a"), id="no outcome"),
        pytest.param(lambda: Rule(class_name="x", timeout_ms=-1), id="negative timeout"),
        pytest.param(lambda: Rule(verbs=("kill",), denial="x"), id="keyword in lower case"),
        pytest.param(
            lambda: Rules(CLASSES, CLASS_BY_KIND, (Rule(class_name="nowhere"),)), id="unknown class"
        ),
        pytest.param(
            lambda: Rules(CLASSES, {StatementKind.READ: "glance"}), id="kinds without a class"
        ),
        pytest.param(lambda: Rules({}, CLASS_BY_KIND), id="no classes"),
    ],
)
def test_an_invalid_rule_raises_an_error_that_names_its_key(
    make_rules: Callable[[], Rule | Rules],
) -> None:
    with pytest.raises(RuleError, match="^[a-z_.]+: "):
        make_rules()
