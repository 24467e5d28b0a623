"""Which speed a waiting step wants of the executors that it starts on.

Urgent work goes to the fast ones. Work with time to spare goes to the slow ones, as far as it is
still done in time there, and leaves the fast ones to work that needs them.
"""

from dataclasses import dataclass
from math import inf
from typing import Final

from galenastall.coordination.cell.executor_speeds import ExecutorSpeeds
from galenastall.coordination.cell.executors import Executor
from galenastall.coordination.cell.objectives import longest_chain_s, worthless_at
from galenastall.coordination.cell.wait_queue import WaitingStep

AFTER_ALL_LEVELS: Final = 100
TIME_MARGIN: Final = 1.5
"""A step has time to spare on an executor if this multiple of its expected time is left: declared
times are off, and its tasks differ."""


@dataclass(frozen=True, kw_only=True, slots=True)
class SpeedWish:
    """Order in which a step takes executors of several speeds; no order while speeds are alike."""

    speeds: ExecutorSpeeds | None = None
    """None while speeds are alike, so that nothing depends on them."""
    prefers_fast: bool = False
    spare_speed: float = inf
    """The lowest speed at which the step has time to spare; infinite if there is none."""
    done_by: float = inf
    """Leader's time by which the step has to be done."""

    def is_in_time(self, end: float) -> bool:
        """Whether a step that ends then, by its declared time, is in time."""
        return end <= self.done_by

    def level_of(self, executor: Executor) -> int:
        """Return the level of the executor's speed; 0 while speeds are alike."""
        return 0 if self.speeds is None else self.speeds.level_of(executor.info.host)

    def rank(self, executor: Executor) -> int:
        """Return the executor's place among others by speed, the wanted ones first.

        The slowest on which there is time to spare comes first, and then faster ones; those on
        which there is none come last, the fastest of them first.
        """
        level = self.level_of(executor)
        if self.prefers_fast:
            return -level
        return level if self.speed_of(executor) >= self.spare_speed else AFTER_ALL_LEVELS - level

    def speed_of(self, executor: Executor) -> float:
        """Return the executor's speed; 1.0 while speeds are alike."""
        return 1.0 if self.speeds is None else self.speeds.of(executor.info.host)


ANY_SPEED: Final = SpeedWish()


def wish_of(waiting: WaitingStep, speeds: ExecutorSpeeds) -> SpeedWish:
    """Return the speed that a step wants."""
    if not speeds.is_in_use:
        return ANY_SPEED
    left_s = _left_s(waiting)
    done_by = waiting.now + left_s
    if waiting.is_urgent:
        return SpeedWish(speeds=speeds, prefers_fast=True, done_by=done_by)
    spare_speed = TIME_MARGIN * waiting.step.step.estimate_s / left_s if left_s > 0.0 else inf
    return SpeedWish(
        speeds=speeds,
        prefers_fast=spare_speed > 1.0 and not waiting.is_worthless,
        spare_speed=spare_speed,
        done_by=done_by,
    )


def _left_s(waiting: WaitingStep) -> float:
    """Return the time until a step has to be done, so that the later ones have theirs."""
    steps = tuple(each.step for each in waiting.occurrence.steps)
    index = waiting.step.key.step
    begun = longest_chain_s(steps[: index + 1], waiting.queue)
    later_s = longest_chain_s(steps, waiting.queue) - begun
    return _time_left_s(waiting) - later_s


def _time_left_s(waiting: WaitingStep) -> float:
    """Return the time until the objective of a step's job, in seconds; negative after it."""
    objective, begins_at = waiting.occurrence.objective, waiting.occurrence.begins_at
    worthless_in_s = -waiting.worthless_s
    return worthless_in_s - (worthless_at(objective=objective, begins_at=begins_at) - objective)
