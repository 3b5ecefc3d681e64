"""The fuzzy controller of the paper: membership functions, rule table and step.

Source: "Estimating and Enhancing Real-Time Data Service Delays: Control Theoretic Approaches",
variant FZ-D, section 5.1 and table 2. A step maps the error of the delay and the change of that
error to the change of a bound. Performs no I/O.
"""

from __future__ import annotations

import math

# The paper has nine fuzzy sets, from NVL (negative very large, -4) to PVL (positive very large, 4).
TOP_LEVEL = 4
# Table 2 gives no more than "large" except in its two corners.
LARGE_LEVEL = 3
# Sums of the two input levels from which table 2 gives "very large"; the table isn't symmetric.
POSITIVE_CORNER = 5
NEGATIVE_CORNER = -6


def memberships(value: float, top_level: int) -> list[tuple[int, float]]:
    """Return the levels that a value belongs to, each with its degree of membership.

    The sets are triangles whose peaks lie evenly from -1 to 1, so that a value belongs to one or
    two of them and the degrees add up to 1. A value outside [-1, 1] counts as the nearer end.

    Args:
        value: The input, in half widths of the fuzzy universe.
        top_level: The level whose peak lies at 1; the lowest level is its negative.
    """
    position = max(-1.0, min(1.0, value)) * top_level
    lower_level = math.floor(position)
    upper_degree = position - lower_level
    if upper_degree == 0:
        return [(lower_level, 1 - upper_degree)]
    return [(lower_level, 1 - upper_degree), (lower_level + 1, upper_degree)]


def output_level(error_level: int, change_level: int) -> int:
    """Return the output level that table 2 of the paper gives for two input levels.

    The table as a formula: the sum of the levels, limited to "large", and "very large" in the two
    corners.
    """
    total = error_level + change_level
    if total >= POSITIVE_CORNER:
        return TOP_LEVEL
    if total <= NEGATIVE_CORNER:
        return -TOP_LEVEL
    return max(-LARGE_LEVEL, min(LARGE_LEVEL, total))


def fuzzy_step(error: float, change: float, largest_step: float) -> float:
    """Return the change of the bound for one period.

    Infers at minimum strength and defuzzifies by the centre of gravity.

    Args:
        error: Wanted delay minus measured delay, in half widths of the fuzzy universe.
        change: The error minus that of the period before, in the same unit.
        largest_step: The step at the level "positive very large"; the result has its unit.
    """
    weighted_sum = 0.0
    total_strength = 0.0
    for error_level, error_degree in memberships(error, TOP_LEVEL):
        for change_level, change_degree in memberships(change, TOP_LEVEL):
            centre = output_level(error_level, change_level) / TOP_LEVEL * largest_step
            strength = min(error_degree, change_degree)
            weighted_sum += centre * strength
            total_strength += strength
    return weighted_sum / total_strength
