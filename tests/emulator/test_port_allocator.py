"""The ports that emulated processes listen on."""

from __future__ import annotations

import socket

from query_broker.emulator.processes import HOST, PortAllocator

NEVER_BOUND = 60  # of the 99 ports of a block


class ManualClock:
    """A clock that stands still until it is set."""

    def __init__(self) -> None:
        self.now_s = 1_000.0

    def __call__(self) -> float:
        return self.now_s


def test_no_port_is_given_out_twice_though_most_of_a_block_is_in_use() -> None:
    allocator = PortAllocator(ManualClock())
    allocator.reserve_block()
    taken = [reserved.port for reserved in list(allocator.ports)[:NEVER_BOUND]]
    holders = [socket.socket() for _ in taken]
    for holder, port in zip(holders, taken, strict=True):
        holder.bind((HOST, port))
    given = [port for _ in range(30) for port in allocator.allocate(6)]
    for closing in [*holders, *allocator.reservations]:
        closing.close()
    assert len(given) == len(set(given)) == 180
    assert not set(given) & set(taken)


def test_a_port_is_given_out_again_once_its_delay_is_over() -> None:
    clock = ManualClock()
    allocator = PortAllocator(clock)
    given = set(allocator.allocate(99))
    clock.now_s += PortAllocator.REUSE_DELAY_S - 1.0
    assert not given & set(allocator.allocate(10))
    clock.now_s += 2.0
    again = {port for _ in range(20) for port in allocator.allocate(9)}
    for reservation in allocator.reservations:
        reservation.close()
    assert again & given
