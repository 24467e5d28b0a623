"""The checker must accept sound histories and detect each way of corrupting one."""

from collections.abc import Callable
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from galenastall.proof.history import (
    Fault,
    History,
    HistoryEvent,
    HistoryRecorder,
    JobAccepted,
    JobCancelled,
    JobEnded,
    JobSeen,
    OwnershipAct,
    PlannedStop,
    RequestAnswered,
    RequestCut,
    RequestSent,
    RunBegan,
    RunClosed,
    RunEnded,
    SettingAccepted,
    SettingsInForce,
    TaskEnded,
    TaskResized,
    TaskStarted,
    UpstreamLeaving,
    WorkerKnown,
)
from galenastall.proof.invariants import INVARIANTS, check
from galenastall.state.ids import HostId, JobId, OwnableId, RequestId, TaskId
from galenastall.state.outcomes import Outcome
from galenastall.state.resources import Resources

END = 1000.0
CAPACITY = Resources(cores_milli=4000, memory_mb=4000, accelerators=1)
HALF = Resources(cores_milli=2000, memory_mb=2000)
W1, W2 = HostId("w1"), HostId("w2")
E1, E2 = HostId("e1"), HostId("e2")
U1, U2 = HostId("u1"), HostId("u2")


def sound_history(requests: int, tasks: int, changes: int) -> list[HistoryEvent]:
    """Return a history that satisfies every invariant."""
    events: list[HistoryEvent] = [
        WorkerKnown(at=0.0, worker=W1, capacity=CAPACITY),
        WorkerKnown(at=0.0, worker=W2, capacity=CAPACITY),
        UpstreamLeaving(at=500.0, executor=U2),
        PlannedStop(at=600.0, entry_host=E1, until=610.0),
        RunClosed(at=END),
    ]
    for index in range(requests):
        events += request_events(index)
    for index in range(tasks):
        events += task_events(index)
    for index in range(changes):
        events += change_events(index)
    return events


def request_events(index: int) -> list[HistoryEvent]:
    at, request = float(index * 2), RequestId(f"r{index}")
    outcome = list(Outcome)[index % 4]
    runs: list[HistoryEvent] = []
    if outcome is not Outcome.NOT_RUN:
        executor = (U1, U2)[index % 2] if at < 500 else U1
        runs = [
            RunBegan(at=at + 0.1, executor=executor, request_id=request, attempt="1"),
            RunEnded(at=at + 0.2, executor=executor, request_id=request, attempt="1"),
        ]
    return [
        RequestSent(
            at=at,
            request_id=request,
            entry_host=E1,
            idempotent=index % 3 == 0,
            key=f"k{index}" if index % 3 == 1 else "",
            expected_digest=f"d{index}",
        ),
        *runs,
        RequestAnswered(
            at=at + 0.5,
            request_id=request,
            outcome=outcome,
            answered_id=request,
            digest=f"d{index}" if outcome is Outcome.DONE else "",
        ),
    ]


def task_events(index: int) -> list[HistoryEvent]:
    at, worker = float(index * 10), (W1, W2)[index % 2]
    job, task = JobId(f"j{index}"), TaskId(f"j{index}/0")
    started = TaskStarted(
        at=at + 1, worker=worker, task_id=task, attempt=0, reserved=HALF, real=HALF
    )
    over: HistoryEvent = JobEnded(at=at + 30, job_id=job)
    if index % 4 == 3:
        over = JobCancelled(at=at + 30, job_id=job)
    return [
        JobAccepted(at=at, job_id=job, idempotent=index % 2 == 0),
        OwnershipAct(
            at=at + 0.9, entry_host=E1, ownable=OwnableId(f"worker/{worker}"), epoch=7, until=at + 2
        ),
        started,
        JobSeen(at=at + 2, job_id=job, known=True),
        TaskEnded(at=at + 25, worker=worker, task_id=task, attempt=0),
        over,
    ]


def change_events(index: int) -> list[HistoryEvent]:
    at, offset = float(index * 20), index + 1
    return [
        SettingAccepted(at=at, change_id=f"c{index}", path="teams/a", offset=offset),
        *(
            SettingsInForce(
                at=at + 1 + later,
                entry_host=host,
                offset=offset,
                digest=f"s{offset}",
                revisions_by_path={"teams/a": offset},
            )
            for host in (E1, E2)
            for later in (0.0, 6.0)
        ),
    ]


def history_of(events: list[HistoryEvent]) -> History:
    recorder = HistoryRecorder()
    recorder.extend(events)
    return recorder.history()


def broken(events: list[HistoryEvent]) -> set[str]:
    return {violation.invariant for violation in check(history_of(events)).violations}


