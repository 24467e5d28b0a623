"""Measures for how long tasks that last have no run, by the rule LOST."""

import asyncio
import time
from dataclasses import dataclass, field

from standin_3.executors import Executors

AFTER_RUN_S = 6.0
"""The rule holds for a task that lasts from this time after its last run on."""
IDLE_S = 3.0
"""A task may have no run for this long then."""
CALM_BEFORE_S = 4.0
"""Calm that the rule asks for before these seconds."""
LOOK_S = 0.02


@dataclass
class IdleWatch:
    """Watches the tasks of jobs that last, once each of them has run."""

    executors: Executors
    calm_since: float = 0.0
    """When the last disruption ended; infinite while one is on."""
    longest_s: dict[str, float] = field(default_factory=dict)
    """The longest time without a run that the rule counts, by task."""
    _last_run_at: dict[str, float] = field(default_factory=dict)

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            now = time.monotonic()
            for executor in self.executors.up():
                for run in executor.runs.values():
                    if run.is_lasting:
                        self._last_run_at[run.task] = now
            for task, at in self._last_run_at.items():
                counted_from = max(at + AFTER_RUN_S, self.calm_since + CALM_BEFORE_S)
                idle_s = now - counted_from
                if now > at and idle_s > self.longest_s.get(task, 0.0):
                    self.longest_s[task] = idle_s
            await asyncio.sleep(LOOK_S)

    def broken(self) -> list[str]:
        """Return the tasks that had no run for too long."""
        return [
            f"LOST: {task} had no run for {idle_s:.2f} s from 6 s after its last one on"
            for task, idle_s in sorted(self.longest_s.items())
            if idle_s >= IDLE_S
        ]
