"""Golden forms of what a broker stores on disk or tells its other process during an upgrade.

Every expected value is a literal. A change here breaks the upgrade from the version before, or
moves engines and tenants between brokers that must agree without talking: no rename may alter it.
"""

from __future__ import annotations

import fcntl
import json
import os
import re
import stat
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import pytest

from query_broker.cells import migrations as moves
from query_broker.cells import model, placement
from query_broker.cells.migration_log import MigrationLog
from query_broker.cells.node import CellNode
from query_broker.decisions.data_set_affinity import DataSetAffinity
from query_broker.decisions.facade import EndpointState, OutstandingWork
from query_broker.discovery.event_codec import EndpointListEvent, ListedEndpoint
from query_broker.endpoints import administrative_state as bans
from query_broker.endpoints import endpoint_table as engines
from query_broker.server import process_status
from query_broker.server import structured_log as structured
from query_broker.server.peer_process import PeerProcesses
from query_broker.server.process_status import ProcessStatus
from query_broker.startup import endpoint_snapshot as lastlist
from query_broker.startup import pacing as paces
from query_broker.startup import snapshot_store as start_joins

S = 1_000_000_000

# --- moves and the cell map, as they stand in the status file ---

MOVE = moves.Migration(
    "acme#7",
    "a",
    "b",
    moves.Stage.WARMING,
    12,
    1_700,
    1_600,
    "41-00ff00ff",
    1_650,
    0,
    2_000,
    "wäit",
)
MOVE_TEXT = (
    '{"subject": "acme#7", "source": "a", "target": "b", "stage": "warming", "ver'
    'sion": 12, "at": 1700, "begun": 1600, "driver": "41-00ff00ff", "able_since":'
    ' 1650, "lost_since": 0, "switch_at": 2000, "why": "w\\u00e4it"}'
)
CELL_MAP = model.CellMap(
    3,
    (
        model.Cell("a", 2.0, ("s-1",), (), ("m-1",), 2, 4, 0.25),
        model.Cell("b", zones=("zone-b",)),
        model.Cell("c"),
    ),
    "c",
    {
        "acme": model.Tenant("acme", ("a", "b", "c"), "route"),
        "bolt": model.Tenant("bolt", ("b",)),
        "data": model.Tenant("data", ("a", "b"), "data_set"),
    },
    model.Timing(warm=5),
)
CELL_MAP_TEXT = (
    '{"epoch": 3, "cells": [{"name": "a", "weight": 2.0, "engines": ["s-1"], "zon'
    'es": [], "models": ["m-1"], "least": 2, "most": 4, "share": 0.25}, {"name": '
    '"b", "weight": 1.0, "engines": [], "zones": ["zone-b"], "models": [], "least'
    '": 1, "most": 0, "share": 0.0}, {"name": "c", "weight": 1.0, "engines": [], '
    '"zones": [], "models": [], "least": 1, "most": 0, "share": 0.0}], "default":'
    ' "c", "tenants": [{"name": "acme", "cells": ["a", "b", "c"], "key": "route"}'
    ', {"name": "bolt", "cells": ["b"], "key": ""}, {"name": "data", "cells": ["a'
    '", "b"], "key": "data_set"}], "timing": {"propose": 10000000000, "warm": 5, '
    '"settle": 1000000000, "watch": 2000000000, "switched": 10000000000, "drain":'
    ' 60000000000, "lost": 500000000}}'
)
CELL_MAP_DIGEST = "6d6afe2db6dcc690"


def test_move_is_told_and_read_as_its_text() -> None:
    assert json.dumps(MOVE.plain()) == MOVE_TEXT
    assert moves.read_migration(json.loads(MOVE_TEXT)) == MOVE


@pytest.mark.parametrize(
    ("stage", "value"),
    [
        (moves.Stage.PROPOSED, "proposed"),
        (moves.Stage.WARMING, "warming"),
        (moves.Stage.SWITCHED, "switched"),
        (moves.Stage.DRAINING, "draining"),
        (moves.Stage.RETURNING, "returning"),
        (moves.Stage.DONE, "done"),
        (moves.Stage.TAKEN_BACK, "taken back"),
    ],
)
def test_stage_of_a_move_is_told_by_its_value(stage: moves.Stage, value: str) -> None:
    assert stage.value == value
    assert stage is moves.Stage(value)