sizes = st.tuples(st.integers(8, 40), st.integers(4, 12), st.integers(2, 6))
Corruption = Callable[[list[HistoryEvent], int], list[HistoryEvent]]
CORRUPTIONS: list[tuple[str, Corruption]] = []


def corrupts(invariant: str) -> Callable[[Corruption], Corruption]:
    """Register a way to corrupt a sound history, with the invariant that must detect it."""

    def add(corrupt: Corruption) -> Corruption:
        CORRUPTIONS.append((invariant, corrupt))
        return corrupt

    return add


def pick(
    events: list[HistoryEvent], choice: int, kind: type, outcome: Outcome | None = None
) -> int:
    """Return the position of one event of the kind (and outcome), by choice."""
    places = [
        place
        for place, event in enumerate(events)
        if isinstance(event, kind)
        and (outcome is None or (isinstance(event, RequestAnswered) and event.outcome is outcome))
    ]
    return places[choice % len(places)]


def changed(events: list[HistoryEvent], place: int, **fields: object) -> list[HistoryEvent]:
    return [*events[:place], replace(events[place], **fields), *events[place + 1 :]]  # type: ignore[arg-type]  # fields vary by kind


@corrupts("answers-whole-and-own")
def body_of_another(events: list[HistoryEvent], choice: int) -> list[HistoryEvent]:
    return changed(events, pick(events, choice, RequestAnswered, Outcome.DONE), digest="other")


@corrupts("answers-whole-and-own")
def id_of_another(events: list[HistoryEvent], choice: int) -> list[HistoryEvent]:
    return changed(events, pick(events, choice, RequestAnswered), answered_id=RequestId("other"))


@corrupts("answers-whole-and-own")
def answered_twice(events: list[HistoryEvent], choice: int) -> list[HistoryEvent]:
    return [*events, events[pick(events, choice, RequestAnswered)]]


@corrupts("answers-whole-and-own")
def answer_to_nothing(events: list[HistoryEvent], choice: int) -> list[HistoryEvent]:
    place = pick(events, choice, RequestSent)
    return [*events[:place], *events[place + 1 :]]


@corrupts("done-did-run")
def done_without_a_run(events: list[HistoryEvent], choice: int) -> list[HistoryEvent]:
    place = pick(events, choice, RequestAnswered, Outcome.NOT_RUN)
    request = events[place]
    assert isinstance(request, RequestAnswered)
    return changed(
        events, place, outcome=Outcome.DONE, digest=f"d{request.request_id.removeprefix('r')}"
    )


@corrupts("not-run-is-true")
def refused_and_ran_later(events: list[HistoryEvent], choice: int) -> list[HistoryEvent]:
    answer = events[pick(events, choice, RequestAnswered, Outcome.NOT_RUN)]
    assert isinstance(answer, RequestAnswered)
    run = RunBegan(at=END - 1, executor=U1, request_id=answer.request_id, attempt="2")
    return [*events, run]


@corrupts("at-most-once")
def second_run(events: list[HistoryEvent], choice: int) -> list[HistoryEvent]:
    strict = {
        event.request_id
        for event in events
        if isinstance(event, RequestSent) and not event.idempotent
    }
    runs = [each for each in events if isinstance(each, RunBegan) and each.request_id in strict]
    run = runs[choice % len(runs)]
    return [*events, replace(run, executor=U1, at=run.at + 3, attempt="2")]


@corrupts("at-most-once")
def second_request_of_one_key(events: list[HistoryEvent], choice: int) -> list[HistoryEvent]:
    keyed = [e for e in events if isinstance(e, RequestSent) and e.key and not e.idempotent]
    ran = {event.request_id for event in events if isinstance(event, RunBegan)}
    keyed = [event for event in keyed if event.request_id in ran]
    again = replace(keyed[choice % len(keyed)], request_id=RequestId("again"), at=900.0)
    return [
        *events,
        again,
        RunBegan(at=901.0, executor=U1, request_id=again.request_id, attempt="1"),
    ]


@corrupts("leaving-gets-nothing-new")
def late_run(events: list[HistoryEvent], choice: int) -> list[HistoryEvent]:
    run = events[pick(events, choice, RunBegan)]
    return [*events, replace(run, at=503.5 + choice % 400, executor=U2)]  # type: ignore[call-arg]  # a RunBegan


@corrupts("planned-stop-cuts-nothing")
def cut_by_a_stop(events: list[HistoryEvent], choice: int) -> list[HistoryEvent]:
    at = 590.0 + choice % 20
    sent = RequestSent(at=at, request_id=RequestId("late"), entry_host=E1)
    return [*events, sent, RequestCut(at=max(at, 600.0) + 1, request_id=sent.request_id)]


