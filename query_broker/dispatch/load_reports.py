"""Load reports of endpoints, as they come with answers and health checks. Performs no I/O."""

from __future__ import annotations

from ..decisions.facade import LoadReport
from ..log import LogWriter
from ..protocols import resp

# The names that data engines use, and the fields of `LoadReport` that they mean.
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
    """Read the report of an endpoint; None where it is empty, malformed or of unknown names.

    A malformed one is logged: it spoils nothing else of its answer.
    """
    if not text:
        return None
    try:
        values = resp.read_load_report(text)
    except resp.MalformedAnswerError as error:
        log("engine", str(error))
        return None
    known = {FIELD_OF_NAME[name]: value for name, value in values.items() if name in FIELD_OF_NAME}
    return LoadReport(**known) if known else None
