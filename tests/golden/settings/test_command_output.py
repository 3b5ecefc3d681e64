"""Golden form of what commands print of the answers of a broker's administrative API."""

from __future__ import annotations

import http.server
import threading
from collections.abc import Iterator
from typing import Any

import pytest
from click.testing import CliRunner

from query_broker.cli.main import main
from query_broker.overriding import override

# A request to the administrative API and its answer.
ANSWERS: dict[str, str] = {
    "GET /start": '{"place": 1, "fleet": 3, "ready": false, "list": "bus", "confirmed": false, '
    '"share": 0.5, "passed": [{"stage": "list", "took": 1.25, "why": "told"}], '
    '"stage": "contact", "for": 2.5, "waits_for": "half of 4 engines"}',
    "GET /members": '{"me": "10.0.0.4:1", "view": {"epoch": 2, "digest": "ab", "alive": 3, '
    '"why": "settled", "limits_by": 3, "place": 1}, "doubt": 1, "isolated": true, "left": true, '
    '"members": [{"address": "10.0.0.5:1", "status": "alive", "verdict": "there", "for": 1.5, '
    '"heard": 0.25, "reached": null, "through_others": 3.0, "round_trip_ms": 0.5, '
    '"incarnation": 2}]}',
    "POST /members/leave": '{"left": "10.0.0.4:1"}',
    "GET /members/keys": '{"signs": 2, "reads": [2, 1], "taken_in": {"1": 5}, '
    '"dropped": {"forged": 3}}',
    "GET /limits": '{"limits": [{"name": "orders", "kind": "tenant", "hard": true, '
    '"whole": 50.0, "ours": 10.0, "asked": 1.0, "stale_s": 4.0, "overshoot_promised": 0.0, '
    '"held": 5.0, "left_s": 1.5, "home": "10.0.0.5:1", "floor_in_force": false}, '
    '{"name": "attempts", "kind": "further", "hard": false, "whole": 10.0, "ours": 10.0, '
    '"asked": 0.0, "stale_s": 3.0, "overshoot_promised": 5.0, "overshoot_seen": 0.25}]}',
    "POST /limits/lend/orders/h/3.0": "{}",
    "POST /limits/recall/orders/h": "{}",
    "GET /verdicts": '{"verdicts": [{"uid": "s-1", "kind": "failing", "observers": 3, '
    '"evidence_age": 1.0, "for": 2.0, "at_least": 3.0, "relapses": 1}], '
    '"words": [{"uid": "s-2", "word": "out", "version": 4, "by": "h"}], '
    '"lost": [{"uid": "s-3", "word": "back", "version": 5, "by": "h"}]}',
    "POST /verdicts/pin/s-1": '{"word": "pinned", "version": 2}',
    "POST /verdicts/out/s-1": '{"word": "out", "version": 3}',
    "POST /verdicts/clear/s-1": '{"word": "back", "version": 4}',
    "GET /cells": '{"epoch": 3, "digest": "ab", "cells": [{"cell": "a", "default": true, '
    '"ready": 1, "cold": 0, "cores": 8, "open": 2, "lent": 1, "refused_for_room": 3, '
    '"short": true, "engines": ["s-1", "s-2"]}], "unplaced": ["s-9"], '
    '"tenants": [{"tenant": "acme", "cell": "a", "load": 0.25}], "moves": [{"subject": "acme", '
    '"source": "a", "target": "b", "stage": "proposed", "why": "by call"}]}',
    "POST /cells/move/acme%231/b": '{"subject": "acme#1", "source": "a", "target": "b", '
    '"stage": "proposed", "why": ""}',
    "POST /cells/abort/acme": '{"subject": "acme", "source": "a", "target": "b", '
    '"stage": "taken back", "why": "by the operators"}',
}
START = """\
place 1 of 3, not ready, list from bus (not confirmed), share 0.50

stage      seconds  what ended it
list          1.25  told
contact *     2.50  waits for half of 4 engines
"""
START_JSON = """\
{
  "place": 1,
  "fleet": 3,
  "ready": false,
  "list": "bus",
  "confirmed": false,
  "share": 0.5,
  "passed": [
    {
      "stage": "list",
      "took": 1.25,
      "why": "told"
    }
  ],
  "stage": "contact",
  "for": 2.5,
  "waits_for": "half of 4 engines"
}
"""
MEMBERS = (
    "10.0.0.4:1, view 2 (ab): 3 there, settled; limits by 3, place 1; doubt in "
    "itself 1 of 8, cut off, has left\n"
    "\n"
    "member      status  verdict  for s  heard s ago  reached  through others  "
    "ms   incarnation\n"
    "10.0.0.5:1  alive   there      1.5          0.2  never               3.0  "
    "0.5            2\n"
)
MEMBER_KEYS = """\
key  signs  messages taken in
  2  yes                    0
  1  no                     5
dropped, forged: 3
"""
MEMBER_KEYS_JSON = """\
{
  "signs": 2,
  "reads": [
    2,
    1
  ],
  "taken_in": {
    "1": 5
  },
  "dropped": {
    "forged": 3
  }
}
"""
LIMITS = (
    "limit     kind     whole  ours  asked  leased  in force    home        "
    "stale s  over, promised  over, seen\n"
    "orders    tenant      50    10      1       5  1.5 s left  10.0.0.5:1       "
    " 4               0  -\n"
    "attempts  further     10    10      0  -       -           -                "
    " 3               5        0.25\n"
)
VERDICTS = """\
engine  verdict  observers  evidence s old  for s  at least s  relapses
s-1     failing          3             1.0    2.0         3.0         1

engine  word  version  by  holds
s-2     out         4  h   yes
s-3     back        5  h   no, another did
"""
CELLS = """\
epoch 3, map ab

cell  ready  cold  cores  open  lent  refused         engines
a *       1     0      8     2     1        3  short  s-1 s-2

in no cell: s-9

tenant  cell  load
acme    a     0.250

tenant  from  to  stage     why
acme    a     b   proposed  by call
"""
# Arguments, the exit code and the complete output. ADDRESS: the address of the broker.
PRINTED: list[tuple[str, int, str]] = [
    ("start show", 0, START),
    ("start show --json", 0, START_JSON),
    ("members show", 0, MEMBERS),
    ("members leave", 0, "10.0.0.4:1 has left\n"),
    ("members keys", 0, MEMBER_KEYS),
    ("members leave --json", 0, '{\n  "left": "10.0.0.4:1"\n}\n'),
    ("members keys --json", 0, MEMBER_KEYS_JSON),
    ("limits show", 0, LIMITS),
    ("limits lend orders h 3", 0, "h gets 3 of orders at the most\n"),
    ("limits lend orders h 3 --json", 0, "{}\n"),
    ("limits recall orders h", 0, "h gets nothing of orders when its lease has ended\n"),
    ("limits lend unknown h 3", 1, "larchhall: ADDRESS: no such call\n"),
    ("verdicts show", 0, VERDICTS),
    ("verdicts pin s-1", 0, "s-1: pinned, version 2\n"),
    ("verdicts out s-1", 0, "s-1: out, version 3\n"),
    ("verdicts clear s-1", 0, "s-1: back, version 4\n"),
    ("verdicts pin s-1 --json", 0, '{\n  "word": "pinned",\n  "version": 2\n}\n'),
    ("verdicts pin s-9", 1, "larchhall: ADDRESS: no such call\n"),
    ("cells show", 0, CELLS),
    ("cells move acme#1 b", 0, "acme#1 from a to b: proposed\n"),
    (
        "cells move acme#1 b --json",
        0,
        (
            '{"subject": "acme#1", "source": "a", "target": "b", "stage": "proposed", '
            '"why": ""}\n'
        ),
    ),
    ("cells abort acme", 0, "acme from a to b: taken back (by the operators)\n"),
    ("cells abort nobody", 1, "larchhall: ADDRESS: no such call\n"),
]


