"""The fuzzy controller: membership functions, rule table and step.

Source: the paper "Estimating and Enhancing Real-Time Data Service Delays: Control Theoretic
Approaches", variant FZ-D, section 5.1 and table 2. The controller maps the error of the delay and
the change of that error to a step, the change of a bound. Performs no I/O.
"""

from __future__ import annotations

import math

# The paper has nine fuzzy sets, from NVL (negative very large, -4) to PVL (positive very large, 4).
MAX_LEVEL = 4
# Table 2 gives at most "large", except in two corners.
LARGE_LEVEL = 3
# Table 2 gives "very large" if the sum of the input levels is at or beyond one of these. The table
# isn't symmetric.
POSITIVE_CORNER = 5
NEGATIVE_CORNER = -6


def memberships(value: float, max_level: int) -> list[tuple[int, float]]:
    """Return the levels whose fuzzy sets contain a value, each with its degree of membership.

    The sets are triangles with evenly spaced peaks from -1 to 1, so that a value belongs to one or
    two of them and the degrees add up to 1. A value outside [-1, 1] is clamped.

    Args:
        value: The input, in half widths of the fuzzy universe.
        max_level: The level whose peak lies at 1; the lowest level is its negative.
    """
    position = max(-1.0, min(1.0, value)) * max_level
    lower_level = math.floor(position)
    upper_degree = position - lower_level
    if upper_degree == 0:
        return [(lower_level, 1 - upper_degree)]
    return [(lower_level, 1 - upper_degree), (lower_level + 1, upper_degree)]


def output_level(error_level: int, change_level: int) -> int:
    """Return the output level that table 2 of the paper gives for two input levels.

    The table written as a formula: the sum of the levels, limited to "large"; in the two corners
    "very large".
    """
    total = error_level + change_level
    if total >= POSITIVE_CORNER:
        return MAX_LEVEL
    if total <= NEGATIVE_CORNER:
        return -MAX_LEVEL
    return max(-LARGE_LEVEL, min(LARGE_LEVEL, total))


def fuzzy_step(error: float, change: float, max_step: float) -> float:
    """Return the change of the bound for one period.

    The strength of a rule is the minimum of its degrees; the result is the centre of gravity.

    Args:
        error: Target delay minus measured delay, in half widths of the fuzzy universe.
        change: The error minus that of the previous period, in the same unit.
        max_step: The step at the level "positive very large"; the result has the same unit.
    """
    weighted_sum = 0.0
    total_strength = 0.0
    for error_level, error_degree in memberships(error, MAX_LEVEL):
        for change_level, change_degree in memberships(change, MAX_LEVEL):
            centre = output_level(error_level, change_level) / MAX_LEVEL * max_step
            strength = min(error_degree, change_degree)
            weighted_sum += centre * strength
            total_strength += strength
    return weighted_sum / total_strength
