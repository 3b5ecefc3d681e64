"""The text of an endpoint snapshot: what is read and what is rejected."""

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


def test_decoded_snapshot_equals_the_encoded_one_and_forms_a_watch_event() -> None:
    read = decode(encode(SNAPSHOT), "atlanta", READ_AT_NS, MAX_AGE_NS)
    assert read == SNAPSHOT
    assert read.event()["topology"]["all"] is True


def test_snapshot_truncated_at_any_byte_is_rejected() -> None:
    text = encode(SNAPSHOT)
    for position in range(len(text) - 1):
        with pytest.raises(EndpointSnapshotError):
            decode(text[:position], "atlanta", READ_AT_NS, MAX_AGE_NS)


def test_snapshot_altered_at_any_byte_is_rejected() -> None:
    text = encode(SNAPSHOT)
    for position in range(len(text) - 1):
        altered = text[:position] + chr(ord(text[position]) ^ 1) + text[position + 1 :]
        with pytest.raises(EndpointSnapshotError):
            decode(altered, "atlanta", READ_AT_NS, MAX_AGE_NS)


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        pytest.param({"installation": "mombasa"}, "installation", id="another installation"),
        pytest.param({"now_ns": 5_000 * NS_PER_SECOND}, "old", id="too old"),
        pytest.param({"now_ns": 900 * NS_PER_SECOND}, "clock", id="saved in the future"),
    ],
)
def test_error_names_another_installation_or_an_invalid_age(
    change: dict[str, Any], reason: str
) -> None:
    arguments: dict[str, Any] = {
        "installation": "atlanta",
        "now_ns": READ_AT_NS,
        "max_age_ns": MAX_AGE_NS,
        **change,
    }
    with pytest.raises(EndpointSnapshotError, match=reason):
        decode(encode(SNAPSHOT), **arguments)


def test_error_names_a_newer_format_version(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(endpoint_snapshot, "FORMAT_VERSION", 2)
    text = encode(SNAPSHOT)
    monkeypatch.undo()
    with pytest.raises(EndpointSnapshotError, match="format 2"):
        decode(text, "atlanta", READ_AT_NS, MAX_AGE_NS)