def test_order_of_stages_and_the_reason_that_another_process_acts_on() -> None:
    values = [stage.value for stage in moves.STAGE_ORDER]
    assert values == [
        "proposed",
        "warming",
        "switched",
        "draining",
        "returning",
        "done",
        "taken back",
    ]
    assert moves.CLOSED_OUT == "what was open past its time was closed out"


def test_cell_map_is_told_and_read_as_its_text() -> None:
    assert json.dumps(CELL_MAP.plain()) == CELL_MAP_TEXT
    assert model.read_cell_map(json.loads(CELL_MAP_TEXT)) == CELL_MAP
    assert CELL_MAP.digest() == CELL_MAP_DIGEST
    assert model.read_cell_map(json.loads(CELL_MAP_TEXT)).digest() == CELL_MAP_DIGEST


CELLS_TOLD = (
    '{"cells": {"me": "41-00ff00ff", "epoch": 3, "digest": "6d6afe2db6dcc690", "m'
    'oves": [{"subject": "acme#7", "source": "a", "target": "b", "stage": "warmin'
    'g", "version": 12, "at": 1700, "begun": 1600, "driver": "41-00ff00ff", "able'
    '_since": 1650, "lost_since": 0, "switch_at": 2000, "why": "w\\u00e4it"}], "op'
    'en": {"acme#7": {"a": 3, "b": 1}}, "seats": {"s-1": "a", "s-2": null}, "map"'
    ': {"epoch": 3, "cells": [{"name": "a", "weight": 2.0, "engines": ["s-1"], "z'
    'ones": [], "models": ["m-1"], "least": 2, "most": 4, "share": 0.25}, {"name"'
    ': "b", "weight": 1.0, "engines": [], "zones": ["zone-b"], "models": [], "lea'
    'st": 1, "most": 0, "share": 0.0}, {"name": "c", "weight": 1.0, "engines": []'
    ', "zones": [], "models": [], "least": 1, "most": 0, "share": 0.0}], "default'
    '": "c", "tenants": [{"name": "acme", "cells": ["a", "b", "c"], "key": "route'
    '"}, {"name": "bolt", "cells": ["b"], "key": ""}, {"name": "data", "cells": ['
    '"a", "b"], "key": "data_set"}], "timing": {"propose": 10000000000, "warm": 5'
    ', "settle": 1000000000, "watch": 2000000000, "switched": 10000000000, "drain'
    '": 60000000000, "lost": 500000000}}}}'
)


def celled_node() -> CellNode:
    """As much of a node with cells as its part of the status file needs."""
    record = MigrationLog(CELL_MAP, "41-00ff00ff")
    record.records["acme#7"] = MOVE
    told = SimpleNamespace(
        migrations=record,
        router=SimpleNamespace(
            open={("acme#7", "a"): 3, ("acme#7", "b"): 1, ("bolt", "b"): 9},
            seats=SimpleNamespace(placement=SimpleNamespace(seats={"s-1": "a", "s-2": None})),
        ),
    )

    class Node(CellNode):
        celled = cast(Any, told)

    made = Node.__new__(Node)
    made.me = "41-00ff00ff"
    made.set_map(CELL_MAP)
    return made


def test_what_a_node_with_cells_tells_in_the_status_file() -> None:
    assert json.dumps(celled_node().status_extension()) == CELLS_TOLD


def test_what_another_process_tells_of_cells_is_read() -> None:
    raw = json.loads(CELLS_TOLD)
    raw["cells"]["epoch"] = raw["cells"]["map"]["epoch"] = 4  # a map is read where it is newer
    read: Any = celled_node().read_peer_status({"accepting": True, **raw})
    assert read is not None
    newer = read.pop("map")
    assert (newer.epoch, newer.cells, newer.tenants) == (4, CELL_MAP.cells, CELL_MAP.tenants)
    assert read == {
        "me": "41-00ff00ff",
        "accepting": True,
        "epoch": 4,
        "digest": CELL_MAP_DIGEST,
        "moves": [MOVE],
        "open": {"acme#7": {"a": 3, "b": 1}},
        "seats": {"s-1": "a", "s-2": None},
    }


