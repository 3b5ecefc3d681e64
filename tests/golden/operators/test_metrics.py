"""Golden form of the metrics that a broker exports."""

from __future__ import annotations

import pytest

from query_broker.metrics import ERROR, OVERLOAD, SUCCESS, Metrics
from query_broker.operator_config.service import ConfiguredNode

from .expected_metrics import (
    BROKER_METRICS,
    CELL_METRICS,
    METRICS_OF_A_SINGLE_BROKER,
    METRICS_WITH_OTHER_MEMBERS,
    STARTUP_METRICS,
    metrics_of_an_idle_broker,
)

pytestmark = pytest.mark.real_time  # the nodes bind sockets

OF_A_CONFIGURED_NODE = (
    metrics_of_an_idle_broker(targets=2) + STARTUP_METRICS + METRICS_OF_A_SINGLE_BROKER
)


def test_metrics_of_every_broker() -> None:
    metrics = Metrics(["glance", 'quo"te'])
    metrics.count_reply("glance", SUCCESS)
    metrics.count_reply("glance", OVERLOAD)
    metrics.count_reply('quo"te', ERROR)
    metrics.dispatches = 3
    metrics.reloads_applied = 4
    metrics.reloads_rejected = 5
    replies = (
        'edge_proxy_replies_total{type="glance",status="success"} 1\n'
        'edge_proxy_replies_total{type="glance",status="overload"} 1\n'
        'edge_proxy_replies_total{type="glance",status="error"} 0\n'
        'edge_proxy_replies_total{type="quo\\"te",status="success"} 0\n'
        'edge_proxy_replies_total{type="quo\\"te",status="overload"} 0\n'
        'edge_proxy_replies_total{type="quo\\"te",status="error"} 1\n'
    )
    assert metrics.text(concurrent=6, targets=7, disabled=8).decode() == BROKER_METRICS.substitute(
        replies=replies,
        dispatches=3,
        concurrent=6,
        targets=7,
        disabled=8,
        reloads_applied=4,
        reloads_rejected=5,
    )


def test_metrics_of_a_node_with_an_operators_file(configured_node: ConfiguredNode) -> None:
    assert configured_node.admin_api.metrics().decode() == OF_A_CONFIGURED_NODE


def test_metrics_of_a_node_with_cells(cell_node: ConfiguredNode) -> None:
    assert cell_node.admin_api.metrics().decode() == OF_A_CONFIGURED_NODE + CELL_METRICS


def test_metrics_of_a_node_that_knows_other_members(cluster_node: ConfiguredNode) -> None:
    assert subsystem_metrics(cluster_node) == METRICS_WITH_OTHER_MEMBERS


def subsystem_metrics(node: ConfiguredNode) -> str:
    """Return the metrics of members, quotas and outlier consensus."""
    lines = node.admin_api.metrics().decode().splitlines(keepends=True)
    names = ("edge_proxy_members", "edge_proxy_limit", "edge_proxy_verdict")
    return "".join(line for line in lines if any(name in line for name in names))
