"""Who gets how much of what is too little for all: max-min fairness. Pure."""

from __future__ import annotations

from collections.abc import Mapping


def water_level(wanted: Mapping[str, float], whole: float) -> dict[str, float]:
    """Each what it wants, up to a level that is the same for all: nobody gets more by asking for
    more.
    """
    left, given = whole, dict[str, float]()
    for count, (name, want) in enumerate(
        sorted(wanted.items(), key=lambda item: (item[1], item[0]))
    ):
        given[name] = max(0.0, min(want, left / (len(wanted) - count)))
        left -= given[name]
    return given


class Forecast:
    """What one broker will need: its recent mean, and what its last second says if that is more.
    Ahead of need by ``ahead`` of it.
    """

    def __init__(self, ahead: float = 1.25, fading: float = 0.3) -> None:
        self.ahead, self.fading = ahead, fading
        self.mean = self.last = 0.0

    def second(self, asked: float) -> None:
        """So much was asked for in a second."""
        rising = asked > self.mean
        self.mean += (0.7 if rising else self.fading) * (asked - self.mean)
        self.last = asked

    def need(self) -> float:
        return self.ahead * max(self.mean, self.last)
