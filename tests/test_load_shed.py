"""Load shedding by event loop lateness: when it begins, which requests it spares, when it ends."""

from typing import Any

import pytest

from galenastall.coordination.requests.load_shed import SAMPLES, LoadShedder, ShedLimits
from galenastall.node.requests.load_guard import LoadGuard
from galenastall.node.requests.request_types import RequestCounters, RequestReason
from galenastall.state.outcomes import Outcome
from galenastall.transport.clock import TrioClock


def shedder_after(*, late_s: float, seconds: float) -> LoadShedder:
    """Return a shedder that measured a constant lateness for some seconds."""
    shedder = LoadShedder()
    for _ in range(round(seconds / 0.01)):
        shedder.note(late_s=late_s, span_s=0.01)
    return shedder


def refused_of(shedder: LoadShedder, *, urgent: bool, count: int = 1_000) -> int:
    """Return how many of `count` requests are refused."""
    return sum(shedder.refuses(urgent=urgent, open_requests=1) for _ in range(count))


class TestLoadShedder:
    @pytest.mark.parametrize("late_s", [0.0, 0.005])
    def test_a_loop_that_keeps_up_refuses_nothing(self, late_s: float) -> None:
        assert refused_of(shedder_after(late_s=late_s, seconds=10), urgent=False) == 0

    def test_a_burst_or_a_pause_is_no_overload(self) -> None:
        shedder = shedder_after(late_s=0.0, seconds=1)
        for _ in range(SAMPLES - 1):
            shedder.note(late_s=20.0, span_s=20.0)
        assert refused_of(shedder, urgent=False) == 0

    def test_sustained_lateness_is_refused_evenly_up_to_the_bound(self) -> None:
        shedder = shedder_after(late_s=0.05, seconds=10)
        assert refused_of(shedder, urgent=False) == pytest.approx(950, abs=1)

    def test_urgent_requests_are_spared_until_the_share_is_high(self) -> None:
        assert refused_of(shedder_after(late_s=0.05, seconds=0.3), urgent=True) == 0
        assert 400 < refused_of(shedder_after(late_s=0.05, seconds=10), urgent=True) < 500

    def test_all_requests_are_accepted_again_once_the_loop_keeps_up(self) -> None:
        shedder = shedder_after(late_s=0.05, seconds=10)
        for _ in range(300):
            shedder.note(late_s=0.0, span_s=0.01)
        assert refused_of(shedder, urgent=False) == 0

    def test_a_bound_on_open_requests_holds_for_every_class(self) -> None:
        shedder = LoadShedder(limits=ShedLimits(open_requests=3))
        assert not shedder.refuses(urgent=True, open_requests=3)
        assert shedder.refuses(urgent=True, open_requests=4)


def scope_of(path: bytes, headers: list[tuple[bytes, bytes]]) -> dict[str, Any]:
    """Return the part of an ASGI scope that the guard reads."""
    return {"method": "POST", "raw_path": path, "headers": headers}


class TestLoadGuard:
    def guard(self) -> tuple[LoadGuard, RequestCounters]:
        """Return a guard that refuses every request it may, as no open request is allowed."""
        counters = RequestCounters()
        shedder = LoadShedder(limits=ShedLimits(open_requests=0))
        return LoadGuard(clock=TrioClock(), counters=counters, shedder=shedder), counters

    async def test_a_refusal_returns_not_run_and_a_retry_time(self) -> None:
        guard, counters = self.guard()
        scope = scope_of(b"/v1/requests/find", [(b"galenastall-request-id", b"r7")])
        refusal = guard.check(scope, 1)
        assert refusal is not None
        assert refusal.status == 503
        assert refusal.headers["galenastall-outcome"] == "not_run"
        assert refusal.headers["galenastall-reason"] == "overloaded"
        assert refusal.headers["galenastall-request-id"] == "r7"
        assert int(refusal.headers["retry-after"]) >= 1
        assert counters.ended_by_outcome[Outcome.NOT_RUN] == 1
        assert counters.refused_by_reason == {RequestReason.OVERLOADED: 1}

    @pytest.mark.parametrize("path", [b"/readyz", b"/v1/jobs", b"/metrics"])
    async def test_other_routes_are_let_through(self, path: bytes) -> None:
        guard, _ = self.guard()
        assert guard.check(scope_of(path, []), 1) is None
