"""Counts of a gang that a new leader lacked.

One failed run of a gang counts once, however many members failed. The number of the run that had
been counted was in the leader's memory alone: if the next leader read the second end of that run,
it counted the run again, and the job was shown as failed after one failed run.
"""

import pytest
from msgspec.structs import replace

from cell.rig import JOB, Harness, make_info, make_job, make_step
from galenastall.coordination.cell.commands import StartOrder
from galenastall.coordination.cell.crashes import SUSPECT_STARTUP_S
from galenastall.coordination.cell.listings import ListedEnd, ListedRun
from galenastall.state.cell.phases import JobPhase, RunEnd
from galenastall.state.cell.rows import PROGRESS_PREFIX, GangRow, decode_rows, encode_progress

MEMBERS = 4
LISTED_EVERY_S = 0.5


class Terms:
    """A gang with one member on each executor, and leaders that follow each other."""

    def __init__(self, *, members: int = MEMBERS) -> None:
        self.infos = tuple(make_info(f"e{number}") for number in range(members))
        self.leader = Harness(*self.infos)
        self.leader.submit(make_job(make_step(members, cores=4000, is_gang=True)))
        self.ends_by_id: dict[str, list[ListedEnd]] = {info.executor_id: [] for info in self.infos}

    def start(self) -> list[StartOrder]:
        orders = self.leader.step()
        self.leader.confirm_starts(orders)
        return orders

    def list_end(self, order: StartOrder, how: RunEnd) -> None:
        """Have an executor list an end from now on."""
        ends = self.ends_by_id[order.executor_id]
        position = 1 + len(ends)
        ends.append(ListedEnd(position=position, task=order.task, run=order.run, end=how))

    def read(self, *executor_ids: str) -> None:
        """Have the leader read the listings of executors that run nothing any more."""
        for executor_id in executor_ids:
            self.leader.listing(executor_id, (), *self.ends_by_id[executor_id])

    def replace_leader(self, *, reached: int) -> None:
        """Lose the leader; the next one reaches the first `reached` executors."""
        now = self.leader.now
        self.leader = Harness(rows=self.leader.rows)
        self.leader.now = now
        self.leader.update_fleet(*self.infos)
        self.read(*(info.executor_id for info in self.infos[:reached]))

    def phase(self) -> JobPhase:
        return self.leader.core.jobs_by_id[JOB].phase


class TestFailedRunsOfGangs:
    @pytest.mark.parametrize("takeovers", [1, 2])
    @pytest.mark.parametrize(("members", "reached"), [(2, 1), (4, 2), (4, 3)])
    def test_a_run_whose_ends_are_read_by_several_leaders_counts_once(
        self, members: int, reached: int, takeovers: int
    ) -> None:
        terms = Terms(members=members)
        orders = terms.start()
        for order in orders:
            terms.list_end(order, RunEnd.FAILED)
        terms.read(*(order.executor_id for order in orders[:reached]))
        terms.leader.commit()
        for _ in range(takeovers):
            terms.replace_leader(reached=reached)
            terms.leader.commit()
        terms.read(*terms.ends_by_id)
        assert terms.phase() is JobPhase.QUEUED
        assert [order.run for order in terms.start()] == [2] * members

    def test_a_gang_that_fails_again_has_no_third_run(self) -> None:
        terms = Terms()
        for _ in range(2):
            for order in terms.start():
                terms.list_end(order, RunEnd.FAILED)
            terms.read("e0", "e1")
            terms.leader.commit()
            terms.replace_leader(reached=2)
            terms.read(*terms.ends_by_id)
        assert terms.start() == []
        assert terms.phase() is JobPhase.FAILED

    def test_a_second_failure_that_only_the_next_leader_reads_is_counted(self) -> None:
        terms = Terms()
        for order in terms.start():
            terms.list_end(order, RunEnd.FAILED)
        terms.read(*terms.ends_by_id)
        for order in terms.start():
            terms.list_end(order, RunEnd.FAILED)
        terms.replace_leader(reached=MEMBERS)
        assert terms.phase() is JobPhase.FAILED

    def test_an_end_that_is_read_again_counts_once(self) -> None:
        """The end's effect is durable, and its executor has not been told so."""
        terms = Terms()
        for order in terms.start():
            terms.list_end(order, RunEnd.FAILED)
        terms.read(*terms.ends_by_id)
        terms.leader.commit()
        terms.replace_leader(reached=MEMBERS)
        assert terms.phase() is JobPhase.QUEUED
        terms.start()
        terms.replace_leader(reached=0)
        for executor_id, ends in terms.ends_by_id.items():
            running = tuple(ListedRun(task=end.task, run=2) for end in ends)
            terms.leader.listing(executor_id, running, *ends)
        assert terms.phase() is JobPhase.QUEUED

    def test_progress_without_a_failed_run_has_no_row_of_the_gang(self) -> None:
        terms = Terms()
        terms.start()
        rows = decode_rows(terms.leader.rows)
        assert rows.progress_by_id[JOB].gangs == ()

    def test_the_counted_run_is_in_the_progress(self) -> None:
        terms = Terms()
        order = terms.start()[0]
        terms.list_end(order, RunEnd.FAILED)
        terms.read(order.executor_id)
        terms.leader.commit()
        progress = decode_rows(terms.leader.rows).progress_by_id[JOB]
        assert progress.gangs == (GangRow(occurrence=0, step=0, failed_run=1),)
        assert PROGRESS_PREFIX + JOB in terms.leader.rows


