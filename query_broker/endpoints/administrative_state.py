"""Which data engines the operators have taken out by hand."""

from __future__ import annotations

from typing import NamedTuple


class AdministrativeState(NamedTuple):
    """The operators' last word on one engine, and when it was said."""

    at_ns: int
    disabled: bool


class AdministrativeStates:
    """By uid, since an engine may restart while it is out. Words have no count: out twice is back
    once.
    """

    def __init__(self) -> None:
        self.states: dict[str, AdministrativeState] = {}

    def is_disabled(self, uid: str) -> bool:
        return (word := self.states.get(uid)) is not None and word.disabled

    def record(self, uid: str, word: AdministrativeState) -> bool:
        """Take in a word; False if a later one is known, or the same."""
        if (known := self.states.get(uid)) is not None and known.at_ns >= word.at_ns:
            return False
        self.states[uid] = word
        return True

    def forget(self, before: int) -> None:
        """Danger: engines come under new uids for as long as we run: of those that are back, none
        is kept.
        """
        self.states = {
            uid: word for uid, word in self.states.items() if word.disabled or word.at_ns > before
        }