# --- hashes that place tenants and engines ---


@pytest.mark.parametrize(
    ("tenant", "route", "data_set", "subject"),
    [
        ("acme", "glance", 0, "acme#56"),
        ("acme", "load", 0, "acme#49"),
        ("data", "glance", 7, "data#26"),
        ("data", "glance", 8, "data#16"),
        ("bolt", "glance", 7, "bolt"),
        ("other", "glance", 7, "other"),
    ],
)
def test_subject_of_a_request(tenant: str, route: str, data_set: int, subject: str) -> None:
    assert CELL_MAP.subject(tenant, route, data_set) == subject


@pytest.mark.parametrize(
    ("cell", "key", "weight", "cost"),
    [
        ("a", "s-1", 1.0, 2.6993623416434165),
        ("a", "s-1", 2.0, 1.3496811708217082),
        ("b", "s-1", 1.0, 0.4113384773130511),
        ("zürich", "acme#7", 0.5, 7.9383107611600074),
    ],
)
def test_rendezvous_cost(cell: str, key: str, weight: float, cost: float) -> None:
    assert model.rendezvous(cell, key, weight) == pytest.approx(cost, rel=1e-14, abs=0)


def test_home_of_each_part_of_a_spread_tenant() -> None:
    homes = "".join(CELL_MAP.home(f"acme#{part}") for part in range(model.BUCKETS))
    assert homes == "ababcaacaaaabbaaabbccbbaaabaaccabcaabcabbacaabacaacaacabbcacbccc"
    assert [CELL_MAP.home(subject) for subject in ("bolt", "other")] == ["b", "c"]


def test_seats_of_twelve_engines() -> None:
    made = placement.Placement(CELL_MAP)
    made.learn(
        placement.Seen(f"s-{number}", f"zone-{'ab'[number % 4 == 2]}", "m-0", True)
        for number in range(12)
    )
    assert made.seats == {
        "s-0": "a",
        "s-1": "a",
        "s-2": "b",
        "s-3": "c",
        "s-4": "a",
        "s-5": "a",
        "s-6": "b",
        "s-7": "b",
        "s-8": "c",
        "s-9": "b",
        "s-10": "b",
        "s-11": "b",
    }


@pytest.mark.parametrize(
    ("uid", "number"),
    [("s-1", 3977715312), ("s-2", 3855517240), ("pod-7f9c/zürich", 1996978082), ("", 309448485)],
)
def test_number_of_an_engine(uid: str, number: int) -> None:
    assert engines.EndpointTable().number(uid) == number


@pytest.mark.parametrize(
    ("data_set", "order"),
    [
        (0, [3, 4000000001, 2, 1, 4]),
        (7, [2, 1, 4, 4000000001, 3]),
        (4000000000, [4000000001, 4, 1, 3, 2]),
    ],
)
def test_order_of_engines_for_a_data_set(data_set: int, order: list[int]) -> None:
    """Each broker sends a data set's requests to the first engines of this order, by itself."""
    affinity = DataSetAffinity(cast(Any, None), dict.fromkeys((1, 2, 3, 4, 4_000_000_001)))
    place = affinity.rank(data_set, 1)
    assert list(affinity.ranks[data_set]) == order
    assert place == order.index(1) / 5


@pytest.mark.parametrize(
    ("trace", "part"),
    [(b"0123456789abcdef", 0.847566675), (b"ffffffffffffffff", 0.7876538), (b"", 0.221978471)],
)
def test_sampled_requests_are_the_same_at_every_broker(trace: bytes, part: float) -> None:
    assert not structured.is_sampled(trace, part - 1e-6)
    assert structured.is_sampled(trace, part + 1e-6)


@pytest.mark.parametrize(
    ("place", "draw", "at"),
    [
        (0, 0.0, 1700000004000000000),
        (7, 0.0, 1700000004140000000),
        (7, 0.5, 1700000004150000000),
        (299, 0.0, 1700000003980000000),
    ],
)
def test_slot_of_a_place_in_a_fleet(place: int, draw: float, at: int) -> None:
    """300 brokers, 50 calls a second: they agree by these values, nothing is sent between them."""
    assert paces.next_slot_ns(1_700_000_000_123_456_789, place, 300, 50.0, draw) == at


