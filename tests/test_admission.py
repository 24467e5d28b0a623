"""The admission queue of an entry host: bounds, order, team shares and drops."""

from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from galenastall.coordination.requests.admission import Admission, AdmissionLimits, WaitingRequest
from galenastall.coordination.requests.rates import ShortestTime
from galenastall.state.ids import RequestId, TeamPath
from galenastall.state.work import Urgency


def waiting(
    name: str,
    *,
    team: str = "a",
    urgency: Urgency = Urgency.NORMAL,
    deadline: float = 100.0,
    service_s: float = 0.0,
) -> WaitingRequest:
    return WaitingRequest(
        request_id=RequestId(name),
        team=TeamPath(team),
        urgency=urgency,
        deadline=deadline,
        service_s=service_s,
    )


def take_all(queue: Admission, *, count: int = 10_000) -> list[WaitingRequest]:
    taken: list[WaitingRequest] = []
    while len(taken) < count and (request := queue.take(now=0.0)) is not None:
        taken.append(request)
    return taken


class TestOrder:
    def test_classes_then_deadlines(self) -> None:
        queue = Admission(limits=AdmissionLimits())
        for name, urgency, deadline in (
            ("late", Urgency.NORMAL, 90.0),
            ("backfill", Urgency.BACKFILL, 1.0),
            ("early", Urgency.NORMAL, 10.0),
            ("urgent", Urgency.URGENT, 99.0),
        ):
            queue.offer(request=waiting(name, urgency=urgency, deadline=deadline), now=0.0)
        assert [one.request_id for one in take_all(queue)] == [
            "urgent",
            "early",
            "late",
            "backfill",
        ]

    def test_backfill_is_not_starved_by_a_full_urgent_queue(self) -> None:
        queue = Admission(limits=AdmissionLimits(lower_class_every=20))
        queue.offer(request=waiting("backfill", urgency=Urgency.BACKFILL), now=0.0)
        for number in range(50):
            queue.offer(request=waiting(f"u{number}", urgency=Urgency.URGENT), now=0.0)
        assert "backfill" in [one.request_id for one in take_all(queue, count=20)]

    @pytest.mark.parametrize(("weight", "expected"), [(1.0, 50), (3.0, 75)])
    def test_teams_share_by_weight_whatever_their_load(self, weight: float, expected: int) -> None:
        limits = AdmissionLimits(waiting=10_000, waiting_per_team=10_000)
        queue = Admission(limits=limits, weights_by_team={TeamPath("small"): weight})
        for number in range(2_000):
            queue.offer(request=waiting(f"l{number}", team="large", service_s=0.01), now=0.0)
        for number in range(200):
            queue.offer(request=waiting(f"s{number}", team="small", service_s=0.01), now=0.0)
        shares = Counter(one.team for one in take_all(queue, count=100))
        assert abs(shares[TeamPath("small")] - expected) <= 1

    def test_a_team_that_was_idle_saves_up_no_share(self) -> None:
        queue = Admission(limits=AdmissionLimits())
        for number in range(100):
            queue.offer(request=waiting(f"b{number}", team="busy"), now=0.0)
        take_all(queue, count=50)
        for number in range(50):
            queue.offer(request=waiting(f"i{number}", team="idle"), now=0.0)
        shares = Counter(one.team for one in take_all(queue, count=20))
        assert abs(shares[TeamPath("idle")] - 10) <= 1


class TestRefusal:
    def test_full_queue_refuses_with_a_hint_from_the_measured_drain(self) -> None:
        queue = Admission(limits=AdmissionLimits(waiting=100))
        for number in range(100):
            queue.offer(request=waiting(str(number)), now=0.0)
        for step in range(51):
            queue.take(now=step * 0.1)
        for number in range(51):
            queue.offer(request=waiting(f"more{number}"), now=5.0)
        refusal = queue.offer(request=waiting("last"), now=5.0).refusal
        assert refusal is not None
        assert refusal.reason == "queue_full"
        assert refusal.retry_after_s == pytest.approx(5.0, rel=0.05)

    def test_urgent_displaces_backfill_from_a_full_queue(self) -> None:
        queue = Admission(limits=AdmissionLimits(waiting=2))
        queue.offer(request=waiting("n"), now=0.0)
        queue.offer(request=waiting("b", urgency=Urgency.BACKFILL), now=0.0)
        offered = queue.offer(request=waiting("u", urgency=Urgency.URGENT), now=0.0)
        assert offered.displaced is not None
        assert offered.displaced.request_id == "b"
        assert len(queue) == 2

    def test_one_team_cannot_fill_the_queue(self) -> None:
        queue = Admission(limits=AdmissionLimits(waiting_per_team=1))
        queue.offer(request=waiting("1"), now=0.0)
        refusal = queue.offer(request=waiting("2"), now=0.0).refusal
        assert refusal is not None
        assert refusal.reason == "team_queue_full"
        assert queue.offer(request=waiting("3", team="b"), now=0.0).refusal is None

    def test_a_deadline_behind_the_queue_is_refused_at_once(self) -> None:
        queue = Admission(limits=AdmissionLimits())
        for number in range(200):
            queue.offer(request=waiting(str(number), deadline=1_000.0), now=0.0)
        for step in range(100):
            queue.take(now=step * 1.0)
        refusal = queue.offer(request=waiting("hopeless", deadline=250.0), now=99.0).refusal
        assert refusal is not None
        assert refusal.reason == "would_miss_deadline"
        assert queue.offer(request=waiting("fine", deadline=350.0), now=99.0).refusal is None


