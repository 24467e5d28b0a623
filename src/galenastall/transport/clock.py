"""Clock of the runtime: trio's time, with wall time anchored once at start."""

import time

import trio


class TrioClock:
    """Clock based on trio's time, so that a mock clock advances both readings."""

    def __init__(self, *, wall_at_start: float | None = None) -> None:
        """Anchor wall time; `wall_at_start` (seconds since 1970) replaces system time in tests.

        Must be called inside a trio run.
        """
        wall = time.time() if wall_at_start is None else wall_at_start
        self._offset = wall - trio.current_time()

    def now(self) -> float:
        """Return trio's time in seconds."""
        return trio.current_time()

    def wall(self) -> float:
        """Return seconds since 1970."""
        return trio.current_time() + self._offset
