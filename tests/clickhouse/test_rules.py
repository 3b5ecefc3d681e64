"""Rules: which class, pool, cell and tenant a request gets, and its timeout."""

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
    """Return what the rules know of a request with this statement."""
    defaults: dict[str, Any] = {
        "user": "ann",
        "path": "/",
        "database": "",
        "settings": {},
        "headers": {},
    }
    return RequestFacts(statement=parse_statement(text), **{**defaults, **more})


def test_the_first_rule_that_names_a_part_decides_it() -> None:
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
    decision = rules.route(
        request_facts(user="finance", database="t1", settings={"priority": "10"})
    )
    assert decision.class_name == "report"
    assert decision.pool == "big"
    assert decision.cell == "b"
    assert decision.tenant == "likoni"
    assert decision.timeout_ns == 3 * S
    assert rules.route(request_facts(headers={"x-desk": "lamu"})).tenant == "lamu"
    assert rules.route(request_facts("KILL QUERY WHERE 1")).denial == "not here"
    assert not rules.route(request_facts()).denial


@pytest.mark.parametrize(
    ("stated", "timeout_s"),
    [("2.5", 2.5), ("0", 5), ("60", 5), ("x", 5), ("nan", 5), ("-1", 5)],
)
def test_the_timeout_is_the_least_of_class_rule_and_client(stated: str, timeout_s: float) -> None:
    rules = Rules(CLASSES, CLASS_BY_KIND)
    facts = request_facts(settings={"max_execution_time": stated})
    assert rules.route(facts).timeout_ns == timeout_s * S


def test_an_insert_is_not_idempotent_unless_a_token_or_an_id_is_its_key() -> None:
    rules = Rules(
        CLASSES,
        CLASS_BY_KIND,
        query_id_is_idempotency_key=True,
        tenants=frozenset({"acme"}),
        default_tenant="acme",
    )
    decision = rules.route(request_facts("INSERT INTO t VALUES (1)"))
    assert not decision.has_idempotency_key
    assert not decision.idempotent
    assert decision.tenant == "acme"
    assert decision.class_name == "load"
    assert rules.route(
        request_facts("INSERT INTO t VALUES (1)", settings={"insert_deduplication_token": "x"})
    ).has_idempotency_key
    assert rules.route(request_facts("INSERT INTO t VALUES (1)"), "q1").has_idempotency_key
    # an ALTER runs twice whatever its id
    assert not rules.route(request_facts("ALTER TABLE t DELETE WHERE 1"), "q1").has_idempotency_key
    assert rules.route(request_facts()).idempotent


@pytest.mark.parametrize(
    "make_rules",
    [
        pytest.param(lambda: Rule(user="a"), id="no decision"),
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
def test_an_invalid_rule_is_an_error_that_names_its_key(
    make_rules: Callable[[], Rule | Rules],
) -> None:
    with pytest.raises(RuleError, match="^[a-z_.]+: "):
        make_rules()
