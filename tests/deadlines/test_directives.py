"""The operators' directives on deadlines, retries and logs."""

from __future__ import annotations

import pytest

from query_broker.deadlines.retry_budget import ClassRate, RetryBudgetSettings
from query_broker.deadlines.settings import DeadlineSettings, HalfClosePolicy, Logs
from query_broker.operator_config.script import OperatorFileError, evaluate, run_script

from ..support.sockets import ROOT


@pytest.mark.parametrize(
    ("text", "key"),
    [
        pytest.param("deadlines(learn = 1)", "deadlines.learn", id="a number as a boolean"),
        pytest.param("deadlines(margin_ms = 1)", "deadlines.margin_ms", id="unknown option"),
        pytest.param(
            "deadlines(count_from = 'middle')", "deadlines.count_from", id="unknown choice"
        ),
        pytest.param("deadlines()\ndeadlines()", "deadlines", id="directive twice"),
        pytest.param(
            "deadlines(half_close = 'x')",
            "deadlines.half_close",
            id="unknown choice for a half-closed client",
        ),
        pytest.param(
            "deadlines(slow_reader = 0)", "deadlines.slow_reader", id="no time for a slow reader"
        ),
        pytest.param(
            "further_attempts(share = -1)", "further_attempts.share", id="negative fraction"
        ),
        pytest.param("further_attempts(burst = 0)", "further_attempts.burst", id="burst of zero"),
        pytest.param(
            "further_attempts(first = 0)",
            "further_attempts.first",
            id="no time for a first attempt",
        ),
        pytest.param(
            "further_class('x', 0.1, 1)", "further_class", id="class without the directive"
        ),
        pytest.param("logs(format = 'xml')", "logs.format", id="unknown format"),
        pytest.param("logs(stories = 2)", "logs.stories", id="fraction of traces above one"),
        pytest.param(
            "deadlines(margin_share = 1.5)",
            "deadlines.margin_share",
            id="margin fraction above one",
        ),
    ],
)
def test_a_fault_in_the_directives_on_deadlines_names_its_key(text: str, key: str) -> None:
    with pytest.raises(OperatorFileError, match=rf"^ops.star:\d+: {key}: "):
        run_script("ops.star", text, lambda: False)


def test_the_example_operators_file_of_the_deployment_is_read() -> None:
    config = evaluate(str(ROOT / "deploy" / "operators.star"))
    assert config.deadlines is not None
    assert config.deadlines.learn_margin
    assert config.deadlines.half_close is HalfClosePolicy.AWAIT_ANSWERS
    assert config.deadlines.retry_budget == RetryBudgetSettings(
        0.2, 10, (ClassRate("report", 0.1, 2.0),), True, 0.7
    )
    assert config.logs == Logs("json", 0.01)
    assert DeadlineSettings().retry_budget is None
