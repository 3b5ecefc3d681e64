"""Marks methods that override one of a base class, so that the type checker verifies it.

A method that the base class no longer has would otherwise never be called. Python 3.11 has no
`typing.override`, and the program does not depend on `typing_extensions`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from typing_extensions import override as override
else:

    def override(method):
        """Return the method unchanged."""
        return method


__all__ = ["override"]
