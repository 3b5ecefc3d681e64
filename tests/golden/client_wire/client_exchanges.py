"""What clients send, byte for byte, and what they get for it."""

from __future__ import annotations

from typing import NamedTuple


class Exchange(NamedTuple):
    """What a client sends, and all that it gets until the broker has answered or ends its side.

    The bytes stand in lines as the protocol has them: the head of a frame (length, type, stream)
    with the number of its fields, each field, and the body.
    """

    name: str
    sent: bytes
    answer: bytes


# A request that the broker serves.
REQUEST = (
    b"\x00\x00\x00\x67\x02\x00\x00\x00\x01\x06"
    b"\x05route\x00\x06glance"
    b"\x05trace\x00\x109b1f03aa5c7e2d41"
    b"\x08patience\x00\x044000"
    b"\x08customer\x00\x04acme"
    b"\x06weight\x00\x0410.0"
    b"\x03ram\x00\x0216"
    b"SELECT 1"
)

EXCHANGES = [
    Exchange(
        "served", sent=REQUEST, answer=b"\x00\x00\x00\x0d\x04\x00\x00\x00\x01\x00\x00a\tb\tc\n"
    ),
    Exchange(
        "ready",
        sent=b"\x00\x00\x00\x06\x10\x00\x00\x00\x09\x00",
        answer=b"\x00\x00\x00\x07\x20\x00\x00\x00\x09\x00\x00",
    ),
    Exchange(
        "no class",
        sent=(
            b"\x00\x00\x00\x68\x02\x00\x00\x00\x01\x06"
            b"\x05route\x00\x07unheard"
            b"\x05trace\x00\x109b1f03aa5c7e2d41"
            b"\x08patience\x00\x044000"
            b"\x08customer\x00\x04acme"
            b"\x06weight\x00\x0410.0"
            b"\x03ram\x00\x0216"
            b"SELECT 1"
        ),
        answer=(
            b"\x00\x00\x00\x33\x04\x00\x00\x00\x01\x02\x00"
            b"route: 'unheard' is no class of the settings"
        ),
    ),
    Exchange(
        "no route",
        sent=(
            b"\x00\x00\x00\x59\x02\x00\x00\x00\x01\x05"
            b"\x05trace\x00\x109b1f03aa5c7e2d41"
            b"\x08patience\x00\x044000"
            b"\x08customer\x00\x04acme"
            b"\x06weight\x00\x0410.0"
            b"\x03ram\x00\x0216"
            b"SELECT 1"
        ),
        answer=b"\x00\x00\x00\x18\x04\x00\x00\x00\x01\x02\x00route: is missing",
    ),
    Exchange(
        "no trace",
        sent=(
            b"\x00\x00\x00\x4f\x02\x00\x00\x00\x01\x05"
            b"\x05route\x00\x06glance"
            b"\x08patience\x00\x044000"
            b"\x08customer\x00\x04acme"
            b"\x06weight\x00\x0410.0"
            b"\x03ram\x00\x0216"
            b"SELECT 1"
        ),
        answer=b"\x00\x00\x00\x18\x04\x00\x00\x00\x01\x02\x00trace: is missing",
    ),
    Exchange(
        "bad trace",
        sent=(
            b"\x00\x00\x00\x5a\x02\x00\x00\x00\x01\x06"
            b"\x05route\x00\x06glance"
            b"\x05trace\x00\x03xyz"
            b"\x08patience\x00\x044000"
            b"\x08customer\x00\x04acme"
            b"\x06weight\x00\x0410.0"
            b"\x03ram\x00\x0216"
            b"SELECT 1"
        ),
        answer=b"\x00\x00\x00\x22\x04\x00\x00\x00\x01\x02\x00trace: is not 16 hex digits",
    ),
    Exchange(
        "no patience",
        sent=(
            b"\x00\x00\x00\x58\x02\x00\x00\x00\x01\x05"
            b"\x05route\x00\x06glance"
            b"\x05trace\x00\x109b1f03aa5c7e2d41"
            b"\x08customer\x00\x04acme"
            b"\x06weight\x00\x0410.0"
            b"\x03ram\x00\x0216"
            b"SELECT 1"
        ),
        answer=b"\x00\x00\x00\x1b\x04\x00\x00\x00\x01\x02\x00patience: is missing",
    ),
    Exchange(
        "patience no number",
        sent=(
            b"\x00\x00\x00\x67\x02\x00\x00\x00\x01\x06"
            b"\x05route\x00\x06glance"
            b"\x05trace\x00\x109b1f03aa5c7e2d41"
            b"\x08patience\x00\x04soon"
            b"\x08customer\x00\x04acme"
            b"\x06weight\x00\x0410.0"
            b"\x03ram\x00\x0216"
            b"SELECT 1"
        ),
        answer=(
            b"\x00\x00\x00\x2e\x04\x00\x00\x00\x01\x02\x00"
            b"patience: 'soon' is no number from 0 up"
        ),
    ),
    Exchange(
        "patience zero",
        sent=(
            b"\x00\x00\x00\x64\x02\x00\x00\x00\x01\x06"
            b"\x05route\x00\x06glance"
            b"\x05trace\x00\x109b1f03aa5c7e2d41"
            b"\x08patience\x00\x010"
            b"\x08customer\x00\x04acme"
            b"\x06weight\x00\x0410.0"
            b"\x03ram\x00\x0216"
            b"SELECT 1"
        ),
        answer=b"\x00\x00\x00\x28\x04\x00\x00\x00\x01\x02\x00patience: must be 1 to 3600000 ms",
    ),
    Exchange(
        "unknown customer",
        sent=(
            b"\x00\x00\x00\x69\x02\x00\x00\x00\x01\x06"
            b"\x05route\x00\x06glance"
            b"\x05trace\x00\x109b1f03aa5c7e2d41"
            b"\x08patience\x00\x044000"
            b"\x08customer\x00\x06nobody"
            b"\x06weight\x00\x0410.0"
            b"\x03ram\x00\x0216"
            b"SELECT 1"
        ),
        answer=(
            b"\x00\x00\x00\x31\x04\x00\x00\x00\x01\x02\x00"
            b"customer: 'nobody' is none of the settings"
        ),
    ),
    Exchange(
        "weight no number",
        sent=(
            b"\x00\x00\x00\x67\x02\x00\x00\x00\x01\x06"
            b"\x05route\x00\x06glance"
            b"\x05trace\x00\x109b1f03aa5c7e2d41"
            b"\x08patience\x00\x044000"
            b"\x08customer\x00\x04acme"
            b"\x06weight\x00\x04much"
            b"\x03ram\x00\x0216"
            b"SELECT 1"
        ),
        answer=b"\x00\x00\x00\x2c\x04\x00\x00\x00\x01\x02\x00weight: 'much' is no number from 0 up",
    ),
    Exchange(
        "weight out of range",
        sent=(
            b"\x00\x00\x00\x67\x02\x00\x00\x00\x01\x06"
            b"\x05route\x00\x06glance"
            b"\x05trace\x00\x109b1f03aa5c7e2d41"
            b"\x08patience\x00\x044000"
            b"\x08customer\x00\x04acme"
            b"\x06weight\x00\x041e17"
            b"\x03ram\x00\x0216"
            b"SELECT 1"
        ),
        answer=b"\x00\x00\x00\x25\x04\x00\x00\x00\x01\x02\x00weight or ram: is out of range",
    ),
    Exchange(
        "redo",
        sent=(
            b"\x00\x00\x00\x71\x02\x00\x00\x00\x01\x07"
            b"\x05route\x00\x06glance"
            b"\x05trace\x00\x109b1f03aa5c7e2d41"
            b"\x08patience\x00\x044000"
            b"\x08customer\x00\x04acme"
            b"\x06weight\x00\x0410.0"
            b"\x03ram\x00\x0216"
            b"\x04redo\x00\x03yes"
            b"SELECT 1"
        ),
        answer=b"\x00\x00\x00\x24\x04\x00\x00\x00\x01\x02\x00redo: is neither 1 nor absent",
    ),
    Exchange(
        "empty statement",
        sent=(
            b"\x00\x00\x00\x60\x02\x00\x00\x00\x01\x06"
            b"\x05route\x00\x06glance"
            b"\x05trace\x00\x109b1f03aa5c7e2d41"
            b"\x08patience\x00\x044000"
            b"\x08customer\x00\x04acme"
            b"\x06weight\x00\x0410.0"
            b"\x03ram\x00\x0216"
            b" "
        ),
        answer=b"\x00\x00\x00\x28\x04\x00\x00\x00\x01\x02\x00the statement is empty or no text",
    ),
    Exchange(
        "statement no text",
        sent=(
            b"\x00\x00\x00\x60\x02\x00\x00\x00\x01\x06"
            b"\x05route\x00\x06glance"
            b"\x05trace\x00\x109b1f03aa5c7e2d41"
            b"\x08patience\x00\x044000"
            b"\x08customer\x00\x04acme"
            b"\x06weight\x00\x0410.0"
            b"\x03ram\x00\x0216"
            b"\xff"
        ),
        answer=b"\x00\x00\x00\x1f\x04\x00\x00\x00\x01\x02\x00the statement is no text",
    ),
    Exchange(
        "id twice on a connection",
        sent=(
            b"\x00\x00\x00\x67\x02\x00\x00\x00\x01\x06"
            b"\x05route\x00\x06glance"
            b"\x05trace\x00\x109b1f03aa5c7e2d41"
            b"\x08patience\x00\x044000"
            b"\x08customer\x00\x04acme"
            b"\x06weight\x00\x0410.0"
            b"\x03ram\x00\x0216"
            b"SELECT 1"
            b"\x00\x00\x00\x67\x02\x00\x00\x00\x02\x06"
            b"\x05route\x00\x06glance"
            b"\x05trace\x00\x109b1f03aa5c7e2d41"
            b"\x08patience\x00\x044000"
            b"\x08customer\x00\x04acme"
            b"\x06weight\x00\x0410.0"
            b"\x03ram\x00\x0216"
            b"SELECT 1"
        ),
        answer=(
            b"\x00\x00\x00\x2b\x04\x00\x00\x00\x02\x02\x00"
            b"trace: is not new on this connection"
            b"\x00\x00\x00\x0d\x04\x00\x00\x00\x01\x00\x00"
            b"a\tb\tc\n"
        ),
    ),
    Exchange(
        "bad length",
        sent=b"\x00\x00\x00\x04",
        answer=b"\x00\x00\x00\x29\x04\x00\x00\x00\x00\x02\x00length 4 is not within 5 to 262144",
    ),
    Exchange(
        "bad type",
        sent=b"\x00\x00\x00\x05\x04",
        answer=b"\x00\x00\x00\x29\x04\x00\x00\x00\x00\x02\x00type 4 is none that a client sends",
    ),
    Exchange(
        "broken fields",
        sent=b"\x00\x00\x00\x09\x02\x00\x00\x00\x01\x01\x05ro",
        answer=b"\x00\x00\x00\x24\x04\x00\x00\x00\x00\x02\x00the fields end inside a value",
    ),
    Exchange(
        "field twice",
        sent=(b"\x00\x00\x00\x10\x02\x00\x00\x00\x01\x02" b"\x01a\x00\x01b" b"\x01a\x00\x01c"),
        answer=b"\x00\x00\x00\x20\x04\x00\x00\x00\x00\x02\x00the field 'a' comes twice",
    ),
    Exchange(
        "stream that is not new",
        sent=(
            b"\x00\x00\x00\x68\x02\x00\x00\x00\x02\x06"
            b"\x05route\x00\x07unheard"
            b"\x05trace\x00\x109b1f03aa5c7e2d41"
            b"\x08patience\x00\x044000"
            b"\x08customer\x00\x04acme"
            b"\x06weight\x00\x0410.0"
            b"\x03ram\x00\x0216"
            b"SELECT 1"
            b"\x00\x00\x00\x67\x02\x00\x00\x00\x01\x06"
            b"\x05route\x00\x06glance"
            b"\x05trace\x00\x109b1f03aa5c7e2d41"
            b"\x08patience\x00\x044000"
            b"\x08customer\x00\x04acme"
            b"\x06weight\x00\x0410.0"
            b"\x03ram\x00\x0216"
            b"SELECT 1"
        ),
        answer=(
            b"\x00\x00\x00\x33\x04\x00\x00\x00\x02\x02\x00"
            b"route: 'unheard' is no class of the settings"
            b"\x00\x00\x00\x2d\x04\x00\x00\x00\x00\x02\x00"
            b"stream 1 is not new on this connection"
        ),
    ),
]
