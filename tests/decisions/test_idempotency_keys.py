"""Idempotency keys: forwarding to the engine, uniqueness, and the idempotency window."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from query_broker.config import parse_settings
from query_broker.decisions.events import AttemptResult
from query_broker.dispatch.validation import InvalidRequestError
from query_broker.protocols import client_frames as frames
from query_broker.protocols import resp
from query_broker.protocols.client_request import parse_request

from ..support import deployments
from ..support.deployments import ALL, MS
from ..support.helpers import Harness, entry
from ..support.sockets import STATEMENT
from .dispatcher_harness import DispatcherHarness

TEXT = st.text(st.characters(codec="utf-8", exclude_characters=","), min_size=1, max_size=200)


@given(TEXT)
def test_any_key_is_forwarded_byte_for_byte(key: str) -> None:
    fields = {"route": "load", "trace": "9" * 16, "patience": "9", "nonce": key}
    request = parse_request(frames.write_fields(fields) + STATEMENT)
    options = {"cls": "load", "limit": 5, "nonce": request.idempotency_key, "level": 1}
    assert resp.read_pairs(resp.write_pairs(options)) == {
        "cls": "load",
        "limit": "5",
        "nonce": key,
        "level": "1",
    }


def test_request_with_the_id_of_an_open_request_and_another_key_is_invalid(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The engine would confuse the two requests, and drop one or answer both with one result."""
    harness = DispatcherHarness(deployments.WAREHOUSE, monkeypatch)
    harness.submit("load")
    other = harness.parsed_request("load", idempotency_key="f" * 32)
    with pytest.raises(InvalidRequestError):
        harness.dispatcher.validator.check(other)


@pytest.mark.parametrize("name", ["warehouse", "bound"])
@pytest.mark.parametrize(
    ("part", "sends"), [(0.5, 2), (1.0, 1), (1.2, 1)], ids=["within", "at its end", "after"]
)
def test_no_retry_with_a_key_after_the_idempotency_window(
    name: str, part: float, sends: int
) -> None:
    """After the window no engine remembers the key, and the load would run twice."""
    settings = parse_settings(ALL[name])
    load_class = next(entry for entry in settings.classes if entry.name == "load")
    window_ns = load_class.idempotency_window_ns
    harness = Harness(settings, *(entry(number, zone="east") for number in (1, 2, 3)))
    harness.arrive("r", "load", 10 * window_ns, estimate_ns=MS, tenant="acme")
    # No timer fires, so that nothing else ends the first attempt.
    harness.now += int(part * window_ns)
    harness.end("r", AttemptResult.ERROR)
    assert len(harness.sends("r")) == sends
