"""The stages of a start, with simulated time."""

from __future__ import annotations

import itertools

import pytest

from query_broker.startup.settings import NS_PER_SECOND, StartupSettings
from query_broker.startup.stages import ListSource, Stage, StartupStages

SETTINGS = StartupSettings()


def test_start_with_list_and_answers_passes_all_stages_in_order() -> None:
    stages = StartupStages(SETTINGS, 0)
    stages.settings_read(1, None)
    assert not stages.ready()
    stages.list_received(NS_PER_SECOND, ListSource.BUS, 8)
    stages.endpoints_contacted(NS_PER_SECOND + 5, 3, 8)
    assert not stages.ready()
    stages.endpoints_contacted(NS_PER_SECOND + 9, 4, 8)
    assert stages.ready()
    assert stages.confirmed()
    stages.ramp_advanced(9 * NS_PER_SECOND, 0.5)
    stages.ramp_advanced(10 * NS_PER_SECOND, 1.0)
    assert stages.status(11 * NS_PER_SECOND)["stage"] == "full"
    assert [completed.stage for completed in stages.completed] == [
        Stage.SETTINGS,
        Stage.LIST,
        Stage.CONTACT,
        Stage.RAMP,
    ]


@pytest.mark.parametrize("listed", [8, 0], ids=["silent endpoints", "a list without endpoints"])
def test_silent_endpoints_or_an_empty_list_delay_a_start_only_until_the_timeout(
    listed: int,
) -> None:
    stages = StartupStages(SETTINGS, 0)
    stages.settings_read(0, None)
    stages.list_received(0, ListSource.KNOWN, listed)
    stages.endpoints_contacted(SETTINGS.contact_wait_ns - 1, 0, listed)
    assert not stages.ready()
    stages.endpoints_contacted(SETTINGS.contact_wait_ns, 0, listed)
    assert stages.ready()
    assert "time-out" in stages.completed[-1].reason


def test_snapshot_is_used_while_discovery_is_unavailable() -> None:
    stages = StartupStages(SETTINGS, 0)
    stages.settings_read(0, 60 * NS_PER_SECOND)
    assert not stages.is_snapshot_due(SETTINGS.list_wait_ns - 1)
    assert stages.is_snapshot_due(SETTINGS.list_wait_ns)
    stages.list_received(SETTINGS.list_wait_ns, ListSource.DISK, 3)
    stages.endpoints_contacted(SETTINGS.list_wait_ns, 3, 3)
    assert stages.ready()
    assert not stages.confirmed()
    stages.list_received(40 * NS_PER_SECOND, ListSource.BUS, 3)
    assert stages.confirmed()


def test_start_without_discovery_and_snapshot_never_becomes_ready() -> None:
    stages = StartupStages(SETTINGS, 0)
    stages.settings_read(0, None)
    for now_ns in range(0, 4_000 * NS_PER_SECOND, 50 * NS_PER_SECOND):
        stages.tick(now_ns)
        assert not stages.ready()
        assert not stages.is_snapshot_due(now_ns)
        assert stages.waits_for() == "the bus"


def apply_event(stages: StartupStages, event: str, now_ns: int) -> None:
    """Apply one of the events that may arrive in any order."""
    match event:
        case "known":
            stages.list_received(now_ns, ListSource.KNOWN, 4)
        case "bus":
            stages.list_received(now_ns, ListSource.BUS, 4)
        case "disk":
            if stages.is_snapshot_due(now_ns):
                stages.list_received(now_ns, ListSource.DISK, 4)
        case "contact":
            stages.endpoints_contacted(now_ns, 4, 4)
        case "full":
            stages.ramp_advanced(now_ns, 1.0)
        case "skip":
            stages.skip(now_ns, "beside")


def stage_number(stages: StartupStages) -> int:
    """Return the position of the present stage in the order of the stages."""
    return list(Stage).index(stages.stage)


def test_start_never_goes_back_a_stage_and_is_never_ready_without_a_list() -> None:
    """Applies six events in all orders, a second apart or further apart than any timeout."""
    orders = itertools.permutations(["known", "bus", "disk", "contact", "full", "skip"])
    for events, step_ns in itertools.product(orders, (NS_PER_SECOND, 11 * NS_PER_SECOND)):
        stages = StartupStages(SETTINGS, 0)
        now_ns = 0
        stages.settings_read(0, NS_PER_SECOND)
        for event in events:
            now_ns += step_ns
            stage_before = stage_number(stages)
            source_before = stages.source.value
            apply_event(stages, event, now_ns)
            assert stage_number(stages) >= stage_before
            assert stages.source.value >= source_before
            assert not stages.ready() or stages.source is not ListSource.NONE
            stages.status(now_ns)
        assert sum(completed.duration_ns for completed in stages.completed) <= now_ns