class AdminApiEmulator(http.server.BaseHTTPRequestHandler):
    """Gives the answers above, and 404 to every other request."""

    def answer(self) -> None:
        """Answer the request that has been read."""
        known = ANSWERS.get(f"{self.command} {self.path}")
        body = (known or '{"error": "no such call"}').encode() + b"\n"
        self.send_response(404 if known is None else 200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    do_GET = do_POST = answer  # noqa: N815  # names that http.server looks up

    @override
    def log_message(self, format: str, *args: Any) -> None:
        """Keep the requests off the error output."""


@pytest.fixture(scope="module")
def address() -> Iterator[str]:
    """The address of an emulated administrative API."""
    server = http.server.HTTPServer(("127.0.0.1", 0), AdminApiEmulator)
    thread = threading.Thread(target=server.serve_forever, kwargs={"poll_interval": 0.02})
    thread.start()
    yield f"127.0.0.1:{server.server_address[1]}"
    server.shutdown()
    thread.join()
    server.server_close()


@pytest.mark.parametrize(
    ("arguments", "exit_code", "output"), [pytest.param(*case, id=case[0]) for case in PRINTED]
)
def test_a_command_prints_the_answer_of_the_broker(
    address: str, arguments: str, exit_code: int, output: str
) -> None:
    result = CliRunner().invoke(main, [*arguments.split(), "--address", address])
    assert (result.exit_code, result.output.replace(address, "ADDRESS")) == (exit_code, output)
