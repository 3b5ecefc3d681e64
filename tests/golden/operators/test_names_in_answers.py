"""Golden form of the names that operators read in answers and metrics."""

from __future__ import annotations

from query_broker.cells.migrations import Stage as MigrationStage
from query_broker.outlier_consensus.overrides import OVERRIDE_VALUES
from query_broker.protocols.operator_answers import REASON_PHRASES
from query_broker.startup.stages import Stage as StartupStage


def test_every_status_has_its_reason() -> None:
    assert REASON_PHRASES == {
        200: "OK",
        400: "Bad Request",
        404: "Not Found",
        405: "Method Not Allowed",
        408: "Request Timeout",
        409: "Conflict",
        413: "Content Too Large",
        431: "Request Header Fields Too Large",
        500: "Internal Server Error",
        503: "Service Unavailable",
    }


def test_names_of_the_stages_of_a_migration() -> None:
    assert [stage.value for stage in MigrationStage] == [
        "proposed",
        "warming",
        "switched",
        "draining",
        "returning",
        "done",
        "taken back",
    ]


def test_names_of_the_stages_of_the_startup() -> None:
    assert [stage.value for stage in StartupStage] == [
        "settings",
        "list",
        "contact",
        "ramp",
        "full",
    ]


def test_names_of_the_overrides() -> None:
    assert OVERRIDE_VALUES == ("out", "back", "pinned")
