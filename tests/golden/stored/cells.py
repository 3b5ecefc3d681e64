"""A cell map, a migration and the status of a node that has both, with their stored texts."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any, cast

from query_broker.cells.migration_log import MigrationLog
from query_broker.cells.migrations import Migration, Stage
from query_broker.cells.model import Cell, CellMap, MigrationTimeouts, Tenant
from query_broker.cells.node import CellNode

PROCESS_NAME = "41-00ff00ff"
MIGRATION = Migration(
    subject="acme#7",
    source="a",
    target="b",
    stage=Stage.WARMING,
    version=12,
    stage_since_ns=1_700,
    proposed_ns=1_600,
    driver=PROCESS_NAME,
    warm_since_ns=1_650,
    target_lost_since_ns=0,
    switch_at_ns=2_000,
    reason="wäit",
)
MIGRATION_TEXT = (
    '{"subject": "acme#7", "source": "a", "target": "b", "stage": "warming", "ver'
    'sion": 12, "at": 1700, "begun": 1600, "driver": "41-00ff00ff", "able_since":'
    ' 1650, "lost_since": 0, "switch_at": 2000, "why": "w\\u00e4it"}'
)
CELL_MAP = CellMap(
    epoch=3,
    cells=(
        Cell(
            "a",
            weight=2.0,
            engines=("s-1",),
            zones=(),
            models=("m-1",),
            min_endpoints=2,
            max_endpoints=4,
            capacity_weight=0.25,
        ),
        Cell("b", zones=("zone-b",)),
        Cell("c"),
    ),
    default="c",
    tenants={
        "acme": Tenant("acme", ("a", "b", "c"), "route"),
        "bolt": Tenant("bolt", ("b",)),
        "data": Tenant("data", ("a", "b"), "data_set"),
    },
    timeouts=MigrationTimeouts(warming_ns=5),
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
# What a node with these cells adds to the status file.
CELLS_STATUS_TEXT = (
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


def make_cell_node() -> CellNode:
    """Return as much of a node with cells as its part of the status file needs."""
    migrations = MigrationLog(CELL_MAP, PROCESS_NAME)
    migrations.records["acme#7"] = MIGRATION
    placement = SimpleNamespace(seats={"s-1": "a", "s-2": None})
    router = SimpleNamespace(
        open_counts={("acme#7", "a"): 3, ("acme#7", "b"): 1, ("bolt", "b"): 9},
        seats=SimpleNamespace(placement=placement),
    )
    runtime = SimpleNamespace(migrations=migrations, router=router)

    class NodeOfTheseCells(CellNode):
        celled = cast(Any, runtime)

    node = NodeOfTheseCells.__new__(NodeOfTheseCells)
    node.process_name = PROCESS_NAME
    node.set_map(CELL_MAP)
    return node