def test_health_check_slot_of_an_engine() -> None:
    at = paces.probe_slot_ns(1_700_000_000_123_456_789, 4_000_000_001, 7, 300, 50.0)
    assert at == 1700000000160000000


# --- the last endpoint list ---

TARGETS = (
    ListedEndpoint(
        "s-1",
        "10.1.0.1",
        9090,
        "zone-a",
        "m-1",
        2,
        EndpointState.READY,
        1.5,
        1_700_000_000_123_000_000,
    ),
    ListedEndpoint("s-2", "10.1.0.2", 9091, "zone-b", "m-2", 0, EndpointState.DRAINING, 1.0, 0),
    ListedEndpoint("s-3", "10.1.0.3", 9092, "zone-b", "m-2", 0, EndpointState.REMOVED, 1.0, 0),
)
LIST_HEAD = "larchhall-list 1 cce077e7063d97261dcb94460f7d3d3f"
LIST_BODY = (
    '{"installation":"atlanta","offset":41,"saved_at":1000000000000,"targets":[{"'
    'uid":"s-1","endpoint":"10.1.0.1:9090","az":"zone-a","model":"m-1","pod_group'
    '":2,"state":"in_service","capacity_hint":1.5,"boot_ms":1700000000123},{"uid"'
    ':"s-2","endpoint":"10.1.0.2:9091","az":"zone-b","model":"m-2","pod_group":0,'
    '"state":"terminating","capacity_hint":1.0,"boot_ms":0}]}\n'
)
LIST_TEXT = f"{LIST_HEAD}\n{LIST_BODY}"


def stored_list() -> lastlist.EndpointSnapshot:
    table = engines.EndpointTable()
    table.apply_event(EndpointListEvent(41, True, TARGETS))
    return lastlist.EndpointSnapshot("atlanta", 41, 1_000 * S, start_joins.listed_targets(table))


def test_last_list_is_encoded_and_decoded_as_its_text() -> None:
    assert lastlist.encode(stored_list()) == LIST_TEXT
    assert lastlist.decode(LIST_TEXT, "atlanta", 1_060 * S, 3_600 * S) == stored_list()


def test_last_list_on_disk(tmp_path: Path) -> None:
    path = tmp_path / "list"
    start_joins.write_atomically(str(path), LIST_TEXT)
    assert os.listdir(tmp_path) == ["list"]
    assert path.read_bytes() == LIST_TEXT.encode()


def test_last_list_as_the_event_that_the_bus_would_tell() -> None:
    event = lastlist.decode(LIST_TEXT, "atlanta", 1_060 * S, 3_600 * S).event()
    assert json.dumps(event) == (
        '{"offset": 41, "topology": {"rev": 41, "all": true, "targets": [{"uid": "s-1'
        '", "endpoint": "10.1.0.1:9090", "az": "zone-a", "model": "m-1", "pod_group":'
        ' 2, "state": "in_service", "capacity_hint": 1.5, "boot_ms": 1700000000123}, '
        '{"uid": "s-2", "endpoint": "10.1.0.2:9091", "az": "zone-b", "model": "m-2", '
        '"pod_group": 0, "state": "terminating", "capacity_hint": 1.0, "boot_ms": 0}]'
        "}}"
    )


# --- the status file of another process of the same broker ---

STATUS_NAME = "larchhall-3655ab351b91-"
STATUS_TEXT = (
    '{"accepting": true, "clients": 3, "words": {"s-1": [1700, true], "z\\u00fcric'
    'h": [1800, false]}, "out": {"7": [2, 3000000, 0], "4000000001": [1, 2, 3]}, '
    '"sum": 3716167032}'
)
STATUS_SUM = 3716167032


