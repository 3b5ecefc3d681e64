"""larchhall: admission decisions for queries on a pool of engines."""

from .brain import AdmissionController
from .interface import Settings

__all__ = ["AdmissionController", "Settings"]
