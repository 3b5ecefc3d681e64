"""What a seed draws: deployment, brokers, engines, faults and signals, as one line of JSON."""

from __future__ import annotations

import json
import random
from dataclasses import asdict, dataclass, replace
from enum import StrEnum

from .deployments import all_deployments

#: From SIGTERM to SIGKILL: the longest deadline, counted as this where it is longer, and more.
MAX_DEADLINE_S = 3.0
KILL_DELAY_S = 0.7
#: When the listener of a broker closes after SIGTERM.
LISTENER_CLOSE_S = 0.65
#: A paused process runs again at least so long before its SIGKILL: in less it cannot answer.
RUN_BEFORE_KILL_S = 1.0
#: Bounds of the time for which a process is paused.
SHORTEST_PAUSE_S = 0.05
LONGEST_PAUSE_S = 2.0


class EngineFault(StrEnum):
    """What happens to an engine."""

    DRAIN = "drain"
    DIE = "die"
    REBORN = "reborn"  # dies, and comes back cold at its address
    HANG = "hang"


class BrokerSignal(StrEnum):
    """A signal to a broker, or a pause of its process."""

    TERM = "TERM"
    HUP = "HUP"
    PAUSE = "PAUSE"


class CrowdMoment(StrEnum):
    """When many clients come at once."""

    READY = "ready"
    LISTENER_CLOSE = "listener close"


@dataclass(frozen=True, slots=True)
class EngineEvent:
    """A fault of one engine, at a time in seconds from the beginning of the load."""

    at_s: float
    fault: EngineFault
    engine: int
    duration_s: float = 0.0


@dataclass(frozen=True, slots=True)
class SignalEvent:
    """A signal to one broker, at a time in seconds from the beginning of the load."""

    at_s: float
    signal: BrokerSignal
    broker: int
    duration_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Crowd:
    """Clients that connect and send at once to the first broker."""

    moment: CrowdMoment
    clients: int


@dataclass(frozen=True, slots=True)
class Scenario:
    """One drawn run.

    Attributes:
        seed: What it was drawn from.
        deployment: Name of the settings.
        brokers: Number of broker processes.
        engines: Number of engines at the start.
        cold_engines: How many of them have just started.
        requests_per_s: Requests a second of each broker.
        engine_events: Faults of engines.
        signals: Signals to brokers, each broker's in their order.
        list_silent_s: From when to when the discovery service sends nothing.
        crowd: Clients that come at once, if any.
    """

    seed: int
    deployment: str
    brokers: int
    engines: int
    cold_engines: int
    requests_per_s: int
    engine_events: tuple[EngineEvent, ...]
    signals: tuple[SignalEvent, ...]
    list_silent_s: tuple[float, float] | None
    crowd: Crowd | None

    def describe(self) -> str:
        """Return the scenario as one line."""
        return json.dumps(asdict(self), separators=(",", ":"))

    def kill_delay_s(self) -> float:
        """Return the seconds from SIGTERM to SIGKILL, the least that the platform allows."""
        classes = all_deployments()[self.deployment]["classes"]
        longest_s = max(spec["deadline"] for spec in classes) / 1e9
        return float(min(longest_s, MAX_DEADLINE_S) + KILL_DELAY_S)

    def first_term_s(self, broker: int) -> float | None:
        """Return when a broker gets its first SIGTERM, if it gets one."""
        times = [
            event.at_s
            for event in self.signals
            if event.broker == broker and event.signal is BrokerSignal.TERM
        ]
        return min(times, default=None)

    def without_parts(self) -> list[Scenario]:
        """Return the scenarios that lack one part of this one, for shrinking."""
        smaller = [
            replace(
                self, engine_events=self.engine_events[:index] + self.engine_events[index + 1 :]
            )
            for index in range(len(self.engine_events))
        ]
        smaller += [
            replace(self, signals=self.signals[:index] + self.signals[index + 1 :])
            for index in range(len(self.signals))
        ]
        if self.crowd is not None:
            smaller.append(replace(self, crowd=None))
        if self.list_silent_s is not None:
            smaller.append(replace(self, list_silent_s=None))
        return smaller


def draw(seed: int) -> Scenario:
    """Draw the scenario of a seed; the same seed gives the same one."""
    draws = random.Random(seed)
    deployment = draws.choice(sorted(all_deployments()))
    brokers = draws.randint(1, 4)
    engines = draws.randint(2, 5)
    crowd = None
    if draws.random() < 0.4:
        crowd = Crowd(draws.choice([*CrowdMoment.__members__.values()]), draws.randint(20, 60))
    silent_s = None
    if draws.random() < 0.3:
        begin_s = draws.uniform(0.2, 2.0)
        silent_s = (round(begin_s, 3), round(begin_s + draws.uniform(0.5, 3.0), 3))
    scenario = Scenario(
        seed=seed,
        deployment=deployment,
        brokers=brokers,
        engines=engines,
        cold_engines=draws.randint(0, engines - 1),
        requests_per_s=draws.randint(5, 25),
        engine_events=_draw_engine_events(draws, engines),
        signals=(),
        list_silent_s=silent_s,
        crowd=crowd,
    )
    signals: list[SignalEvent] = []
    for broker in range(brokers):
        if broker == 0 or draws.random() < 0.6:
            signals += _draw_signals(draws, broker, scenario.kill_delay_s())
    return replace(scenario, signals=tuple(signals))


def _draw_engine_events(draws: random.Random, engines: int) -> tuple[EngineEvent, ...]:
    """Draw faults of all engines but the first, so that something can be served."""
    events = [
        EngineEvent(
            at_s=round(draws.uniform(0.2, 4.0), 3),
            fault=draws.choice([*EngineFault.__members__.values()]),
            engine=engine,
            duration_s=round(draws.uniform(0.3, 2.0), 3),
        )
        for engine in range(1, engines)
        if draws.random() < 0.5
    ]
    return tuple(events)


def _draw_signals(draws: random.Random, broker: int, kill_delay_s: float) -> list[SignalEvent]:
    """Draw the signals of one broker: SIGTERM once or more, SIGHUPs and pauses around it."""
    term_s = draws.uniform(1.0, 3.0)
    events = [SignalEvent(round(term_s, 3), BrokerSignal.TERM, broker)]
    for _ in range(draws.choice([0, 0, 1, 2])):
        at_s = term_s + draws.uniform(0.0, 1.2)
        events.append(SignalEvent(round(at_s, 3), BrokerSignal.TERM, broker))
    for _ in range(draws.choice([0, 1, 2])):
        at_s = term_s + draws.uniform(-0.9, 1.0)
        events.append(SignalEvent(round(at_s, 3), BrokerSignal.HUP, broker))
    if draws.random() < 0.6:
        begin_s = term_s + draws.uniform(-0.5, kill_delay_s - RUN_BEFORE_KILL_S)
        longest_s = term_s + kill_delay_s - RUN_BEFORE_KILL_S - begin_s
        duration_s = draws.uniform(
            SHORTEST_PAUSE_S, max(SHORTEST_PAUSE_S, min(LONGEST_PAUSE_S, longest_s))
        )
        events.append(
            SignalEvent(round(begin_s, 3), BrokerSignal.PAUSE, broker, round(duration_s, 3))
        )
    return sorted(events, key=lambda event: event.at_s)
