"""Settings of the membership: the operators' directive and the detection bounds."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import pytest
from click.testing import CliRunner

from query_broker.cli.main import main
from query_broker.emulator.cluster import platform_settings as cluster_settings
from query_broker.membership.settings import NS_PER_S
from query_broker.membership.timing import (
    describe_bounds,
    detection_bounds,
    min_suspicion_ns,
    suspicion_timeout_ns,
)
from query_broker.operator_config.script import OperatorFileError, run_script

from ..support.member_processes import members_directive
from ..support.members_support import SETTINGS
from ..support.sockets import write_config

GROUP_SIZES = (3, 24, 1_000)
DIRECTIVE_START = 'members(address = "127.0.0.1:7000", key_file = "/k", installation = "x"'
BAD_DIRECTIVES = {
    "part too large": (DIRECTIVE_START + ", part = 0.5)", "members.part"),
    "no interval": (DIRECTIVE_START + ", interval = 0)", "members.interval"),
    "seed without a port": (DIRECTIVE_START + ', seeds = ["host"])', "members.seeds"),
    "advertised address is IPv6": (DIRECTIVE_START + ', advertise = "::1:5")', "members.advertise"),
    "address is a name": (
        'members(address = "h:1", key_file = "/k", installation = "x")',
        "members.address",
    ),
    "no key file": (
        'members(address = "127.0.0.1:1", key_file = "", installation = "x")',
        "members.key_file",
    ),
    "used twice": (DIRECTIVE_START + ")\n" + DIRECTIVE_START + ")", "members"),
    "no arguments": ("members()", "members"),
}


@pytest.mark.parametrize(("text", "key"), BAD_DIRECTIVES.values(), ids=BAD_DIRECTIVES)
def test_the_error_of_a_bad_directive_names_the_key(text: str, key: str) -> None:
    with pytest.raises(OperatorFileError) as rejected:
        run_script("ops.star", text, lambda: False)
    assert f": {key}: " in str(rejected.value)


@pytest.mark.parametrize("size", GROUP_SIZES)
def test_detection_bounds_are_ordered(size: int) -> None:
    bounds = detection_bounds(SETTINGS, size)
    assert bounds.suspected.p99_s < bounds.suspected.worst_s
    assert bounds.removed.median_s < bounds.removed.worst_s


@pytest.mark.parametrize("size", GROUP_SIZES)
def test_confirmations_shorten_a_suspicion_down_to_its_minimum(size: int) -> None:
    minimum_ns = min_suspicion_ns(NS_PER_S, size)
    assert suspicion_timeout_ns(NS_PER_S, size, 0) >= suspicion_timeout_ns(NS_PER_S, size, 3)
    assert suspicion_timeout_ns(NS_PER_S, size, 3) == minimum_ns


@pytest.mark.parametrize("size", GROUP_SIZES)
def test_false_suspicions_extend_a_suspicion_up_to_its_maximum(size: int) -> None:
    timeout_ns = suspicion_timeout_ns(NS_PER_S, size, 3, false_suspicions=9.0)
    assert timeout_ns == 6 * min_suspicion_ns(NS_PER_S, size)


def test_detection_bounds_shrink_with_the_interval() -> None:
    quick = detection_bounds(replace(SETTINGS, interval_ns=NS_PER_S // 5), 24)
    assert quick.removed.worst_s < 0.3 * detection_bounds(SETTINGS, 24).removed.worst_s


def test_the_description_of_the_bounds_mentions_uncertainty() -> None:
    assert any("uncertain" in line for line in describe_bounds(SETTINGS, 24))


def test_check_config_prints_the_bounds(tmp_path: Path) -> None:
    env = write_config(tmp_path, settings={**cluster_settings(), "fleet_size": 24})
    script = tmp_path / "ops.star"
    script.write_text(members_directive(0, 7000, "127.0.0.1:7001", tmp_path / "keys", []))
    result = CliRunner().invoke(main, ["check-config", "--operator-file", str(script)], env=env)
    assert result.exit_code == 0
    assert "removed by all after" in result.output
    assert "uncertain" in result.output
