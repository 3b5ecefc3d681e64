"""The file of an endpoint snapshot: what is read, and what is never acted on."""

from __future__ import annotations

from typing import Any

import pytest

from query_broker.startup import endpoint_snapshot
from query_broker.startup.endpoint_snapshot import (
    EndpointSnapshot,
    EndpointSnapshotError,
    decode,
    encode,
)
from query_broker.startup.settings import NS_PER_SECOND

from ..support.sockets import target_entry

READ_AT_NS = 1_060 * NS_PER_SECOND
MAX_AGE_NS = 3_600 * NS_PER_SECOND
SNAPSHOT = EndpointSnapshot(
    "atlanta", 41, 1_000 * NS_PER_SECOND, (target_entry("s-1", 9090), target_entry("s-2", 9091))
)


def test_a_snapshot_is_read_as_it_was_written_and_is_a_watch_event() -> None:
    read = decode(encode(SNAPSHOT), "atlanta", READ_AT_NS, MAX_AGE_NS)
    assert read == SNAPSHOT
    assert read.event()["topology"]["all"] is True


def test_one_cut_at_any_byte_is_never_acted_on() -> None:
    text = encode(SNAPSHOT)
    for at in range(len(text) - 1):
        with pytest.raises(EndpointSnapshotError):
            decode(text[:at], "atlanta", READ_AT_NS, MAX_AGE_NS)


def test_one_altered_at_any_byte_is_never_acted_on() -> None:
    text = encode(SNAPSHOT)
    for at in range(len(text) - 1):
        altered = text[:at] + chr(ord(text[at]) ^ 1) + text[at + 1 :]
        with pytest.raises(EndpointSnapshotError):
            decode(altered, "atlanta", READ_AT_NS, MAX_AGE_NS)


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        pytest.param({"installation": "mombasa"}, "installation", id="of another installation"),
        pytest.param({"now_ns": 5_000 * NS_PER_SECOND}, "old", id="too old"),
        pytest.param({"now_ns": 900 * NS_PER_SECOND}, "clock", id="of the future"),
    ],
)
def test_a_foreign_an_old_and_a_future_snapshot_are_named(
    change: dict[str, Any], reason: str
) -> None:
    given: dict[str, Any] = {
        "installation": "atlanta",
        "now_ns": READ_AT_NS,
        "max_age_ns": MAX_AGE_NS,
        **change,
    }
    with pytest.raises(EndpointSnapshotError, match=reason):
        decode(encode(SNAPSHOT), **given)


def test_a_newer_format_is_named(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(endpoint_snapshot, "FORMAT_VERSION", 2)
    text = encode(SNAPSHOT)
    monkeypatch.undo()
    with pytest.raises(EndpointSnapshotError, match="format 2"):
        decode(text, "atlanta", READ_AT_NS, MAX_AGE_NS)
