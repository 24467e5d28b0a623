"""Sentences about jobs and tasks."""

from galenastall.coordination.timeline.explain import SENTENCES, cause_clause, join_ids
from galenastall.state.ids import job_of_task
from galenastall.state.timeline import TimelineEvent

_DURABLE_IN = {"log": "the log", "data_centre": "two entry hosts, until the log is back"}


@SENTENCES.register("job.accepted")
def _accepted(event: TimelineEvent) -> str:
    where = _DURABLE_IN.get(event.fields.get("durability", ""), "an unknown place")
    return f"{event.process} accepted job {join_ids(event.subjects)}, durable in {where}"


@SENTENCES.register("job.refused")
def _refused(event: TimelineEvent) -> str:
    return f"{event.process} refused job {join_ids(event.subjects)}{cause_clause(event)}"


@SENTENCES.register("job.not_accepted")
def _not_accepted(event: TimelineEvent) -> str:
    return f"{event.process} could not accept job {join_ids(event.subjects)}{cause_clause(event)}"


@SENTENCES.register("job.cancel")
def _cancel(event: TimelineEvent) -> str:
    return (
        f"{event.process} took the cancellation of job {join_ids(event.subjects)}"
        f"{cause_clause(event)}"
    )


@SENTENCES.register("job.cancelled")
def _cancelled(event: TimelineEvent) -> str:
    return f"{event.process} stopped job {join_ids(event.subjects)}{cause_clause(event)}"


@SENTENCES.register("job.assigned")
def _assigned(event: TimelineEvent) -> str:
    return f"{event.process} gave {_tasks(event)} to {event.peer} to place{cause_clause(event)}"


@SENTENCES.register("job.in_doubt")
def _in_doubt(event: TimelineEvent) -> str:
    job_id, host = (*event.subjects, "", "")[:2]
    return (
        f"{event.process} could not tell what {host} had done of job {job_id}{cause_clause(event)}"
    )


@SENTENCES.register("job.resolved")
def _resolved(event: TimelineEvent) -> str:
    return f"{event.process} queried all hosts about job {join_ids(event.subjects)}: {event.cause}"


@SENTENCES.register("job.duplicate")
def _duplicate(event: TimelineEvent) -> str:
    return f"{_tasks(event)} was found a second time by {_worker_of(event)}, {event.cause}"


@SENTENCES.register("job.waits")
def _waits(event: TimelineEvent) -> str:
    return f"{event.process} let job {join_ids(event.subjects)} wait{cause_clause(event)}"


@SENTENCES.register("worker.start")
def _start(event: TimelineEvent) -> str:
    verb = "was" if len(_task_ids(event)) == 1 else "were"
    return f"{_tasks(event)} {verb} placed on {event.peer} by {event.process}{cause_clause(event)}"


@SENTENCES.register("worker.not_started")
def _not_started(event: TimelineEvent) -> str:
    return f"{_tasks(event)} did not start on {event.peer}{cause_clause(event)}"


@SENTENCES.register("worker.refused")
def _worker_refused(event: TimelineEvent) -> str:
    return f"{event.process} abandoned {_tasks(event)}{cause_clause(event)}"


@SENTENCES.register("worker.ending")
def _ending(event: TimelineEvent) -> str:
    how = event.fields.get("how", "stop")
    return f"{event.process} instructed {event.peer} to {how} {_tasks(event)}{cause_clause(event)}"


@SENTENCES.register("worker.made_way")
def _made_way(event: TimelineEvent) -> str:
    return f"{_tasks(event)} was preempted and waits again at {event.process}"


@SENTENCES.register("job.started")
def _started(event: TimelineEvent) -> str:
    reported_to = (
        f", as {event.peer} reported to {event.process}" if event.peer != event.process else ""
    )
    return f"{_tasks(event)} started on {_worker_of(event)}{reported_to}"


@SENTENCES.register("job.ended")
def _ended(event: TimelineEvent) -> str:
    worker = _worker_of(event)
    at = f" on {worker}" if worker else ""
    return f"{_tasks(event)} ended{at} as {event.cause}"


@SENTENCES.register("job.retry")
def _retry(event: TimelineEvent) -> str:
    return f"{event.process} lets {_tasks(event)} run again{cause_clause(event)}"


@SENTENCES.register("job.gang_retry")
def _gang_retry(event: TimelineEvent) -> str:
    return f"{event.process} restarts the gang {join_ids(event.subjects)}{cause_clause(event)}"


@SENTENCES.register("job.job_ended")
def _job_ended(event: TimelineEvent) -> str:
    why = f": {event.cause}" if event.cause else ""
    return f"{event.process} saw job {join_ids(event.subjects)} end{why}"


def _task_ids(event: TimelineEvent) -> tuple[str, ...]:
    return tuple(each for each in event.subjects if job_of_task(each) is not None)


def _tasks(event: TimelineEvent) -> str:
    tasks = _task_ids(event)
    return f"{'task' if len(tasks) == 1 else 'tasks'} {join_ids(tasks)}"


def _worker_of(event: TimelineEvent) -> str:
    """Return the worker, which is one of the subjects of start and end events."""
    return next((each for each in event.subjects if job_of_task(each) is None), "")
