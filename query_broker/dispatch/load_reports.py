"""Load reports of endpoints, as they come with answers and health checks. Performs no I/O."""

from __future__ import annotations

from ..decisions.facade import LoadReport
from ..log import LogWriter
from ..protocols import resp

# The fields of `LoadReport` by the names that data engines use.
FIELD_OF_NAME = {
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
    """Read the load report of an endpoint; None where it is empty, malformed or of unknown names.

    A malformed report is logged; the answer that it came with remains valid.
    """
    if not text:
        return None
    try:
        values = resp.read_load_report(text)
    except resp.MalformedAnswerError as error:
        log("engine", str(error))
        return None
    fields = {FIELD_OF_NAME[name]: value for name, value in values.items() if name in FIELD_OF_NAME}
    return LoadReport(**fields) if fields else None