class TestDrop:
    def test_requests_that_cannot_meet_their_deadline_are_dropped_before_it(self) -> None:
        queue = Admission(limits=AdmissionLimits())
        queue.offer(request=waiting("slow", deadline=10.0, service_s=4.0), now=0.0)
        queue.offer(request=waiting("quick", deadline=10.0), now=0.0)
        assert queue.next_expiry == 6.0
        assert [one.request_id for one in queue.expire(now=6.0)] == ["slow"]
        assert [one.request_id for one in take_all(queue)] == ["quick"]

    def test_the_estimate_errs_low(self) -> None:
        shortest = ShortestTime()
        for seconds in (1.0, 5.0, 9.0, 0.5, 8.0):
            shortest.note(operation="pack", seconds=seconds)
        assert shortest.seconds("pack") < 1.5
        assert shortest.seconds("never seen") == 0.0

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["offer", "take", "withdraw", "expire"]),
                st.integers(0, 7),
                st.sampled_from(list(Urgency)),
                st.sampled_from(["a", "b", "c"]),
            ),
            max_size=80,
        )
    )
    def test_each_request_leaves_the_queue_exactly_once(
        self, steps: list[tuple[str, int, Urgency, str]]
    ) -> None:
        queue = Admission(limits=AdmissionLimits(waiting=6, waiting_per_team=4))
        inside: set[str] = set()
        for now, (step, number, urgency, team) in enumerate(steps):
            name = str(number)
            if step == "offer" and name not in inside:
                request = waiting(name, team=team, urgency=urgency, deadline=now + 1 + 2 * number)
                offered = queue.offer(request=request, now=float(now))
                if offered.refusal is None:
                    inside.add(name)
                if offered.displaced is not None:
                    inside.remove(offered.displaced.request_id)
            if step == "take" and (taken := queue.take(now=float(now))) is not None:
                inside.remove(taken.request_id)
            if step == "withdraw":
                assert (queue.withdraw(RequestId(name)) is not None) == (name in inside)
                inside.discard(name)
            if step == "expire":
                inside -= {one.request_id for one in queue.expire(now=float(now))}
            assert len(queue) == len(inside) <= 6
            assert sum(queue.waiting_of(one) for one in Urgency) == len(inside)


class TestOvertaken:
    def overtaken(self, *, urgent_every: int, deadline: float = 30.0) -> Admission:
        """Return a queue that dispatches 10/s, in which urgent ones overtake ten of backfill."""
        queue = Admission(limits=AdmissionLimits(wait_share=1.0, lower_class_every=1_000))
        for number in range(10):
            request = waiting(f"b{number}", urgency=Urgency.BACKFILL, deadline=deadline)
            queue.offer(request=request, now=0.0)
        for step in range(1, 101):
            if step % urgent_every == 0:
                request = waiting(f"u{step}", urgency=Urgency.URGENT)
                queue.offer(request=request, now=step / 10)
                assert queue.take(now=step / 10) == request
        return queue

    def test_overtaken_requests_are_dropped_long_before_their_deadline(self) -> None:
        queue = self.overtaken(urgent_every=1)
        given_up = queue.drop_overtaken(now=10.0)
        assert 0 < len(given_up) < 10
        assert {one.urgency for one in given_up} == {Urgency.BACKFILL}
        assert len(queue) == 10 - len(given_up)
        assert queue.drop_overtaken(now=10.0) == []

    def test_the_head_of_the_queue_and_long_deadlines_are_kept(self) -> None:
        assert self.overtaken(urgent_every=1).waiting_of(Urgency.BACKFILL) == 10
        assert self.overtaken(urgent_every=1, deadline=1e9).drop_overtaken(now=10.0) == []

    def test_a_new_request_that_would_be_overtaken_is_refused(self) -> None:
        queue = self.overtaken(urgent_every=1)
        late = waiting("new", urgency=Urgency.BACKFILL, deadline=30.0)
        refused = queue.offer(request=late, now=10.0).refusal
        assert refused is not None
        assert refused.reason == "would_miss_deadline"
        normal = waiting("normal", deadline=30.0)
        assert queue.offer(request=normal, now=10.0).refusal is None

    def test_nothing_is_dropped_before_a_rate_is_known(self) -> None:
        queue = Admission(limits=AdmissionLimits())
        queue.offer(request=waiting("b", urgency=Urgency.BACKFILL, deadline=0.1), now=0.0)
        assert queue.drop_overtaken(now=0.05) == []
