"""Calls to a node with an operators' file that knows no other member, with their answers."""

from __future__ import annotations

from .subsystem_calls import NO_SUCH_LIMIT, ONLY_GET, ONLY_POST, START, Answer, OperatorCall

# Made in this order on one node: a later answer depends on the calls before it.
OPERATOR_CONFIG_CALLS: list[OperatorCall] = [
    OperatorCall("GET", "/start", START),
    OperatorCall("POST", "/start", ONLY_GET),
    OperatorCall(
        "GET",
        "/members",
        Answer(
            200,
            (
                '{"me": "10.0.0.4:7946", "boot": "760e84be472f9e959dc16725", "incarnation": '
                '0, "left": false, "doubt": 0, "pauses": 0, "isolated": false, "view": '
                '{"epoch": 0, "digest": "", "certain": false, "why": "nobody has been heard '
                'yet", "alive": 1, "reference": 1, "limits_by": 1, "place": 0, "configured": '
                '1}, "bounds_s": {"suspected_median": 2.2, "suspected_p99": 6.1, '
                '"suspected_worst": 15.5, "removed_median": 8.2, "removed_p99": 16.1, '
                '"removed_worst": 41.5}, "members": [], "figures": {"bytes_in": 0, '
                '"bytes_out": 0, "flooded": 0, "dropped": {}}}\n'
            ),
        ),
    ),
    OperatorCall("POST", "/members", ONLY_GET),
    OperatorCall(
        "GET",
        "/members/keys",
        Answer(200, '{"signs": 1, "reads": [1], "taken_in": {}, "dropped": {}}\n'),
    ),
    OperatorCall("POST", "/members/keys", ONLY_GET),
    OperatorCall("GET", "/members/leave", ONLY_POST),
    OperatorCall("GET", "/members/other", None),
    OperatorCall(
        "GET",
        "/limits",
        Answer(
            200,
            (
                '{"me": "10.0.0.4:7946", "limits": [{"name": "orders", "kind": "tenant", '
                '"hard": true, "whole": 50.0, "ours": 10.0, "asked": 0.0, "stale_s": 4.0, '
                '"overshoot_promised": 0.0, "floor": 10.0, "held": 0.0, "left_s": 0.0, '
                '"want": 0.0, "home": "", "floor_in_force": true}, {"name": "attempts", '
                '"kind": "further", "hard": false, "whole": 10.0, "ours": 10.0, "asked": '
                '0.0, "stale_s": 3.0, "overshoot_promised": 0.0, "age_s": 0.0, '
                '"overshoot_seen": 0.0}], "breaches": 0, "figures": {"asked": 0, "granted": '
                '0, "refused": 0, "homes_lost": 0, "ended": 0, "rows": 0, "old_rows": 0}}\n'
            ),
        ),
    ),
    OperatorCall("POST", "/limits", ONLY_GET),
    OperatorCall("GET", "/limits/record", Answer(200, "[]\n")),
    OperatorCall("POST", "/limits/record", ONLY_GET),
    OperatorCall("GET", "/limits/lend/orders/10.0.0.4:7946/3", ONLY_POST),
    OperatorCall(
        "POST",
        "/limits/lend/orders/10.0.0.4:7946/much",
        Answer(400, '{"error": "\'much\' is no amount"}\n'),
    ),
    OperatorCall(
        "POST",
        "/limits/lend/orders/10.0.0.9:1/3",
        Answer(404, '{"error": "10.0.0.9:1 is no member"}\n'),
    ),
    OperatorCall("POST", "/limits/lend/nothing/10.0.0.4:7946/3", NO_SUCH_LIMIT),
    OperatorCall(
        "POST",
        "/limits/recall/orders/10.0.0.9:1",
        Answer(404, '{"error": "10.0.0.9:1 is no member"}\n'),
    ),
    OperatorCall("POST", "/limits/recall/nothing/10.0.0.9:1", NO_SUCH_LIMIT),
    OperatorCall(
        "GET",
        "/verdicts",
        Answer(
            200,
            (
                '{"verdicts": [], "words": [], "lost": [], "figures": {"verdicts": 0, '
                '"lifted": 0, "over_part": 0}}\n'
            ),
        ),
    ),
    OperatorCall("POST", "/verdicts", ONLY_GET),
    OperatorCall("GET", "/verdicts/pin/s-1", ONLY_POST),
    OperatorCall(
        "POST", "/verdicts/pin/s-1", Answer(200, '{"uid": "s-1", "word": "pinned", "version": 1}\n')
    ),
    OperatorCall(
        "POST", "/verdicts/out/s-1", Answer(200, '{"uid": "s-1", "word": "out", "version": 2}\n')
    ),
    OperatorCall(
        "POST", "/verdicts/clear/s-1", Answer(200, '{"uid": "s-1", "word": "back", "version": 3}\n')
    ),
    OperatorCall(
        "POST", "/verdicts/pin/nobody", Answer(404, '{"error": "no data engine has this id"}\n')
    ),
    OperatorCall("POST", "/verdicts/odd/s-1", Answer(404, '{"error": "no such call"}\n')),
    OperatorCall(
        "GET",
        "/verdicts",
        Answer(
            200,
            (
                '{"verdicts": [], "words": [{"uid": "s-1", "word": "back", "version": 3, '
                '"by": "10.0.0.4:7946"}], "lost": [], "figures": {"verdicts": 0, "lifted": '
                '0, "over_part": 0}}\n'
            ),
        ),
    ),
    OperatorCall("POST", "/members/leave", Answer(200, '{"left": "10.0.0.4:7946"}\n')),
    OperatorCall("GET", "/cells", None),
    OperatorCall("GET", "/other", None),
]
