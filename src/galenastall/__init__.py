"""A cluster scheduler for unlike workloads that can account for every piece of work."""

from typing import Final

__version__: Final = "0.1.0"
