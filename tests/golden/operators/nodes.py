"""Nodes with the subsystems of the operators' file; none runs, but membership binds its sockets."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

from query_broker.cells.node import CellNode
from query_broker.discovery.event_codec import parse_event
from query_broker.membership.member_record import HelperResult, MemberRecord
from query_broker.membership.messages import Identity, Status
from query_broker.membership.service import MembershipService
from query_broker.operator_config.script import evaluate
from query_broker.operator_config.service import ConfiguredNode
from query_broker.outlier_consensus.consensus import Ejection, OutlierScope
from query_broker.outlier_consensus.messages import Endpoint
from query_broker.outlier_consensus.service import OutlierConsensusService
from query_broker.quotas.lease_holder import Lease
from query_broker.quotas.service import QuotaService

from ...support.sockets import make_config, target_entry, topology_event
from .subsystem_calls import Answer, OperatorCall

NS_PER_S = 1_000_000_000
NOW_NS = 1_700_000_000 * NS_PER_S  # what the clock of all nodes shows; it stands still
PROCESS_ID = 4711

DIRECTIVES = """
members("127.0.0.1:0", key_file = "KEYS", installation = "golden", advertise = "10.0.0.4:7946")
start()
limit("orders", rate = 50)
limit("attempts", kind = "further", rate = 10)
limits()
verdicts()
deadlines()
further_attempts()
CELLS
"""
CELL_DIRECTIVES = """
cell("a", engines = ["s-1"])
cell("b", engines = ["s-2"], least = 2)
default_cell("a")
tenant("acme", cell = "b")
epoch(3)
"""
OPTIONS = {
    "cancel": True,
    "peer_messages": True,
    "probing": True,
    "retry_after": True,
    "send_cap": 3,
    "max_retry_after": 2 * NS_PER_S,
}


def write_operators_file(folder: Path, cell_directives: str) -> str:
    """Write the operators' file and the keys that it names; return its path."""
    keys = folder / "keys"
    keys.write_text("1 " + "00" * 32 + "\n")
    path = folder / "ops.star"
    path.write_text(DIRECTIVES.replace("KEYS", str(keys)).replace("CELLS", cell_directives))
    return str(path)


def make_node(
    folder: Path, node_type: type[ConfiguredNode] = ConfiguredNode, cell_directives: str = ""
) -> ConfiguredNode:
    """Return a node with all subsystems of the operators' file; its list has two endpoints."""
    path = write_operators_file(folder, cell_directives)
    config = make_config(target_entry("s-1", 9), operator=True, policy_limits=OPTIONS)
    node = node_type(config, evaluate(path), path, {})
    endpoints = (target_entry("s-1", 9), target_entry("s-2", 9))
    node.dispatcher.endpoint_list_changed(parse_event(topology_event(1, *endpoints, full=True)))
    return node


def make_cell_node(folder: Path) -> ConfiguredNode:
    """Return a node whose operators' file names cells as well."""
    return make_node(folder, CellNode, CELL_DIRECTIVES)


def make_cluster_node(folder: Path) -> ConfiguredNode:
    """Return a node that knows other members, ejects endpoints and holds a lease of its quota."""
    node = make_node(folder)
    assert node.membership_service is not None
    assert node.quota_service is not None
    assert node.outlier_consensus_service is not None
    add_members(node.membership_service)
    hold_lease(node.quota_service, node.membership_service.name)
    eject_endpoints(node.outlier_consensus_service)
    return node


def add_members(membership: MembershipService) -> None:
    """Make known one member of each status."""
    detector = membership.detector
    for number, status in enumerate(list(Status)[:4]):
        record = member_record(number, status)
        detector.table.records[record.identity] = record
    view = membership.views.view
    first = next(iter(detector.table.records))
    membership.views.view = replace(view, members=(detector.me, first), is_certain=True)
    membership.codec.dropped["forged"] = 2


def member_record(number: int, status: Status) -> MemberRecord:
    """Return what is known of one other member; only the first has answered directly."""
    identity = Identity(f"10.0.1.{number}:7946", bytes([number]) * 12)
    record = MemberRecord(
        identity,
        incarnation=3,
        incarnation_proof=b"",
        leave_proof=b"",
        status=status,
        status_since_ns=NOW_NS - 7 * NS_PER_S,
        ordinal=number,
        zone="west",
        max_protocol=1,
        reporter="10.0.1.9:1",
    )
    record.received_ns = NOW_NS - NS_PER_S // 4
    record.acked_ns = 0 if number else NOW_NS - NS_PER_S // 2
    record.acked_indirectly_ns = NOW_NS - 2 * NS_PER_S
    record.hears_us_ns = NOW_NS - 3 * NS_PER_S
    record.helper_results = {"10.0.1.8:7946": HelperResult(True, NOW_NS - 4 * NS_PER_S)}
    return record


def hold_lease(quotas: QuotaService, leader: str) -> None:
    """Make this node the leader of all quotas and the holder of a lease of one."""
    quotas.leases.state.members = (leader,)
    quotas.leases.holder.leases["orders"] = Lease(12.5, NOW_NS + 2 * NS_PER_S, 1, 1)


def eject_endpoints(outliers: OutlierConsensusService) -> None:
    """Eject one endpoint everywhere and another one in this node's zone."""
    ejected = Endpoint("s-1", 5)
    outliers.consensus.ejections[ejected] = Ejection(
        ejected,
        OutlierScope.FLEET,
        "",
        NOW_NS - NS_PER_S,
        NOW_NS + 4 * NS_PER_S,
        NOW_NS - 2 * NS_PER_S,
        frozenset({"x", "y", "z"}),
        1,
    )
    ejected_in_zone = Endpoint("s-2", 6)
    outliers.consensus.ejections[ejected_in_zone] = Ejection(
        ejected_in_zone,
        OutlierScope.ZONE,
        "east",
        NOW_NS - NS_PER_S,
        NOW_NS + 4 * NS_PER_S,
        NOW_NS - 2 * NS_PER_S,
        frozenset({"x", "y"}),
    )


def answer_to(node: ConfiguredNode, call: OperatorCall) -> Answer | None:
    """Return the answer of the subsystem that serves the call; None where none does."""
    response = node.admin_api.call_subsystem(call.method, call.path)
    if response is None:
        return None
    return Answer(response.status, response.body.decode(), response.content_type, response.allow)