class Node:
    """Stands in for the node whose status is told."""

    def __init__(self, extra: dict[str, Any]) -> None:
        self.config = SimpleNamespace(name="broker-1")
        self.clock = SimpleNamespace(now=lambda: 5 * S)
        self.taken: list[tuple[str, bans.AdministrativeState]] = []
        self.shared: list[dict[str, Any]] = []
        self.endpoint_list_known = True
        self.clients, self.extra = [1, 2, 3], extra
        out = {7: OutstandingWork(2, 3_000_000, 0), 4_000_000_001: OutstandingWork(1, 2, 3)}
        self.dispatcher = SimpleNamespace(
            administrative_states=SimpleNamespace(
                states={
                    "s-1": bans.AdministrativeState(1_700, True),
                    "zürich": bans.AdministrativeState(1_800, False),
                }
            ),
            facade=SimpleNamespace(outstanding=lambda now: out),
            apply_administrative_state=lambda uid, word: self.taken.append((uid, word)),
        )

    def status_extension(self) -> dict[str, Any]:
        return self.extra

    def apply_peer_statuses(self, others: Any) -> None:
        self.shared = [fields_of(status) for status in others]

    def log(self, kind: str, text: str) -> None:
        pass


def fields_of(status: ProcessStatus) -> dict[str, Any]:
    """What was read of a status file, under the keys of the file."""
    return {
        "accepting": status.accepting,
        "clients": status.clients,
        "words": status.administrative_states,
        "out": status.outstanding_work,
        "cells": status.cells,
    }


class OwnProcess(PeerProcesses):
    """Shows what it has read of the others under the keys of the file."""

    @property
    def others(self) -> dict[str, dict[str, Any]]:
        return {name: fields_of(status) for name, status in self.statuses.items()}


def status_file(folder: Path, extra: dict[str, Any]) -> tuple[Node, OwnProcess]:
    node = Node(extra)
    return node, OwnProcess(cast(Any, node), str(folder))


def test_status_file_is_written_byte_for_byte(tmp_path: Path) -> None:
    _, own = status_file(tmp_path, {})
    own.start()
    lock, text = sorted(tmp_path.iterdir(), key=lambda path: path.suffix == ".json")
    assert (lock.suffix, text.suffix) == (".lock", ".json")
    assert lock.stem == text.stem
    assert re.fullmatch(re.escape(STATUS_NAME) + rf"{os.getpid()}-[0-9a-f]{{8}}", text.stem)
    assert text.read_bytes() == STATUS_TEXT.encode()
    assert lock.read_bytes() == b""
    assert [stat.S_IMODE(path.stat().st_mode) for path in (lock, text)] == [0o600, 0o600]
    own.stop()
    assert os.listdir(tmp_path) == []


def test_status_file_of_a_node_with_cells(tmp_path: Path) -> None:
    _, own = status_file(tmp_path, celled_node().status_extension())
    own.start()
    (text,) = tmp_path.glob("*.json")
    told = text.read_bytes()
    own.stop()
    assert (
        told
        == (
            STATUS_TEXT.partition(', "sum"')[0] + ", " + CELLS_TOLD[1:-1] + ', "sum": 2925436213}'
        ).encode()
    )


def test_status_file_of_another_process_is_read(tmp_path: Path) -> None:
    name = STATUS_NAME + "41-00ff00ff"
    (tmp_path / f"{name}.json").write_text(STATUS_TEXT + "   ")  # padded to the longest text so far
    node, own = status_file(tmp_path, {})
    with open(tmp_path / f"{name}.lock", "w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        own.poll()
    read = {
        "accepting": True,
        "clients": 3,
        "words": {
            "s-1": bans.AdministrativeState(1_700, True),
            "zürich": bans.AdministrativeState(1_800, False),
        },
        "out": {7: OutstandingWork(2, 3_000_000, 0), 4_000_000_001: OutstandingWork(1, 2, 3)},
        "cells": None,
    }
    assert own.others == {name: read}
    assert node.shared == [read]
    assert node.taken == [
        ("s-1", bans.AdministrativeState(1_700, True)),
        ("zürich", bans.AdministrativeState(1_800, False)),
    ]


def test_checksum_of_a_status_file() -> None:
    raw = json.loads(STATUS_TEXT)
    assert raw.pop("sum") == STATUS_SUM
    assert process_status.checksum(raw) == STATUS_SUM
    assert process_status.checksum({"accepting": False, "clients": 0}) == 2576929581


def test_status_of_a_process_that_has_told_nothing_yet() -> None:
    told = {"accepting": False, "clients": 0, "words": {}, "out": {}, "cells": None}
    assert fields_of(process_status.status_from_fields({})) == told
