"""Golden form of the endpoint snapshot, the last endpoint list that a broker keeps on disk."""

from __future__ import annotations

import json
import os
from pathlib import Path

import pytest

from query_broker.decisions.facade import EndpointState
from query_broker.discovery.event_codec import EndpointListEvent, ListedEndpoint
from query_broker.endpoints.endpoint_table import EndpointTable
from query_broker.startup import endpoint_snapshot, snapshot_store
from query_broker.startup.endpoint_snapshot import EndpointSnapshot

NS_PER_S = 1_000_000_000
SAVED_AT_NS = 1_000 * NS_PER_S
READ_AT_NS = 1_060 * NS_PER_S
MAX_AGE_NS = 3_600 * NS_PER_S
INSTALLATION = "atlanta"

ENDPOINTS = (
    ListedEndpoint(
        "s-1",
        host="10.1.0.1",
        port=9090,
        zone="zone-a",
        kind="m-1",
        cell=2,
        state=EndpointState.READY,
        weight=1.5,
        started_ns=1_700_000_000_123_000_000,
    ),
    ListedEndpoint("s-2", "10.1.0.2", 9091, "zone-b", "m-2", 0, EndpointState.DRAINING, 1.0, 0),
    ListedEndpoint("s-3", "10.1.0.3", 9092, "zone-b", "m-2", 0, EndpointState.REMOVED, 1.0, 0),
)
SNAPSHOT_HEAD = "larchhall-list 1 cce077e7063d97261dcb94460f7d3d3f"
SNAPSHOT_BODY = (
    '{"installation":"atlanta","offset":41,"saved_at":1000000000000,"targets":[{"'
    'uid":"s-1","endpoint":"10.1.0.1:9090","az":"zone-a","model":"m-1","pod_group'
    '":2,"state":"in_service","capacity_hint":1.5,"boot_ms":1700000000123},{"uid"'
    ':"s-2","endpoint":"10.1.0.2:9091","az":"zone-b","model":"m-2","pod_group":0,'
    '"state":"terminating","capacity_hint":1.0,"boot_ms":0}]}\n'
)
SNAPSHOT_TEXT = f"{SNAPSHOT_HEAD}\n{SNAPSHOT_BODY}"


@pytest.fixture
def snapshot() -> EndpointSnapshot:
    """The snapshot of a list with a ready, a draining and a removed endpoint."""
    table = EndpointTable()
    table.apply_event(EndpointListEvent(41, True, ENDPOINTS))
    targets = snapshot_store.listed_targets(table)
    return EndpointSnapshot(INSTALLATION, 41, SAVED_AT_NS, targets)


def decode(text: str) -> EndpointSnapshot:
    """Decode the text a minute after it was saved."""
    return endpoint_snapshot.decode(text, INSTALLATION, READ_AT_NS, MAX_AGE_NS)


def test_snapshot_is_encoded_as_its_text(snapshot: EndpointSnapshot) -> None:
    assert endpoint_snapshot.encode(snapshot) == SNAPSHOT_TEXT


def test_snapshot_is_decoded_from_its_text(snapshot: EndpointSnapshot) -> None:
    assert decode(SNAPSHOT_TEXT) == snapshot


def test_snapshot_on_disk(tmp_path: Path) -> None:
    path = tmp_path / "list"
    snapshot_store.write_atomically(str(path), SNAPSHOT_TEXT)
    assert os.listdir(tmp_path) == ["list"]
    assert path.read_bytes() == SNAPSHOT_TEXT.encode()


def test_snapshot_as_the_event_that_the_discovery_service_would_send() -> None:
    assert json.dumps(decode(SNAPSHOT_TEXT).event()) == (
        '{"offset": 41, "topology": {"rev": 41, "all": true, "targets": [{"uid": "s-1'
        '", "endpoint": "10.1.0.1:9090", "az": "zone-a", "model": "m-1", "pod_group":'
        ' 2, "state": "in_service", "capacity_hint": 1.5, "boot_ms": 1700000000123}, '
        '{"uid": "s-2", "endpoint": "10.1.0.2:9091", "az": "zone-b", "model": "m-2", '
        '"pod_group": 0, "state": "terminating", "capacity_hint": 1.0, "boot_ms": 0}]'
        "}}"
    )
