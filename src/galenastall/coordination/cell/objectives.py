"""When a job should be done, and how its lateness ranks waiting steps."""

from typing import Final

from galenastall.state.cell.jobs import Queue, Step

ADVISED_EXECUTORS: Final = 30
"""Maximum executors that one advice call names by default; objectives assume calls of this size."""


def longest_chain_s(steps: tuple[Step, ...], queue: Queue) -> float:
    """Return the longest chain of declared run times, including one advice call a step."""
    advice_s = 0.0
    if queue.advisor is not None:
        advice_s = queue.advisor.base_s + ADVISED_EXECUTORS * queue.advisor.per_executor_s
    ends: list[float] = []
    for step in steps:
        begins = max((ends[earlier] for earlier in step.after), default=0.0)
        ends.append(begins + step.estimate_s + advice_s)
    return max(ends, default=0.0)


def objective_at(*, steps: tuple[Step, ...], queue: Queue, begins_at: float) -> float:
    """Return the wall time by which an occurrence that begins at `begins_at` should be done."""
    return begins_at + queue.stretch * longest_chain_s(steps, queue) + queue.target_s


def lateness_rank(*, objective: float, begins_at: float, now: float) -> int:
    """Return 0 up to the objective, 1 after it, 2 after three times the time that it allows.

    Work past its objective earns a fifth of its value, and past three times the time nothing.
    """
    if now <= objective:
        return 0
    return 1 if now <= worthless_at(objective=objective, begins_at=begins_at) else 2


def worthless_at(*, objective: float, begins_at: float) -> float:
    """Return the wall time from which work earns nothing."""
    return begins_at + 3.0 * (objective - begins_at)
