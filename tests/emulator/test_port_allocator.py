"""Allocation of listening ports for emulated processes."""

from __future__ import annotations

import socket

from query_broker.emulator.processes import HOST, PortAllocator

OCCUPIED_PORT_COUNT = 60  # of the 99 ports of a block


class ManualClock:
    """A clock that advances only when it is set."""

    def __init__(self) -> None:
        self.now_s = 1_000.0

    def __call__(self) -> float:
        return self.now_s


def test_no_port_is_allocated_twice_while_most_of_a_block_is_in_use() -> None:
    allocator = PortAllocator(ManualClock())
    allocator.reserve_block()
    occupied_ports = [
        reserved_port.port for reserved_port in list(allocator.ports)[:OCCUPIED_PORT_COUNT]
    ]
    occupying_sockets = [socket.socket() for _ in occupied_ports]
    for occupying_socket, port in zip(occupying_sockets, occupied_ports, strict=True):
        occupying_socket.bind((HOST, port))
    allocated = [port for _ in range(30) for port in allocator.allocate(6)]
    for open_socket in [*occupying_sockets, *allocator.reservations]:
        open_socket.close()
    assert len(allocated) == len(set(allocated)) == 180
    assert not set(allocated) & set(occupied_ports)


def test_a_port_is_allocated_again_after_the_reuse_delay() -> None:
    clock = ManualClock()
    allocator = PortAllocator(clock)
    allocated = set(allocator.allocate(99))
    clock.now_s += PortAllocator.REUSE_DELAY_S - 1.0
    assert not allocated & set(allocator.allocate(10))
    clock.now_s += 2.0
    reallocated = {port for _ in range(20) for port in allocator.allocate(9)}
    for reservation in allocator.reservations:
        reservation.close()
    assert reallocated & allocated
