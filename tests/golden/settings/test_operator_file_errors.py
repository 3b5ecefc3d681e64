"""Golden form of the error for each mistake in the operators' file."""

from __future__ import annotations

import pytest

from query_broker.operator_config.script import OperatorFileError, run_script

# For each directive (or the script itself) scripts with one mistake and the complete error.
ERRORS: dict[str, list[tuple[str, str]]] = {
    "script": [
        (
            "cell(",
            (
                "ops.star:1: script: Parse error: unexpected new line here, expected one of "
                '"(", ")", "*", "**", "+", "-", "...", "FLOAT", "FSTRING", "IDENTIFIER", '
                '"INTEGER", "STRING", "[", "lambda", "not", "{" or "~"'
            ),
        ),
        ("x", "ops.star:1: script: Variable `x` not found"),
        ("f()", "ops.star:1: script: Variable `f` not found"),
        ('load("x.star", "y")', "ops.star:1: script: `load` is not allowed in this dialect"),
        ("def f():\n  f()\nf()", "ops.star:2: script: Starlark call stack overflow"),
    ],
    "cell": [
        ("cell()", "ops.star:1: cell: cell() missing 1 required positional argument: 'name'"),
        ("cell(5)", "ops.star:1: cell.name: 5 is no text of 1 to 256 printable characters"),
        ('cell("")', "ops.star:1: cell.name: '' is no text of 1 to 256 printable characters"),
        (
            'cell("a/b")',
            "ops.star:1: cell.name: 'a/b' must have 64 characters at the most, and no /",
        ),
        ('cell("a")\ncell("a")', "ops.star:2: cell.name: 'a' is used twice"),
        (
            'cell("a", wight = 2)',
            "ops.star:1: cell: cell() got an unexpected keyword argument 'wight'",
        ),
        (
            'cell("a", 1, (), (), (), 1, 0, 0, 5)',
            "ops.star:1: cell: cell() takes from 1 to 8 positional arguments but 9 were given",
        ),
        ('cell("a", weight = 0)', "ops.star:1: cell.weight: must be above 0"),
        ('cell("a", weight = "2")', "ops.star:1: cell.weight: '2' is no number"),
        ('cell("a", least = 1.5)', "ops.star:1: cell.least: 1.5 is no whole number"),
        ('cell("a", least = -1)', "ops.star:1: cell.least: must be at least 0"),
        ('cell("a", least = 3, most = 2)', "ops.star:1: cell.most: must be 0 or at least 3"),
        ('cell("a", zones = "east")', "ops.star:1: cell.zones: 'east' is no list"),
        (
            'cell("a", engines = [1])',
            "ops.star:1: cell.engines: 1 is no text of 1 to 256 printable characters",
        ),
        ('cell("a", share = -1)', "ops.star:1: cell.share: must be at least 0"),
        (
            'cell("a", zones = ["z"])\ncell("b", zones = ["z"])\ndefault_cell("a")',
            "ops.star:2: cell.zones: 'z' is in 'a' already",
        ),
    ],
    "default_cell": [
        ('cell("a")\ncell("b")', "ops.star:2: default_cell: is missing"),
        ('cell("a")\ndefault_cell("b")', "ops.star:2: default_cell: 'b' is no cell"),
        ('default_cell("a")\ndefault_cell("a")', "ops.star:2: default_cell: is said twice"),
    ],
    "tenant": [
        ('tenant("x", cell = "a")', "ops.star:1: tenant.cell: the file names no cell"),
        ('tenant("x", cell = "b")\ncell("a")', "ops.star:1: tenant.cell: 'b' of 'x' is no cell"),
        ('cell("a")\ntenant("x")', "ops.star:2: tenant.cell: name one cell, or several as cells"),
        (
            'cell("a")\ntenant("x", cells = [])',
            "ops.star:2: tenant.cells: must name each cell once",
        ),
        ('cell("a")\ntenant("x#1", cell = "a")', "ops.star:2: tenant.name: may hold no #"),
        (
            'cell("a")\ntenant("x", cells = ["a", "b"])',
            "ops.star:2: tenant.key: is missing, since the tenant is in several cells",
        ),
        (
            'cell("a")\ntenant("x", cells = ["a"], key = "trace")',
            "ops.star:2: tenant.key: 'trace' is none of 'route', 'data_set'",
        ),
        (
            'cell("a")\ntenant("x", cell = "a")\ntenant("x", cell = "a")',
            "ops.star:3: tenant.name: 'x' is used twice",
        ),
    ],
    "epoch": [
        ("epoch(-1)", "ops.star:1: epoch: must be at least 0"),
        ("epoch(1)\nepoch(2)", "ops.star:2: epoch: is said twice"),
        ("epoch(True)", "ops.star:1: epoch: True is no number"),
        ("epoch()", "ops.star:1: epoch: epoch() missing 1 required positional argument: 'number'"),
    ],
    "moves": [
        ("moves(warm = -1)", "ops.star:1: moves.warm: must be at least 0"),
        (
            "moves(wram = 1)",
            (
                "ops.star:1: moves.wram: is none of drain, lost, propose, settle, switched, "
                "warm, watch"
            ),
        ),
        ("moves()\nmoves()", "ops.star:2: moves: is said twice"),
    ],
    "deadlines": [
        ("deadlines(learn = 1)", "ops.star:1: deadlines.learn: 1 is neither True nor False"),
        (
            "deadlines(margin_ms = 200)",
            "ops.star:1: deadlines.margin_ms: must lie in least_margin_ms to most_margin_ms",
        ),
        ("deadlines(margin_ms = 0)", "ops.star:1: deadlines.margin_ms: must be above 0"),
        ("deadlines(margin_share = 2)", "ops.star:1: deadlines.margin_share: must lie in 0 to 1"),
        (
            'deadlines(count_from = "middle")',
            "ops.star:1: deadlines.count_from: 'middle' is none of 'first', 'last'",
        ),
        (
            'deadlines(half_close = "x")',
            "ops.star:1: deadlines.half_close: 'x' is none of 'left', 'answer'",
        ),
        ("deadlines(slow_reader = 0)", "ops.star:1: deadlines.slow_reader: must be above 0"),
        ("deadlines()\ndeadlines()", "ops.star:2: deadlines: is said twice"),
    ],
    "further_attempts": [
        ("further_attempts(first = 0)", "ops.star:1: further_attempts.first: must be above 0"),
        ("further_attempts(burst = 0)", "ops.star:1: further_attempts.burst: must be at least 1"),
        (
            'further_attempts(by_tenant = "yes")',
            "ops.star:1: further_attempts.by_tenant: 'yes' is neither True nor False",
        ),
        (
            "further_attempts(least_ms = 0)",
            "ops.star:1: further_attempts.least_ms: must be above 0",
        ),
    ],
    "further_class": [
        (
            'further_class("a", share = 1, burst = 1)',
            "ops.star:1: further_class: needs further_attempts",
        ),
        (
            (
                "further_attempts()\n"
                'further_class("a", share = 1, burst = 1)\n'
                'further_class("a", share = 1, burst = 1)'
            ),
            "ops.star:3: further_class.name: 'a' is used twice",
        ),
        (
            'further_class("a")',
            (
                "ops.star:1: further_class: further_class() missing 2 required positional "
                "arguments: 'share' and 'burst'"
            ),
        ),
    ],
    "logs": [
        (
            'logs(format = "xml")',
            "ops.star:1: logs.format: 'xml' is none of 'plain', 'text', 'json'",
        ),
        ("logs(stories = 2)", "ops.star:1: logs.stories: must lie in 0 to 1"),
    ],
    "start": [
        ("start(floor = 0)", "ops.star:1: start.floor: must be above 0"),
        ('start(last_list = "x")', "ops.star:1: start.last_list: 'x' is no path from the root"),
        ("start(accepts = 0)", "ops.star:1: start.accepts: must be above 0"),
        ("start(contact_part = 2)", "ops.star:1: start.contact_part: must lie in 0 to 1"),
        ("start(ramp = -1)", "ops.star:1: start.ramp: must be at least 0"),
        ("start()\nstart()", "ops.star:2: start: is said twice"),
    ],
    "members": [
        (
            "members()",
            (
                "ops.star:1: members: members() missing 3 required positional arguments: "
                "'address', 'key_file', and 'installation'"
            ),
        ),
        (
            'members("x", "/k", "i")',
            "ops.star:1: members.address: 'x' is no IPv4 address host:port",
        ),
        (
            'members("127.0.0.1:1", "/k", "i", part = 0.5)',
            (
                "ops.star:1: members.part: must lie between 0 and 0.5: with half lost "
                "neither side may be sure"
            ),
        ),
        (
            'members("127.0.0.1:1", "/k", "i", seeds = ["h:1"])',
            "ops.star:1: members.seeds: 'h:1' is no IPv4 address host:port",
        ),
        (
            'members("127.0.0.1:1", "/k", "i", interval = 0)',
            "ops.star:1: members.interval: must be at least 0.05",
        ),
        (
            'members("127.0.0.1:1", "", "i")',
            "ops.star:1: members.key_file: '' is no text of 1 to 256 printable characters",
        ),
        (
            'members("127.0.0.1:1", "/k", "i", forget = 1)',
            "ops.star:1: members.forget: must be at least 10",
        ),
    ],
    "limit": [
        (
            'limit("a")',
            (
                "ops.star:1: limit: needs members(...): brokers that don't know each other "
                "share nothing"
            ),
        ),
        (
            'members("127.0.0.1:1", "/k", "i")\nlimit("a/b")',
            "ops.star:2: limit.name: 'a/b' must have 64 characters at the most, and no /",
        ),
        (
            'members("127.0.0.1:1", "/k", "i")\nlimit("a", kind = "odd")',
            "ops.star:2: limit.kind: 'odd' is none of 'tenant', 'work', 'further', 'connects'",
        ),
        (
            'members("127.0.0.1:1", "/k", "i")\nlimit("a")\nlimit("a")',
            "ops.star:3: limit.name: 'a' is used twice",
        ),
        (
            (
                'members("127.0.0.1:1", "/k", "i")\n'
                'limit("a", kind = "work")\n'
                'limit("b", kind = "work")'
            ),
            "ops.star:3: limit.kind: there is a limit of kind work already",
        ),
        (
            'members("127.0.0.1:1", "/k", "i")\nlimit("a", kind = "further")',
            "ops.star:2: limit.rate: is missing, the settings have none for further",
        ),
        (
            'members("127.0.0.1:1", "/k", "i")\nlimit("a", kind = "work", rate = 1)',
            "ops.star:2: limit.rate: the engines say how much work there can be",
        ),
        (
            'members("127.0.0.1:1", "/k", "i")\nlimit("a", rate = -1)',
            "ops.star:2: limit.rate: must be at least 0",
        ),
    ],
    "verdicts": [
        (
            "verdicts()",
            (
                "ops.star:1: verdicts: needs members(...): brokers that don't know each "
                "other share nothing"
            ),
        ),
        (
            "verdicts(observers = 1)",
            (
                "ops.star:1: verdicts.observers: must be at least 2: one that lies would "
                "hold out what it likes"
            ),
        ),
        ("verdicts(part = 2)", "ops.star:1: verdicts.part: must lie in 0 to 1"),
        ("verdicts(age = 0)", "ops.star:1: verdicts.age: must be above 0"),
        ("verdicts(failures = 0)", "ops.star:1: verdicts.failures: must be at least 1"),
    ],
    "limits": [
        ("limits(drift = 0)", "ops.star:1: limits.drift: must lie between 0 and 0.5"),
        (
            "limits(guaranteed = 0)",
            (
                "ops.star:1: limits.guaranteed: must be above 0: without contact a broker "
                "has nothing else"
            ),
        ),
        ("limits(lease = 0)", "ops.star:1: limits.lease: must be at least 0.2"),
    ],
}


@pytest.mark.parametrize(
    ("script", "error"),
    [
        pytest.param(script, error, id=script[:60])
        for errors_of_directive in ERRORS.values()
        for script, error in errors_of_directive
    ],
)
def test_a_mistake_in_a_script_is_reported_with_its_line_and_argument(
    script: str, error: str
) -> None:
    with pytest.raises(OperatorFileError) as caught:
        run_script("ops.star", script, lambda: False)
    assert str(caught.value) == error