class TestMembersLeftRunning:
    def test_the_next_leader_stops_members_of_a_run_that_has_failed(self) -> None:
        terms = Terms(members=2)
        first, second = terms.start()
        terms.list_end(first, RunEnd.FAILED)
        terms.read(first.executor_id)
        terms.leader.commit()
        terms.replace_leader(reached=0)
        terms.read(first.executor_id)
        running = ListedRun(task=second.task, run=second.run, percent=40)
        terms.leader.listing(second.executor_id, (running,))
        assert [stop.task for stop in terms.leader.stops()] == [second.task]

    def test_members_of_a_run_in_which_none_has_ended_go_on(self) -> None:
        terms = Terms(members=2)
        orders = terms.start()
        terms.replace_leader(reached=0)
        for order in orders:
            running = ListedRun(task=order.task, run=order.run, percent=40)
            terms.leader.listing(order.executor_id, (running,))
        assert terms.leader.stops() == []


class TestSuspectMembers:
    def test_the_next_leader_polls_their_executors_from_the_start(self) -> None:
        terms = Terms(members=2)
        for order in terms.start():
            terms.list_end(order, RunEnd.BROKEN)
        terms.read(*terms.ends_by_id)
        terms.leader.commit()
        stored = terms.leader.core.jobs_by_id[JOB].row()
        suspects = tuple(replace(task, is_suspect=True) for task in stored.tasks)
        rows = terms.leader.rows
        rows[PROGRESS_PREFIX + JOB] = encode_progress(replace(stored, tasks=suspects))
        terms.replace_leader(reached=2)
        for order in terms.start():
            running = ListedRun(task=order.task, run=order.run)
            terms.leader.listing(order.executor_id, (running,))
        terms.leader.now += 2 * SUSPECT_STARTUP_S
        terms.leader.step()
        for info in terms.infos:
            assert terms.leader.core.executors_by_id[info.executor_id].needs_listing


class TestStalledRuns:
    """Each run stopped as stalled doubles the stall timeout of the next, whoever leads then."""

    def stopped_after_s(self, terms: Terms, orders: list[StartOrder]) -> float:
        """List runs at 40% until they are stopped; return the seconds."""
        began_at = terms.leader.now
        while terms.leader.now - began_at < 60.0:
            for order in orders:
                ends = terms.ends_by_id[order.executor_id]
                running = ListedRun(task=order.task, run=order.run, percent=40)
                terms.leader.listing(order.executor_id, (running,), *ends)
            if terms.leader.stops():
                break
            terms.leader.now += LISTED_EVERY_S
        return terms.leader.now - began_at

    @pytest.mark.parametrize("members", [1, 2])
    def test_the_next_leader_waits_longer_for_a_run_that_stalled_before(self, members: int) -> None:
        terms = Terms(members=members)
        waits: list[float] = []
        for _ in range(4):
            orders = terms.start()
            waits.append(self.stopped_after_s(terms, orders))
            for order in orders:
                terms.list_end(order, RunEnd.STOPPED)
            terms.read(*terms.ends_by_id)
            terms.leader.commit()
            terms.replace_leader(reached=members)
        assert waits == [pytest.approx(3.0 * 2.0**n, abs=2 * LISTED_EVERY_S) for n in range(4)]

    def test_a_run_that_is_being_stopped_does_not_count_yet(self) -> None:
        terms = Terms(members=1)
        orders = terms.start()
        self.stopped_after_s(terms, orders)
        assert terms.leader.core.jobs_by_id[JOB].row().stalls == ()
