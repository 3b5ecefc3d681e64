"""Directives of shared limits in the operators' file, and the bounds that follow from them."""

from __future__ import annotations

from pathlib import Path

import pytest
from click.testing import CliRunner

from query_broker.cli.main import main
from query_broker.emulator.cluster import platform_settings
from query_broker.operator_config.script import OperatorFileError, run_script
from query_broker.quotas.settings import LimitSettings, QuotaKind, QuotaSettings, describe_bounds

from ..support.member_processes import members_directive
from ..support.sockets import write_config
from .broker_processes import DIRECTIVES

SETTINGS = QuotaSettings(
    limits=(
        LimitSettings("a", rate=100.0),
        LimitSettings("f", QuotaKind.RETRIES, 50.0),
    )
)

MEMBERS_DIRECTIVE = 'members(address = "127.0.0.1:1", key_file = "/k", installation = "x")\n'


@pytest.mark.parametrize(
    ("text", "key"),
    [
        ('limit("a")', "limit"),
        ("verdicts()", "verdicts"),
        (MEMBERS_DIRECTIVE + 'limit("a")\nlimit("a")', "limit.name"),
        (MEMBERS_DIRECTIVE + 'limit("a", kind = "odd")', "limit.kind"),
        (MEMBERS_DIRECTIVE + 'limit("f", kind = "further")', "limit.rate"),
        (MEMBERS_DIRECTIVE + 'limit("w", kind = "work", rate = 1)', "limit.rate"),
        (MEMBERS_DIRECTIVE + "limits(drift = 0)", "limits.drift"),
        (MEMBERS_DIRECTIVE + "limits(lease = 0)", "limits.lease"),
        (MEMBERS_DIRECTIVE + "limits(guaranteed = 0)", "limits.guaranteed"),
        (MEMBERS_DIRECTIVE + "verdicts(observers = 1)", "verdicts.observers"),
        (MEMBERS_DIRECTIVE + "verdicts(part = 2)", "verdicts.part"),
    ],
    ids=[
        "limit without members",
        "verdicts without members",
        "limit twice",
        "unknown kind",
        "retries without a rate",
        "work with a rate",
        "no drift",
        "no lease",
        "nothing guaranteed",
        "one observer",
        "more than all of a zone",
    ],
)
def test_invalid_directive_names_its_key(text: str, key: str) -> None:
    with pytest.raises(OperatorFileError) as error:
        run_script("ops.star", text, lambda: False)
    assert f": {key}: " in str(error.value)


def test_description_gives_the_bounds_of_each_limit() -> None:
    text = "\n".join(describe_bounds(SETTINGS, 24))
    assert "0 while clocks differ by less than 1.0%" in text
    assert "0.96 of it, once" in text


def test_check_config_describes_staleness_and_overshoot(tmp_path: Path) -> None:
    env = write_config(tmp_path, settings={**platform_settings(), "fleet_size": 24})
    script = tmp_path / "ops.star"
    script.write_text(
        members_directive(0, 7000, "127.0.0.1:7001", tmp_path / "keys", []) + DIRECTIVES
    )
    result = CliRunner().invoke(main, ["check-config", "--operator-file", str(script)], env=env)
    assert result.exit_code == 0
    assert "over by 0 while clocks differ" in result.output
    assert "act on it within" in result.output
