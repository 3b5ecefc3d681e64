"""Parsing of load reports, which arrive with answers and health checks. Performs no I/O."""

from __future__ import annotations

from ..decisions.facade import LoadReport
from ..log import LogWriter
from ..protocols import resp

# The fields of `LoadReport` by the names that data engines use on the wire.
FIELD_BY_WIRE_NAME = {
    "busy": "utilisation",
    "util": "utilisation",
    "q": "queue",
    "queue": "queue",
    "x0": "memory",
    "x1": "disk",
    "rif": "inflight",
    "inflight": "inflight",
}


def parse_load_report(text: str, log: LogWriter) -> LoadReport | None:
    """Parse the load report of an endpoint; None if it is empty, malformed or has no known name.

    A malformed report is logged; the answer that carried it remains valid.
    """
    if not text:
        return None
    try:
        values = resp.read_load_report(text)
    except resp.MalformedAnswerError as error:
        log("engine", str(error))
        return None
    fields = {
        FIELD_BY_WIRE_NAME[name]: value
        for name, value in values.items()
        if name in FIELD_BY_WIRE_NAME
    }
    return LoadReport(**fields) if fields else None
