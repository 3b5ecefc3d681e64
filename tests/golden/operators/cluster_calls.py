"""Calls to a node that knows other members, ejects endpoints and leads its quotas, with answers."""

from __future__ import annotations

from .subsystem_calls import NO_SUCH_LIMIT, Answer, OperatorCall

# The parts of the answer to `GET /verdicts`.
EJECTIONS = (
    '{"verdicts": [{"uid": "s-1", "kind": "bad for all", "zone": "", '
    '"observers": 3, "for": 1.0, "at_least": 4.0, "evidence_age": 2.0, '
    '"relapses": 1}, {"uid": "s-2", "kind": "out of this zone\'s reach", "zone": '
    '"east", "observers": 2, "for": 1.0, "at_least": 4.0, "evidence_age": 2.0, '
    '"relapses": 0}], "words": '
)
OVERRIDE = '{"uid": "s-1", "word": "back", "version": 1, "by": "10.0.0.4:7946"}'
STATISTICS = ', "lost": [], "figures": {"verdicts": 0, "lifted": 0, "over_part": 0}}\n'

# Made in this order on one node: a later answer depends on the calls before it.
CLUSTER_CALLS: list[OperatorCall] = [
    OperatorCall(
        "GET",
        "/members",
        Answer(
            200,
            (
                '{"me": "10.0.0.4:7946", "boot": "760e84be472f9e959dc16725", "incarnation": '
                '0, "left": false, "doubt": 0, "pauses": 0, "isolated": false, "view": '
                '{"epoch": 0, "digest": "", "certain": true, "why": "nobody has been heard '
                'yet", "alive": 1, "reference": 1, "limits_by": 1, "place": 0, "configured": '
                '1}, "bounds_s": {"suspected_median": 2.2, "suspected_p99": 6.1, '
                '"suspected_worst": 15.5, "removed_median": 8.2, "removed_p99": 16.1, '
                '"removed_worst": 41.5}, "members": [{"address": "10.0.1.0:7946", "boot": '
                '"000000000000000000000000", "incarnation": 3, "status": "alive", "for": '
                '7.0, "place": 0, "zone": "west", "verdict": "reached", "heard": 0.25, '
                '"reached": 0.5, "through_others": 2.0, "hears_us": 3.0, "by": "10.0.1.9:1", '
                '"round_trip_ms": 0.0, "helpers": {"10.0.1.8:7946": {"reached": true, "ago": '
                '4.0}}}, {"address": "10.0.1.1:7946", "boot": "010101010101010101010101", '
                '"incarnation": 3, "status": "suspect", "for": 7.0, "place": 1, "zone": '
                '"west", "verdict": "its answers don\'t reach us", "heard": 0.25, "reached": '
                'null, "through_others": 2.0, "hears_us": 3.0, "by": "10.0.1.9:1", '
                '"round_trip_ms": 0.0, "helpers": {"10.0.1.8:7946": {"reached": true, "ago": '
                '4.0}}}, {"address": "10.0.1.2:7946", "boot": "020202020202020202020202", '
                '"incarnation": 3, "status": "dead", "for": 7.0, "place": 2, "zone": "west", '
                '"verdict": "dead: nobody has heard it", "heard": 0.25, "reached": null, '
                '"through_others": 2.0, "hears_us": 3.0, "by": "10.0.1.9:1", '
                '"round_trip_ms": 0.0, "helpers": {"10.0.1.8:7946": {"reached": true, "ago": '
                '4.0}}}, {"address": "10.0.1.3:7946", "boot": "030303030303030303030303", '
                '"incarnation": 3, "status": "left", "for": 7.0, "place": 3, "zone": "west", '
                '"verdict": "has left", "heard": 0.25, "reached": null, "through_others": '
                '2.0, "hears_us": 3.0, "by": "10.0.1.9:1", "round_trip_ms": 0.0, "helpers": '
                '{"10.0.1.8:7946": {"reached": true, "ago": 4.0}}}], "figures": {"bytes_in": '
                '0, "bytes_out": 0, "flooded": 0, "dropped": {"forged": 2}}}\n'
            ),
        ),
    ),
    OperatorCall(
        "GET",
        "/members/keys",
        Answer(200, '{"signs": 1, "reads": [1], "taken_in": {}, "dropped": {"forged": 2}}\n'),
    ),
    OperatorCall(
        "GET",
        "/verdicts",
        Answer(200, EJECTIONS + "[]" + STATISTICS),
    ),
    OperatorCall(
        "GET",
        "/limits",
        Answer(
            200,
            (
                '{"me": "10.0.0.4:7946", "limits": [{"name": "orders", "kind": "tenant", '
                '"hard": true, "whole": 50.0, "ours": 22.5, "asked": 0.0, "stale_s": 4.0, '
                '"overshoot_promised": 0.0, "floor": 10.0, "held": 12.5, "left_s": 2.0, '
                '"want": 0.0, "home": "10.0.0.4:7946", "floor_in_force": false, "lent": {}}, '
                '{"name": "attempts", "kind": "further", "hard": false, "whole": 10.0, '
                '"ours": 5.0, "asked": 0.0, "stale_s": 3.0, "overshoot_promised": 0.0, '
                '"age_s": 0.0, "overshoot_seen": 0.0}], "breaches": 0, "figures": {"asked": '
                '0, "granted": 0, "refused": 0, "homes_lost": 0, "ended": 0, "rows": 0, '
                '"old_rows": 0}}\n'
            ),
        ),
    ),
    OperatorCall(
        "POST",
        "/limits/lend/orders/10.0.1.0:7946/3",
        Answer(200, '{"limit": "orders", "holder": "10.0.1.0:7946", "at_most": 3.0}\n'),
    ),
    OperatorCall(
        "POST",
        "/limits/recall/orders/10.0.1.0:7946",
        Answer(200, '{"limit": "orders", "holder": "10.0.1.0:7946", "at_most": 0.0}\n'),
    ),
    OperatorCall("POST", "/limits/lend/attempts/10.0.1.0:7946/3", NO_SUCH_LIMIT),
    OperatorCall(
        "POST", "/verdicts/clear/s-1", Answer(200, '{"uid": "s-1", "word": "back", "version": 1}\n')
    ),
    OperatorCall(
        "GET",
        "/verdicts",
        Answer(200, EJECTIONS + "[" + OVERRIDE + "]" + STATISTICS),
    ),
]
