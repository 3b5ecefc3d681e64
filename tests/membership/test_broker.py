"""Brokers that are wrong about which brokers are present: they get random views of the fleet."""

from __future__ import annotations

import itertools
import random
from dataclasses import replace

import pytest

from query_broker.decisions.facade import SettingsChanged
from query_broker.decisions.settings import Contract, Limits, RequestClass, Settings
from query_broker.emulator.decision_simulation import (
    BEGIN_NS,
    SimulatedBroker,
    SimulatedEngine,
    Simulation,
)
from query_broker.emulator.machine import Machine
from query_broker.membership.messages import Identity
from query_broker.membership.settings import NS_PER_S
from query_broker.membership.views import (
    Observation,
    PlacedMember,
    ViewSettings,
    ViewTracker,
)

from ..support.sockets import MS, Engine, make_config, on_uvloop, running, target_entry
from .recording_observer import RecordingObserver

pytestmark = pytest.mark.real_time

BROKER_COUNT = 10
WARM_UP_NS = 12 * NS_PER_S
LOOKUP = "glance"
REPORT = "report"
CLASSES = (
    RequestClass(LOOKUP, NS_PER_S, 5 * NS_PER_S, 1.0),
    RequestClass(REPORT, 3 * NS_PER_S // 2, 20 * NS_PER_S, 10.0, threads=4),
)
VIEW_SETTINGS = ViewSettings(max_lost_fraction=1 / 3, settle_ns=5 * NS_PER_S, batch_ns=NS_PER_S)


class RandomViews:
    """Gives a broker a view of a random size every second.

    Attributes:
        sizes: The counts of other members that a view may have, one of which is drawn.
    """

    def __init__(
        self,
        sim: Simulation,
        engines: dict[int, SimulatedEngine],
        broker: SimulatedBroker,
        index: int,
        sizes: list[int],
    ) -> None:
        self._sim = sim
        self._engines = engines
        self._broker = broker
        self._own = PlacedMember(index, Identity(f"own{index}:1", b""))
        self._tracker = ViewTracker(BROKER_COUNT, index, VIEW_SETTINGS, RecordingObserver())
        self.sizes = sizes

    def publish(self) -> None:
        """Publish a view to the broker, and schedule the next one in a second."""
        others = range(self._sim.random.choice(self.sizes))
        present = [PlacedMember(other, Identity(f"h{other}:1", b"")) for other in others]
        observation = Observation(
            present=[*present, self._own],
            own=self._own.identity,
            is_cut_off=False,
            has_joined=True,
            is_endpoint_warming_up=self._is_engine_warming_up(),
            is_removal_pending=False,
        )
        self._tracker.observe(self._sim.now_ns, observation)
        view = self._tracker.view
        settings = replace(
            self._broker.settings, fleet_size=view.effective_size, broker_index=view.effective_index
        )
        self._broker.report(SettingsChanged(settings))
        self._sim.call_at(self._sim.now_ns + NS_PER_S, self.publish)

    def _is_engine_warming_up(self) -> bool:
        start_times_ns = [engine.machine.started_ns for engine in self._engines.values()]
        return any(
            start_ns <= self._sim.now_ns < start_ns + WARM_UP_NS for start_ns in start_times_ns
        )


def make_engines(sim: Simulation) -> dict[int, SimulatedEngine]:
    """Return four engines that have just started, and two that start later."""
    return {
        number: SimulatedEngine(
            sim, number, Machine(started_ns=BEGIN_NS + (number > 3) * 15 * NS_PER_S)
        )
        for number in range(6)
    }


def make_settings(index: int) -> Settings:
    return Settings(
        classes=CLASSES,
        fleet_size=BROKER_COUNT,
        broker_index=index,
        tick_ns=25 * MS,
        kind_cores=(("std", 8),),
        limits=Limits(health_checks=True, max_attempts=3, max_retry_after_ns=2 * NS_PER_S),
        contract=Contract(
            warmup_initial_capacity=0.36,
            warmup_ns=WARM_UP_NS,
            overload_window_ns=1_500 * MS,
            overload_multiple=2.0,
        ),
    )


def start_requests(sim: Simulation, brokers: list[SimulatedBroker]) -> None:
    """Send requests to random brokers; one in ten requests is a report."""
    count = itertools.count()

    def arrive() -> None:
        sim.call_at(sim.now_ns + int(sim.random.expovariate(1) * 8 * MS), arrive)
        is_report = sim.random.random() < 0.1
        work = sim.random.uniform(0.5, 1.5) * (4 * NS_PER_S if is_report else NS_PER_S // 5)
        broker = sim.random.choice(brokers)
        request_id = str(next(count))
        if is_report:
            broker.send_request(request_id, REPORT, work, 4, 20 * NS_PER_S)
        else:
            broker.send_request(request_id, LOOKUP, work, 1, 5 * NS_PER_S)

    arrive()


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize(
    "sizes", [[1], [1, 100], [1, 2, 5, 10, 30, 100]], ids=["one", "flaps", "anything"]
)
def test_brokers_with_wrong_views_overload_no_engine_that_warms_up(
    sizes: list[int], seed: int
) -> None:
    sim = Simulation(seed)
    engines = make_engines(sim)
    brokers: list[SimulatedBroker] = []
    for index in range(BROKER_COUNT):
        broker = SimulatedBroker(sim, make_settings(index), index, engines)
        broker.announce_endpoints()
        RandomViews(sim, engines, broker, index, sizes).publish()
        brokers.append(broker)
    start_requests(sim, brokers)
    sim.run(40)
    assert not [number for number, engine in engines.items() if engine.machine.crashed]
    requests = [request for broker in brokers for request in broker.requests.values()]
    requests_past_deadline = [
        request for request in requests if request[0] < sim.now_ns - 21 * NS_PER_S
    ]
    assert len(requests_past_deadline) > 500
    assert all(answer for _, _, answer, _ in requests_past_deadline)
    assert sum(is_served for _, _, _, is_served in requests_past_deadline) > 0.2 * len(
        requests_past_deadline
    )


@on_uvloop
async def test_each_request_gets_one_answer_while_the_fleet_size_changes() -> None:
    draw = random.Random(3)
    engine = Engine()
    config = make_config(target_entry("s-1", await engine.start()), fleet_size=10)
    async with running(config) as broker:
        dispatcher = broker.node.dispatcher
        effective_size = 10

        class FleetSizeAdjuster:
            def adjust(self, settings: Settings) -> Settings:
                return replace(settings, fleet_size=effective_size, broker_index=0)

        dispatcher.extensions.add_settings_adjuster(FleetSizeAdjuster())
        client = await broker.client()
        for stream in range(1, 31):
            effective_size = draw.choice([1, 2, 100, 10])
            dispatcher.refresh_settings()
            client.send_request(stream, trace=f"{stream:016x}")
        answers = [await client.answer() for _ in range(30)]
        assert sorted(answer[0] for answer in answers) == list(range(1, 31))
        assert dispatcher.facade.controller.settings.fleet_size == effective_size
        assert dispatcher.config.settings.fleet_size == 10  # As the configuration has it.
