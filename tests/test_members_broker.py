"""A view that is wrong breaks no rule of the broker: a scripted liar in place of the view."""

from __future__ import annotations

import itertools
import random
from dataclasses import replace

import pytest

from query_broker.decisions.facade import SettingsChanged
from query_broker.decisions.settings import Contract, Limits, RequestClass, Settings
from query_broker.emulator.decision_simulation import BEGIN, SimBroker, SimEngine, Simulation
from query_broker.emulator.machine import Machine
from query_broker.membership.messages import Identity
from query_broker.membership.views import Views

from .sockets import MS, Engine, make_config, on_uvloop, running, target

S = 1_000 * MS
BROKERS = 10
CLASSES = (
    RequestClass("glance", S, 5 * S, 1.0),
    RequestClass("report", 3 * S // 2, 20 * S, 10.0, threads=4),
)


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize(
    "sizes", [[1], [1, 100], [1, 2, 5, 10, 30, 100]], ids=["one", "flaps", "anything"]
)
def test_brokers_that_are_lied_to_push_no_cold_engine_over(sizes: list[int], seed: int) -> None:
    """Ten brokers, four engines that have just started and two that start later, each second
    another size.
    """
    sim = Simulation(seed)
    engines = {n: SimEngine(sim, n, Machine(started=BEGIN + (n > 3) * 15 * S)) for n in range(6)}
    brokers: list[SimBroker] = []

    def lie(broker: SimBroker, views: Views, own: Identity) -> None:
        there = [(i, Identity(f"h{i}:1", b"")) for i in range(sim.draw.choice(sizes))]
        cold = any(
            e.machine.started + 12 * S > sim.now
            for e in engines.values()
            if e.machine.started <= sim.now
        )
        views.look(sim.now, [*there, (views.me, own)], own, False, True, cold, False)
        broker.report(
            SettingsChanged(
                replace(broker.settings, fleet_size=views.view.told, broker_index=views.view.place)
            )
        )
        sim.at(sim.now + S, lambda: lie(broker, views, own))

    for me in range(BROKERS):
        settings = Settings(
            classes=CLASSES,
            fleet_size=BROKERS,
            broker_index=me,
            tick_ns=25 * MS,
            kind_cores=(("std", 8),),
            limits=Limits(health_checks=True, max_attempts=3, max_retry_after_ns=2 * S),
            contract=Contract(
                warmup_initial_capacity=0.36,
                warmup_ns=12 * S,
                overload_window_ns=1_500 * MS,
                overload_multiple=2.0,
            ),
        )
        broker = SimBroker(sim, settings, me, engines)
        broker.list_told()
        lie(
            broker,
            Views(BROKERS, me, 1 / 3, 5 * S, S, lambda *_: None),
            Identity(f"own{me}:1", b""),
        )
        brokers.append(broker)
    count = itertools.count()

    def arrive() -> None:
        sim.at(sim.now + int(sim.draw.expovariate(1) * 8 * MS), arrive)
        wide = sim.draw.random() < 0.1
        work = sim.draw.uniform(0.5, 1.5) * (4 * S if wide else S // 5)
        sim.draw.choice(brokers).ask(
            str(next(count)),
            "report" if wide else "glance",
            work,
            4 if wide else 1,
            (20 if wide else 5) * S,
        )

    arrive()
    sim.run(40)
    assert not [n for n, e in engines.items() if e.machine.fallen]
    asked = [a for b in brokers for a in b.asked.values() if a[0] < sim.now - 21 * S]
    assert len(asked) > 500 and all(a[2] for a in asked)  # each has its answer
    assert sum(a[3] for a in asked) > 0.2 * len(asked)


@on_uvloop
async def test_a_size_that_flaps_while_requests_run_leaves_one_answer_for_each() -> None:
    draw, engine = random.Random(3), Engine()
    async with running(make_config(target("s-1", await engine.start()), fleet_size=10)) as rig:
        told = [10]
        rig.node.dispatcher.adjust.append(lambda s: replace(s, fleet_size=told[0], broker_index=0))
        client = await rig.client()
        for stream in range(1, 31):
            told[0] = draw.choice([1, 2, 100, 10])
            rig.node.dispatcher.refresh_settings()
            client.ask(stream, trace=f"{stream:016x}")
        answers = [await client.answer() for _ in range(30)]
        assert sorted(a[0] for a in answers) == list(range(1, 31))
        assert rig.node.dispatcher.facade.controller.settings.fleet_size == told[0]
        assert rig.node.dispatcher.config.settings.fleet_size == 10  # the file's
