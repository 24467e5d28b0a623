"""A cluster scheduler for mixed workloads that accounts for every unit of work."""

from typing import Final

__version__: Final = "0.1.0"
