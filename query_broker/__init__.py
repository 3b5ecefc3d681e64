"""larchhall: a broker for queries on a pool of data engines, and its admission decisions."""

from .decisions import AdmissionController, Settings

__all__ = ["AdmissionController", "Settings", "__version__"]

__version__ = "0.2.0"
