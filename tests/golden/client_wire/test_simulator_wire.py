"""Golden form of the lines that the simulator and its adapter exchange."""

from __future__ import annotations

import io
import json
from typing import Any

import pytest

from query_broker import decisions as api
from query_broker.simulator_adapter import Adapter, _encode_order

NANOSECONDS_PER_MS = 1_000_000


@pytest.mark.parametrize(
    ("order", "line"),
    [
        pytest.param(
            api.Dispatch("r-1", 0, 51, 4, 5),
            "FORWARD\ti=g/0\treq=r-1\tengine=51\tallow_for=4\n",
            id="dispatch",
        ),
        pytest.param(api.Reject("r-1", 250), "DENY\ti=g/0\treq=r-1\twait=250\n", id="reject"),
        pytest.param(api.Fail("r-1"), "GIVE_UP\ti=g/0\treq=r-1\n", id="fail"),
        pytest.param(
            api.CancelAttempt("r-1", 2), "DROP_ATTEMPT\ti=g/0\treq=r-1\tn=2\n", id="cancel"
        ),
        pytest.param(
            api.SetTimer(70, 3), "SET_ALARM\ti=g/0\tfire_at=70\tnonce=3\n", id="set timer"
        ),
        pytest.param(api.HealthCheck(51), "ASK_LOAD\ti=g/0\tengine=51\n", id="health check"),
        pytest.param(
            api.DispatchOptions("r-1", 2, 96.5),
            "RESOURCES\ti=g/0\treq=r-1\timportance=2\tallot_mb=96.500\n",
            id="dispatch options",
        ),
    ],
)
def test_an_order_is_rendered_as_this_line(order: api.Order, line: str) -> None:
    assert _encode_order("g/0", order) == line


SETTINGS: dict[str, Any] = {
    "classes": [
        {
            "name": "short",
            "aim": 500 * NANOSECONDS_PER_MS,
            "deadline": 5000 * NANOSECONDS_PER_MS,
            "worth": 1.0,
            "effect": "read_like",
            "late_value": 0.1,
        }
    ],
    "fleet_size": 1,
    "tick": 5 * NANOSECONDS_PER_MS,
    "zone": "a",
    "kinds": ["box"],
    "policy_limits": {"cancel": True, "send_cap": 3, "max_retry_after": 2000 * NANOSECONDS_PER_MS},
    "report": {"via": "piggyback", "fields": ["busy", "q"]},
    "specifics": {"size_cores": [4], "parallelism": [1]},
}
SIMULATOR_LINES = (
    "TURN\tclock=1000000000\tframe=1\n"
    "BEGIN\ti=gateway/0\tnonce64=5\tfacts=SETTINGS\n"
    "FLUSH\n"
    "TURN\tclock=1000000000\tframe=2\n"
    "INGRESS\ti=gateway/0\treq=r-0\tkind=short\tpatience_left=4000000000\texpected=90000000\n"
    "FLUSH\n"
    "TURN\tclock=1000000000\tframe=3\n"
    "TABLE\tlist=0\tmembers_list=1\n"
    "ROW\tbay=0\tpower_hint=1\tstage_state=SERVING\tarea=a\tclass_of_host=box\tengine=51\n"
    "TARGETS\ti=gateway/0\tmode=C\tlist=0\tversion=1\n"
    "FLUSH\n"
    "TURN\tclock=1000000000\tframe=4\n"
    "INGRESS\ti=gateway/0\treq=r-1\tkind=short\tpatience_left=4000000000\texpected=90000000\n"
    "FLUSH\n"
    "TURN\tclock=1090000000\tframe=5\n"
    "FINISHED\ti=gateway/0\treq=r-1\tdone_flag=1\ttime_taken=90000000\tn=0\treason=served"
    "\tengine=51\treport=0.5,0\n"
    "FLUSH\n"
    "TURN\tclock=1100000000\tframe=6\n"
    "INGRESS\ti=gateway/0\treq=r-2\tkind=unheard\tpatience_left=4000000000\n"
    "FLUSH\n"
)
ADAPTER_LINES = (
    "READY\tframe=1\n"
    "SET_ALARM\ti=gateway/0\tfire_at=2000000000\tnonce=0\n"
    "DENY\ti=gateway/0\treq=r-0\twait=1000000000\n"
    "READY\tframe=2\n"
    "READY\tframe=3\n"
    "FORWARD\ti=gateway/0\treq=r-1\tengine=51\tallow_for=4000000000\n"
    "SET_ALARM\ti=gateway/0\tfire_at=1540000000\tnonce=1\n"
    "SET_ALARM\ti=gateway/0\tfire_at=4995000000\tnonce=2\n"
    "READY\tframe=4\n"
    "READY\tframe=5\n"
    "BUG\ti=gateway/0\tbody_text=ValueError: class_name: 'unheard' is not in the "
    "settings\n"
    "READY\tframe=6\n"
)


def test_the_adapter_answers_one_complete_exchange_with_the_simulator() -> None:
    source = io.StringIO(SIMULATOR_LINES.replace("SETTINGS", json.dumps(SETTINGS)))
    sink = io.StringIO()
    Adapter(source, sink).run()
    assert sink.getvalue() == ADAPTER_LINES
