"""Space an entry host's appends, so that the whole fleet stays within one append budget.

Every entry host spaces its appends by live entry hosts / budget. No shares are negotiated: the
hosts need only about the same count, and a host that counts too few overspends in proportion.
"""

from dataclasses import dataclass
from typing import Final

DEFAULT_BUDGET_PER_S: Final = 150.0
DEFAULT_GATHER_S: Final = 0.005
DEFAULT_MAX_WINDOW_S: Final = 2.0


@dataclass(frozen=True, kw_only=True, slots=True)
class WindowLimits:
    """Bounds of the append window; from the shared settings."""

    budget_per_s: float = DEFAULT_BUDGET_PER_S
    """Appends per second of the whole fleet over all streams."""
    gather_s: float = DEFAULT_GATHER_S
    """Shortest wait to batch records, in seconds; the whole wait while the log is idle."""
    max_window_s: float = DEFAULT_MAX_WINDOW_S
    """Spacing in seconds above which the budget is too small; the spacing applies all the same."""


class AppendWindow:
    """Spacing of one entry host's appends, over all its streams."""

    def __init__(self) -> None:
        self._last_at: float | None = None

    def spacing_s(self, *, limits: WindowLimits, live_hosts: int) -> float:
        """Return the minimum time between two appends of this host, in seconds."""
        return max(limits.gather_s, max(1, live_hosts) / limits.budget_per_s)

    def reserve(self, *, now: float, limits: WindowLimits, live_hosts: int) -> float:
        """Return when the next append may be sent, and count it as sent then.

        After idle time that is a short wait to batch records; under load it is one spacing
        after the last append. Over any T seconds a host thus sends at most T / spacing + 1
        appends.
        """
        earliest = now + limits.gather_s
        if self._last_at is not None:
            spacing = self.spacing_s(limits=limits, live_hosts=live_hosts)
            earliest = max(earliest, self._last_at + spacing)
        self._last_at = earliest
        return earliest
