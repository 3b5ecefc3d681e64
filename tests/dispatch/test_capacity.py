"""Division of the limits of a process among clients, endpoints and statements."""

from __future__ import annotations

from dataclasses import replace

import pytest

from query_broker.dispatch.capacity import Capacity, divide_capacity

from ..support.sockets import make_config


@pytest.mark.parametrize(
    ("sockets", "memory_mb", "operator", "processes", "other_clients", "expected"),
    [
        pytest.param(64, 128, None, 1, 0, Capacity(21, 19, 27_262_976), id="few"),
        pytest.param(1_024, 512, None, 1, 0, Capacity(544, 384, 127_926_272), id="alone"),
        pytest.param(
            1_024,
            512,
            ("127.0.0.1", 1),
            1,
            0,
            Capacity(531, 384, 127_926_272),
            id="operators",
        ),
        pytest.param(1_024, 512, None, 2, 100, Capacity(348, 192, 60_817_408), id="upgrade"),
        pytest.param(20, 8, None, 1, 0, Capacity(6, 4, 2_097_152), id="least"),
        pytest.param(
            4_096,
            2_048,
            ("127.0.0.1", 1),
            3,
            5_000,
            Capacity(455, 512, 172_490_752),
            id="three processes",
        ),
    ],
)
def test_capacity_is_divided_by_descriptors_memory_and_processes(
    sockets: int,
    memory_mb: int,
    operator: tuple[str, int] | None,
    processes: int,
    other_clients: int,
    expected: Capacity,
) -> None:
    config = replace(make_config(), sockets=sockets, memory_mb=memory_mb, admin_address=operator)
    assert divide_capacity(config, processes, other_clients) == expected
