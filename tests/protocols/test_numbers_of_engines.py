"""Numbers from engines that are no finite numbers."""

from __future__ import annotations

import pytest

from query_broker.protocols import resp


@pytest.mark.parametrize("value", ["nan", "-nan", "inf", "-inf", "1e999"])
def test_a_value_that_is_not_finite_is_no_load_report(value: str) -> None:
    with pytest.raises(resp.MalformedAnswerError):
        resp.read_load_report(f"inflight:2;util:{value}")
