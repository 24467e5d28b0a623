"""Decide what follows the end of an attempt: end the task, retry it, or stop the job."""

from dataclasses import dataclass
from enum import StrEnum

from galenastall.coordination.jobs.job_run import JobRun
from galenastall.coordination.jobs.shard_commands import ShardSettings
from galenastall.coordination.placement.task_reports import ReportKind, TaskReport
from galenastall.state.work import TaskPhase


class NextAction(StrEnum):
    """What to do with the task after an attempt."""

    OFFER = "offer"
    """Assign it again at once: it provably never started."""
    RETRY = "retry"
    """Assign it again after a delay."""
    CLOSE = "close"
    """It has finally ended."""
    STOP_JOB = "stop_job"
    """It has finally ended, and no further task of its job is assigned."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Verdict:
    """An action, and the phase in which the task ends if it does."""

    action: NextAction
    phase: TaskPhase = TaskPhase.CANCELLED


def decide_next_action(
    run: JobRun, index: int, report: TaskReport, settings: ShardSettings
) -> Verdict:
    """Return what to do after the last report on an attempt.

    A task that may have run is retried only if it is idempotent; otherwise it ends as failed,
    or as unknown if its outcome is not known.
    """
    if run.is_stopped:
        return Verdict(action=NextAction.CLOSE, phase=phase_when_stopped(run, report.kind))
    if report.kind is ReportKind.RETURNED:
        return Verdict(action=NextAction.OFFER)
    if report.kind is ReportKind.REFUSED:
        action = NextAction.STOP_JOB if report.give_up else NextAction.CLOSE
        return Verdict(action=action, phase=TaskPhase.CANCELLED)
    if report.kind is ReportKind.DONE and not run.is_service:
        return Verdict(action=NextAction.CLOSE, phase=TaskPhase.DONE)
    if run.is_service:
        return Verdict(action=NextAction.RETRY)
    if report.kind is ReportKind.FAILED and is_bad_job(run, index, report, settings):
        return Verdict(action=NextAction.STOP_JOB, phase=TaskPhase.FAILED)
    if run.state.spec.idempotent:
        return Verdict(action=NextAction.RETRY)
    phase = TaskPhase.FAILED if report.kind is ReportKind.FAILED else TaskPhase.UNKNOWN
    return Verdict(action=NextAction.CLOSE, phase=phase)


def phase_when_stopped(run: JobRun, kind: ReportKind) -> TaskPhase:
    """Return the final phase of a task of a stopped job after this last report."""
    if kind is ReportKind.DONE and not run.is_service:
        return TaskPhase.DONE
    if kind is ReportKind.FAILED:
        return TaskPhase.FAILED
    if kind is ReportKind.LOST and not run.state.spec.idempotent:
        return TaskPhase.UNKNOWN
    return run.stop_phase


def is_bad_job(run: JobRun, index: int, report: TaskReport, settings: ShardSettings) -> bool:
    """Return whether the failures point to the job rather than to a worker."""
    workers = {each.worker_id for each in run.failures}
    own = sum(1 for each in run.failures if each.index == index)
    return (
        report.give_up or len(workers) >= settings.bad_job_workers or own >= settings.max_failures
    )


def retry_delay_s(run: JobRun, index: int, settings: ShardSettings) -> float:
    """Return the delay before the next retry; it doubles with each failure and loss of the task.

    A loss may be the worker's fault or the task's: the growing delay limits how many workers a
    task that crashes its workers takes down.
    """
    failures = sum(1 for each in run.failures if each.index == index)
    doublings = min(failures + run.losses_by_index.get(index, 0), 10)
    return min(settings.retry_s * float(2**doublings), settings.max_retry_s)
