"""Load reports of engines with values that are not finite."""

from __future__ import annotations

import pytest

from query_broker.protocols import resp


@pytest.mark.parametrize("value", ["nan", "-nan", "inf", "-inf", "1e999"])
def test_a_load_report_with_a_value_that_is_not_finite_is_malformed(value: str) -> None:
    with pytest.raises(resp.MalformedAnswerError):
        resp.read_load_report(f"inflight:2;util:{value}")
