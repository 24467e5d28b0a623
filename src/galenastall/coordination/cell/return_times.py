"""Decides when a refused caller should return; pure.

Guards against this failure: all callers refused in an outage of the store, or without a leader,
were told to return after a second, so one that retries four times used up its tries in 4 s although
its job had time for an outage of 8 s.

Load pattern: hundreds of callers a second refused for the length of an outage, each with a limited
number of retries. The retries of a job are spread over the time in which it can still be started in
time. A job with less time returns sooner, so after an outage the most pressing callers come first.

Limits: the job's objective, less its declared critical path and a takeover; what the caller has
said that it still waits; the whole seconds of the `Retry-After` header.
"""

from math import floor
from typing import Final
from zlib import crc32

from galenastall.coordination.cell.objectives import longest_chain_s, objective_at
from galenastall.state.cell.jobs import CellJob

SHORTEST_RETURN_S: Final = 1.0
"""The least that a response can say; by then most takeovers have finished."""
LONGEST_RETURN_S: Final = 15.0
"""Callers with hours to spare are served once an outage is over, not after a quarter of them."""
TAKEOVER_S: Final = 1.1
"""What the last try may still have to wait for a leader."""
RETRIES: Final = 4
"""Retries over which the time is spread; how many a caller makes is not known."""
CALLER_SHARE: Final = 1 / 3
"""Largest share of the time that a caller still waits: most of it is left for further tries."""


def return_after_s(job: CellJob, *, caller_waits_s: float | None = None) -> float:
    """Return after how many whole seconds the caller of a refused job should return.

    `caller_waits_s`: for how long it still waits, over all its tries; None if it has not said so.
    """
    if job.recurrence is not None or any(step.is_long_running for step in job.steps):
        return SHORTEST_RETURN_S
    limit_s = min((_slack_s(job) - TAKEOVER_S) / RETRIES, LONGEST_RETURN_S)
    if caller_waits_s is not None:
        limit_s = min(limit_s, CALLER_SHARE * caller_waits_s)
    if not limit_s > SHORTEST_RETURN_S:
        return SHORTEST_RETURN_S
    told_s = floor(limit_s + _fraction_of(job))
    if caller_waits_s is not None:
        told_s = min(told_s, floor(CALLER_SHARE * caller_waits_s))
    return max(float(told_s), SHORTEST_RETURN_S)


def _slack_s(job: CellJob) -> float:
    """Return how much later the job may start and still meet its objective."""
    allowed_s = objective_at(steps=job.steps, queue=job.queue, begins_at=0.0)
    return allowed_s - longest_chain_s(job.steps, job.queue)


def _fraction_of(job: CellJob) -> float:
    """Return a number from 0 to 1 that differs between jobs, and between tries of one job.

    Rounding by it spreads the returns of callers that were refused together, around the limit.
    """
    text = f"{job.job_id}@{job.submitted_at:.0f}"
    return crc32(text.encode()) / 2**32
