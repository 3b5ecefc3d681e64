"""Golden form of the messages of outlier consensus: observations and operators' overrides."""

from __future__ import annotations

from typing import Any, cast

import msgspec
import pytest

from query_broker.outlier_consensus import observations, overrides
from query_broker.outlier_consensus.messages import (
    Endpoint,
    Observation,
    ObserverReport,
    ObserverReports,
    Override,
    OverrideBatch,
)
from query_broker.outlier_consensus.service import ConsensusGossip
from query_broker.outlier_consensus.settings import OutlierConsensusSettings

from .recording_membership import RecordingMembership, SentMessage

NS_PER_S = 1_000_000_000
NOW_NS = 100 * NS_PER_S
ENDPOINT = Endpoint("s-1", 1_700_000_000_123)
ConsensusMessage = ObserverReport | ObserverReports | OverrideBatch
CONSENSUS_MESSAGES: dict[str, tuple[ConsensusMessage, bytes]] = {
    "observer report": (
        ObserverReport("a:1/ff", "zone-a", 4, 90, (Observation(ENDPOINT, 3, 1, 20, -1),)),
        (
            b"\x96\x01\xa6a:1/ff\xa6zone-a\x04Z"
            b"\x91\x95\x92\xa3s-1\xcf\x00\x00\x01\x8b\xcf\xe5h{\x03\x01"
            b"\x14\xff"
        ),
    ),
    "observer reports": (
        ObserverReports((ObserverReport("a:1/ff", "zone-a", 4, 90, ()),)),
        (b"\x92\x02\x91\x96\x01\xa6a:1/ff\xa6zone-" b"a\x04Z\x90"),
    ),
    "overrides": (
        OverrideBatch(
            b"digest-8",
            (
                Override("s-1", "out", 1, "a:1"),
                Override("s-1", "back", 2, "b:1", (1, "a:1")),
                Override("s-2", "pinned", 300, "a:1", (299, "b:1")),
            ),
        ),
        (
            b"\x94\x03\xc4\x08digest-8\x93\x95\xa3s-1"
            b"\xa3out\x01\xa3a:1\x92\x00\xa0\x95\xa3s-1\xa4"
            b"back\x02\xa3b:1\x92\x01\xa3a:1\x95\xa3s"
            b"-2\xa6pinned\xcd\x01,\xa3a:1\x92\xcd"
            b"\x01+\xa3b:1\xc2"
        ),
    ),
    "overrides, an answer": (
        OverrideBatch(b"digest-8", (), True),
        b"\x94\x03\xc4\x08digest-8\x90\xc3",
    ),
}


@pytest.mark.parametrize(
    ("message", "expected"), CONSENSUS_MESSAGES.values(), ids=CONSENSUS_MESSAGES
)
def test_consensus_message_is_written_and_read_byte_for_byte(
    message: ConsensusMessage, expected: bytes
) -> None:
    assert msgspec.msgpack.encode(message) == expected
    assert msgspec.msgpack.decode(expected, type=type(message)) == message


def test_names_of_the_overrides() -> None:
    assert overrides.OVERRIDE_VALUES == ("out", "back", "pinned")


def test_digest_of_the_overrides() -> None:
    store = overrides.OverrideStore("a:1")
    assert store.digest().hex() == "e4a6a0577479b2b4"
    store.set("s-2", "pinned", 3)
    store.set("s-1", "out", 3)
    store.set("s-1", "back", 3)
    assert store.digest().hex() == "dadad5f89d9d21c6"


def gossip_with_an_observation_and_an_override(membership: RecordingMembership) -> ConsensusGossip:
    """Return the gossip of a broker that saw one endpoint fail once and serve once."""
    gossip = ConsensusGossip.__new__(ConsensusGossip)
    gossip.membership = cast(Any, membership)
    gossip.encoder = msgspec.msgpack.Encoder()
    gossip.observations = observations.ObservationStore(
        "a:1/ff", "zone-a", OutlierConsensusSettings()
    )
    gossip.observations.record(NOW_NS - NS_PER_S, ENDPOINT, False)
    gossip.observations.record(NOW_NS - NS_PER_S // 2, ENDPOINT, True)
    gossip.overrides = overrides.OverrideStore("a:1")
    gossip.overrides.set("s-1", "out", 1)
    return gossip


def test_a_gossip_round_sends_observations_and_overrides_under_its_topic() -> None:
    membership = RecordingMembership()
    gossip_with_an_observation_and_an_override(membership).send_round(NOW_NS)
    assert membership.sent == [
        SentMessage(
            "verdicts",
            "b:1/ee",
            (
                b"\x92\x02\x91\x96\x01\xa6a:1/ff\xa6zone-"
                b"a\x01\x00\x91\x95\x92\xa3s-1\xcf\x00\x00\x01\x8b\xcf\xe5h"
                b"{\x01\x01\xcd\x03\xe8\xcd\x01\xf4"
            ),
        ),
        SentMessage(
            "verdicts",
            "b:1/ee",
            (
                b"\x94\x03\xc4\x08 \xce\xc1\xa3\xbc\x99T2\x91\x95\xa3s-1"
                b"\xa3out\x01\xa3a:1\x92\x00\xa0\xc2"
            ),
        ),
    ]
