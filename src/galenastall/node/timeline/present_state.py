"""Sentences on the current state of an id, as far as this entry host can determine it."""

from galenastall.node.jobs.job_intake import JobIntake
from galenastall.node.requests.request_table import RequestStatus, RequestTable
from galenastall.state.ids import JobId, RequestId, job_of_task


class PresentState:
    """Describes the state of jobs of this data centre and of requests of this entry host."""

    def __init__(self, *, jobs: JobIntake, requests: RequestTable) -> None:
        """Use these sources."""
        self._jobs = jobs
        self._requests = requests

    async def describe(self, subject: str) -> tuple[str, ...]:
        """Return sentences on an id; none if it is not known here."""
        if self._jobs.find(JobId(job_of_task(subject) or subject)) is not None:
            return await self._jobs.explain(subject)
        status = self._requests.get(RequestId(subject))
        return () if status is None else (_describe_request(status),)


def _describe_request(status: RequestStatus) -> str:
    name = f"Request {status.request_id}"
    if status.outcome is not None:
        reason = f": {status.reason.value.replace('_', ' ')}" if status.reason else ""
        return f"{name} has ended as {status.outcome.value.replace('_', ' ')}{reason}."
    if status.state == "sent":
        return f"{name} is at {status.upstream}, attempt {status.attempts}."
    return f"{name} waits for a slot."