@corrupts("planned-stop-cuts-nothing")
def forgotten_by_a_stop(events: list[HistoryEvent], choice: int) -> list[HistoryEvent]:
    return [*events, RequestSent(at=599.0, request_id=RequestId("late"), entry_host=E1)]


@corrupts("every-request-answered")
def never_answered(events: list[HistoryEvent], choice: int) -> list[HistoryEvent]:
    place = pick(events, choice, RequestAnswered)
    return [*events[:place], *events[place + 1 :]]


@corrupts("capacity-reserved")
def reserved_too_much(events: list[HistoryEvent], choice: int) -> list[HistoryEvent]:
    return changed(events, pick(events, choice, TaskStarted), reserved=CAPACITY + HALF)


@corrupts("capacity-reserved")
def accelerator_given_twice(events: list[HistoryEvent], choice: int) -> list[HistoryEvent]:
    one = Resources(accelerators=1)
    tasks = [
        TaskStarted(
            at=900.0, worker=W1, task_id=TaskId(f"x/{index}"), attempt=0, reserved=one, real=one
        )
        for index in range(2)
    ]
    return [*events, *tasks]


@corrupts("capacity-real")
def grew_too_much(events: list[HistoryEvent], choice: int) -> list[HistoryEvent]:
    start = events[pick(events, choice, TaskStarted)]
    assert isinstance(start, TaskStarted)
    grown = TaskResized(
        at=start.at + 1, worker=start.worker, task_id=start.task_id, real=CAPACITY + HALF
    )
    return [*events, grown]


@corrupts("task-in-one-place")
def started_elsewhere(events: list[HistoryEvent], choice: int) -> list[HistoryEvent]:
    start = events[pick(events, choice, TaskStarted)]
    assert isinstance(start, TaskStarted)
    other = W2 if start.worker == W1 else W1
    return [*events, replace(start, worker=other, at=start.at + 3, attempt=1)]


@corrupts("task-at-most-once")
def started_after_its_end(events: list[HistoryEvent], choice: int) -> list[HistoryEvent]:
    strict = {
        each.job_id for each in events if isinstance(each, JobAccepted) and not each.idempotent
    }
    starts = [
        each
        for each in events
        if isinstance(each, TaskStarted) and each.task_id.split("/")[0] in strict
    ]
    start = starts[choice % len(starts)]
    return [*events, replace(start, at=900.0, attempt=1)]


@corrupts("no-job-lost")
def forgotten_job(events: list[HistoryEvent], choice: int) -> list[HistoryEvent]:
    return changed(events, pick(events, choice, JobSeen), known=False)


@corrupts("no-job-lost")
def unheard_job(events: list[HistoryEvent], choice: int) -> list[HistoryEvent]:
    return [*events, JobAccepted(at=900.0, job_id=JobId("unheard"))]


@corrupts("one-owner-at-an-instant")
def second_owner(events: list[HistoryEvent], choice: int) -> list[HistoryEvent]:
    act = events[pick(events, choice, OwnershipAct)]
    assert isinstance(act, OwnershipAct)
    return [*events, replace(act, entry_host=E2, epoch=9, at=act.at + 0.5, until=act.until + 1)]


@corrupts("one-owner-at-an-instant")
def old_owner_again(events: list[HistoryEvent], choice: int) -> list[HistoryEvent]:
    act = events[pick(events, choice, OwnershipAct)]
    assert isinstance(act, OwnershipAct)
    later = replace(act, entry_host=E2, epoch=3, at=950.0, until=951.0)
    return [*events, later]


@corrupts("settings-monotone")
def went_back(events: list[HistoryEvent], choice: int) -> list[HistoryEvent]:
    last = max(event.offset for event in events if isinstance(event, SettingsInForce))
    return [
        *events,
        SettingsInForce(at=900.0, entry_host=E1, offset=last - 1, digest=f"s{last - 1}"),
    ]


@corrupts("settings-agree")
def two_states(events: list[HistoryEvent], choice: int) -> list[HistoryEvent]:
    return changed(events, pick(events, choice, SettingsInForce), digest="another")


@corrupts("settings-never-revert")
def lost_change(events: list[HistoryEvent], choice: int) -> list[HistoryEvent]:
    return changed(events, pick(events, choice, SettingsInForce), revisions_by_path={"teams/a": 0})


@corrupts("settings-in-force-soon")
def late_change(events: list[HistoryEvent], choice: int) -> list[HistoryEvent]:
    change = SettingAccepted(at=890.0, change_id="late", path="teams/b", offset=99)
    return [*events, change, SettingsInForce(at=896.0, entry_host=E1, offset=6, digest="s6")]


