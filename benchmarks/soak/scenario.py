"""Scenarios drawn from a seed: deployment, brokers, engines, faults, signals and client bursts."""

from __future__ import annotations

import json
import random
from dataclasses import asdict, dataclass, replace
from enum import StrEnum

from .deployments import all_deployments

#: From SIGTERM to SIGKILL the platform waits for the longest deadline, at most MAX_DEADLINE_S, plus
#: KILL_MARGIN_S.
MAX_DEADLINE_S = 3.0
KILL_MARGIN_S = 0.7
#: Time from SIGTERM until a broker closes its listener.
LISTENER_CLOSE_DELAY_S = 0.65
#: A paused process resumes at least this long before its SIGKILL, so that it can still answer.
RUN_BEFORE_KILL_S = 1.0
#: Bounds of the time for which a process is paused.
MIN_PAUSE_S = 0.05
MAX_PAUSE_S = 2.0


class EngineFault(StrEnum):
    """A kind of fault that is injected into an engine."""

    DRAIN = "drain"
    DIE = "die"
    RESTART = "reborn"  # stops, and a cold engine starts at the same address
    HANG = "hang"


class BrokerSignal(StrEnum):
    """A signal to a broker, or a pause of its process."""

    TERM = "TERM"
    HUP = "HUP"
    PAUSE = "PAUSE"


class CrowdMoment(StrEnum):
    """When a burst of clients connects."""

    READY = "ready"
    LISTENER_CLOSE = "listener close"


@dataclass(frozen=True, slots=True)
class EngineEvent:
    """A fault of one engine; `at_s` counts from the beginning of the load."""

    at_s: float
    fault: EngineFault
    engine: int
    duration_s: float = 0.0


@dataclass(frozen=True, slots=True)
class SignalEvent:
    """A signal to one broker; `at_s` counts from the beginning of the load."""

    at_s: float
    signal: BrokerSignal
    broker: int
    duration_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Crowd:
    """A burst of clients that connect and send to the first broker."""

    moment: CrowdMoment
    clients: int


@dataclass(frozen=True, slots=True)
class Scenario:
    """One run, as drawn from a seed.

    Attributes:
        seed: The seed that it was drawn from.
        deployment: Name of the deployment whose settings are used.
        brokers: Number of broker processes.
        engines: Number of engines at the start.
        cold_engines: How many of those engines start cold.
        requests_per_s: Request rate to each broker.
        engine_events: Faults of engines.
        signals: Signals to brokers, in order of time for each broker.
        list_silent_s: Begin and end of the period in which the discovery service sends no events.
        crowd: A burst of clients, if any.
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
        """Return the scenario as one line of JSON."""
        return json.dumps(asdict(self), separators=(",", ":"))

    def kill_delay_s(self) -> float:
        """Return the shortest time from SIGTERM to SIGKILL that the platform allows."""
        classes = all_deployments()[self.deployment]["classes"]
        longest_s = max(spec["deadline"] for spec in classes) / 1e9
        return float(min(longest_s, MAX_DEADLINE_S) + KILL_MARGIN_S)

    def first_term_s(self, broker: int) -> float | None:
        """Return the time of a broker's first SIGTERM; None if it gets none."""
        times = [
            event.at_s
            for event in self.signals
            if event.broker == broker and event.signal is BrokerSignal.TERM
        ]
        return min(times, default=None)

    def without_parts(self) -> list[Scenario]:
        """Return the scenarios that result from removing one part, for shrinking."""
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


def draw_scenario(seed: int) -> Scenario:
    """Draw the scenario of a seed; the same seed always gives the same scenario."""
    rng = random.Random(seed)
    deployment = rng.choice(sorted(all_deployments()))
    brokers = rng.randint(1, 4)
    engines = rng.randint(2, 5)
    crowd = None
    if rng.random() < 0.4:
        crowd = Crowd(rng.choice([*CrowdMoment.__members__.values()]), rng.randint(20, 60))
    silent_s = None
    if rng.random() < 0.3:
        begin_s = rng.uniform(0.2, 2.0)
        silent_s = (round(begin_s, 3), round(begin_s + rng.uniform(0.5, 3.0), 3))
    scenario = Scenario(
        seed=seed,
        deployment=deployment,
        brokers=brokers,
        engines=engines,
        cold_engines=rng.randint(0, engines - 1),
        requests_per_s=rng.randint(5, 25),
        engine_events=_draw_engine_events(rng, engines),
        signals=(),
        list_silent_s=silent_s,
        crowd=crowd,
    )
    signals: list[SignalEvent] = []
    for broker in range(brokers):
        if broker == 0 or rng.random() < 0.6:
            signals += _draw_signals(rng, broker, scenario.kill_delay_s())
    return replace(scenario, signals=tuple(signals))


def _draw_engine_events(rng: random.Random, engines: int) -> tuple[EngineEvent, ...]:
    """Draw faults of all engines except the first, so that requests can still be served."""
    events = [
        EngineEvent(
            at_s=round(rng.uniform(0.2, 4.0), 3),
            fault=rng.choice([*EngineFault.__members__.values()]),
            engine=engine,
            duration_s=round(rng.uniform(0.3, 2.0), 3),
        )
        for engine in range(1, engines)
        if rng.random() < 0.5
    ]
    return tuple(events)


def _draw_signals(rng: random.Random, broker: int, kill_delay_s: float) -> list[SignalEvent]:
    """Draw the signals of one broker: at least one SIGTERM, with SIGHUPs and a pause around it."""
    term_s = rng.uniform(1.0, 3.0)
    events = [SignalEvent(round(term_s, 3), BrokerSignal.TERM, broker)]
    for _ in range(rng.choice([0, 0, 1, 2])):
        at_s = term_s + rng.uniform(0.0, 1.2)
        events.append(SignalEvent(round(at_s, 3), BrokerSignal.TERM, broker))
    for _ in range(rng.choice([0, 1, 2])):
        at_s = term_s + rng.uniform(-0.9, 1.0)
        events.append(SignalEvent(round(at_s, 3), BrokerSignal.HUP, broker))
    if rng.random() < 0.6:
        begin_s = term_s + rng.uniform(-0.5, kill_delay_s - RUN_BEFORE_KILL_S)
        longest_s = term_s + kill_delay_s - RUN_BEFORE_KILL_S - begin_s
        duration_s = rng.uniform(MIN_PAUSE_S, max(MIN_PAUSE_S, min(MAX_PAUSE_S, longest_s)))
        events.append(
            SignalEvent(round(begin_s, 3), BrokerSignal.PAUSE, broker, round(duration_s, 3))
        )
    return sorted(events, key=lambda event: event.at_s)
