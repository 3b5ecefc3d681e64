"""The text form of the endpoint snapshot, the last known endpoint list. Performs no I/O.

The file has a header line, ``larchhall-list FORMAT CHECKSUM``, and one line of JSON. The checksum
has no key: it detects truncated and altered files, but not forged ones, since only the broker can
write to the folder.
"""

from __future__ import annotations

import hashlib
import json
from dataclasses import dataclass
from typing import Any

from ..errors import QueryBrokerError
from .settings import NS_PER_SECOND

FORMAT_VERSION = 1
MAGIC = "larchhall-list"

#: Number of fields of the header line: magic, format version and checksum.
HEADER_FIELD_COUNT = 3

#: Limit on reading a snapshot file; far above the size of the largest endpoint list.
MAX_FILE_BYTES = 16 << 20

#: Size of the checksum.
CHECKSUM_BYTES = 16

#: A snapshot that was saved further in the future means that the clock has been set back.
MAX_CLOCK_SETBACK_NS = 5 * NS_PER_SECOND

#: Characters of another installation's name that an error quotes.
MAX_QUOTED_CHARACTERS = 60


class EndpointSnapshotError(QueryBrokerError):
    """A snapshot file that must not be used; the text follows the path in a log line."""


class MalformedSnapshotError(EndpointSnapshotError):
    """The text is not a snapshot, or is truncated or altered."""


class SnapshotVersionError(EndpointSnapshotError):
    """The snapshot has the format version of another release of this program."""

    def __init__(self, version: str) -> None:
        """Create the error for the version that was found."""
        super().__init__(f"has format {version}, this program reads {FORMAT_VERSION}")


class UnusableSnapshotError(EndpointSnapshotError):
    """The snapshot belongs to another installation, or its age is invalid."""


@dataclass(frozen=True, slots=True)
class EndpointSnapshot:
    """The endpoint list at one moment.

    Attributes:
        installation: Name of the installation that the list belongs to.
        offset: Number of the last watch event that the list includes.
        saved_at_ns: When the list was saved, in Unix nanoseconds.
        targets: The endpoints, in the form of the discovery service.
    """

    installation: str
    offset: int
    saved_at_ns: int
    targets: tuple[dict[str, Any], ...]

    def event(self) -> dict[str, Any]:
        """Return the list as a watch event of the discovery service."""
        return {
            "offset": self.offset,
            "topology": {"rev": self.offset, "all": True, "targets": list(self.targets)},
        }


def encode(snapshot: EndpointSnapshot) -> str:
    """Return the text of the snapshot file."""
    fields = {
        "installation": snapshot.installation,
        "offset": snapshot.offset,
        "saved_at": snapshot.saved_at_ns,
        "targets": snapshot.targets,
    }
    body = json.dumps(fields, separators=(",", ":"))
    return f"{MAGIC} {FORMAT_VERSION} {_checksum(body)}\n{body}\n"


def decode(text: str, installation: str, now_ns: int, max_age_ns: int) -> EndpointSnapshot:
    """Verify and parse the text of a snapshot file.

    Args:
        text: The content of the file.
        installation: Name of this installation.
        now_ns: Unix time in nanoseconds.
        max_age_ns: Maximum age of a usable snapshot, in nanoseconds.

    Raises:
        EndpointSnapshotError: The snapshot must not be used; the subclass tells why.
    """
    snapshot = _parse_body(_verified_body(text))
    if snapshot.installation != installation:
        found = repr(snapshot.installation[:MAX_QUOTED_CHARACTERS])
        raise UnusableSnapshotError("belongs to installation " + found)
    if snapshot.saved_at_ns > now_ns + MAX_CLOCK_SETBACK_NS:
        problem = "has a time in the future: the clock has been set back, so the age is unknown"
        raise UnusableSnapshotError(problem)
    age_ns = now_ns - snapshot.saved_at_ns
    if age_ns > max_age_ns:
        problem = f"is {age_ns / NS_PER_SECOND:.0f} s old"
        raise UnusableSnapshotError(problem)
    return snapshot


def _checksum(body: str) -> str:
    return hashlib.blake2b(body.encode(), digest_size=CHECKSUM_BYTES).hexdigest()


def _verified_body(text: str) -> str:
    """Return the JSON line of a file after verifying the header line and the checksum."""
    header, newline, rest = text.partition("\n")
    parts = header.split(" ")
    if len(parts) != HEADER_FIELD_COUNT or parts[0] != MAGIC or not parts[1].isdecimal():
        problem = "is not an endpoint snapshot"
        raise MalformedSnapshotError(problem)
    _, version, written_checksum = parts
    if int(version) != FORMAT_VERSION:
        raise SnapshotVersionError(version)
    body = rest.removesuffix("\n")
    if not newline or body == rest or _checksum(body) != written_checksum:
        problem = "is truncated or altered"
        raise MalformedSnapshotError(problem)
    return body


def _parse_body(body: str) -> EndpointSnapshot:
    try:
        raw = json.loads(body)
        return EndpointSnapshot(
            str(raw["installation"]),
            int(raw["offset"]),
            int(raw["saved_at"]),
            tuple(dict(target) for target in raw["targets"]),
        )
    except (ValueError, KeyError, TypeError, RecursionError) as error:
        problem = f"holds no endpoint list: {type(error).__name__}"
        raise MalformedSnapshotError(problem) from None