class TestSoundHistories:
    @given(sizes)
    def test_nothing_is_found(self, size: tuple[int, int, int]) -> None:
        verdict = check(history_of(sound_history(*size)))
        assert verdict.violations == ()
        assert set(verdict.checked) == set(INVARIANTS.names())

    @pytest.mark.parametrize(
        "events",
        [
            pytest.param(
                [
                    RequestSent(at=1.0, request_id=RequestId("a"), entry_host=E1),
                    RequestCut(at=2.0, request_id=RequestId("a")),
                    RunClosed(at=9.0),
                ],
                id="a cut that the client saw, of a host that was killed",
            ),
            pytest.param(
                [
                    SettingAccepted(at=1.0, change_id="c", path="p", offset=4),
                    Fault(at=0.0, host="e1", kind="cut", until=8.0),
                    SettingsInForce(at=7.0, entry_host=E1, offset=3, digest="x"),
                ],
                id="a host that was cut off lags",
            ),
            pytest.param(
                [
                    UpstreamLeaving(at=1.0, executor=U1, back_at=20.0),
                    RunBegan(at=3.9, executor=U1, request_id=RequestId("a"), attempt="1"),
                    RunBegan(at=21.0, executor=U1, request_id=RequestId("b"), attempt="1"),
                ],
                id="work within the bound and after the return",
            ),
            pytest.param(
                [
                    WorkerKnown(at=0.0, worker=W1, capacity=CAPACITY),
                    TaskStarted(
                        at=1.0,
                        worker=W1,
                        task_id=TaskId("j/0"),
                        attempt=0,
                        reserved=CAPACITY,
                        real=HALF,
                    ),
                    TaskEnded(at=2.0, worker=W1, task_id=TaskId("j/0"), attempt=0),
                    TaskStarted(
                        at=2.0,
                        worker=W1,
                        task_id=TaskId("j/0"),
                        attempt=1,
                        reserved=CAPACITY,
                        real=HALF,
                    ),
                ],
                id="a task that ends and starts again at one instant",
            ),
            pytest.param(
                [
                    WorkerKnown(at=0.0, worker=W1, capacity=CAPACITY),
                    JobAccepted(at=0.0, job_id=JobId("j"), idempotent=False),
                    TaskStarted(
                        at=1.0,
                        worker=W1,
                        task_id=TaskId("j/0"),
                        attempt=0,
                        reserved=HALF,
                        real=HALF,
                    ),
                    TaskEnded(
                        at=2.0, worker=W1, task_id=TaskId("j/0"), attempt=0, cause="checkpointed"
                    ),
                    TaskStarted(
                        at=3.0,
                        worker=W1,
                        task_id=TaskId("j/0"),
                        attempt=1,
                        reserved=HALF,
                        real=HALF,
                    ),
                ],
                id="a non-idempotent task that goes on from its checkpoint",
            ),
            pytest.param(
                [
                    OwnershipAct(at=1.0, entry_host=E1, ownable=OwnableId("a"), epoch=1, until=2.0),
                    OwnershipAct(at=2.0, entry_host=E2, ownable=OwnableId("a"), epoch=2, until=3.0),
                    OwnershipAct(at=2.5, entry_host=E1, ownable=OwnableId("b"), epoch=1, until=3.0),
                ],
                id="a takeover after the last act, and another ownable",
            ),
        ],
    )
    def test_allowed_edges_pass(self, events: list[HistoryEvent]) -> None:
        narrow = [name for name in INVARIANTS.names() if name != "done-did-run"]
        assert check(history_of(events), names=narrow).violations == ()


class TestCorruptedHistories:
    @pytest.mark.parametrize(
        ("invariant", "corrupt"), CORRUPTIONS, ids=lambda each: getattr(each, "__name__", each)
    )
    @given(size=sizes, choice=st.integers(0, 10_000))
    def test_are_noticed(
        self, invariant: str, corrupt: Corruption, size: tuple[int, int, int], choice: int
    ) -> None:
        assert invariant in broken(corrupt(sound_history(*size), choice))

    def test_every_invariant_has_a_history_that_must_fail(self) -> None:
        assert {invariant for invariant, _ in CORRUPTIONS} == set(INVARIANTS.names())

    def test_a_history_with_dropped_events_proves_nothing(self) -> None:
        verdict = check(History(events=(), dropped=3))
        assert [violation.invariant for violation in verdict.violations] == ["history-whole"]
        assert not verdict.holds

    def test_violations_name_their_events(self) -> None:
        events = late_run(sound_history(8, 4, 2), 1)
        violation = check(history_of(events), names=["leaving-gets-nothing-new"]).violations[0]
        assert [type(event) for event in violation.events] == [UpstreamLeaving, RunBegan]
