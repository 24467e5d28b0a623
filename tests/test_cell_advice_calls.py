"""Number of concurrent advice calls, with many and with few idle hosts."""

import pytest

from cell.advised import AdvisedHarness
from cell.rig import make_step
from galenastall.coordination.cell.advice_planner import _calls_for


class TestCallsOfAFirstRequest:
    @pytest.mark.parametrize(
        ("count", "hosts_left", "calls"),
        [
            (176, 32, 6),
            (176, 16, 4),
            (176, 8, 2),
            (176, 1, 1),
            (24, 32, 1),
            (24, 1, 1),
            (350, 4, 4),
            (350, 32, 8),
            (0, 32, 0),
            (176, 0, 0),
        ],
    )
    def test_fewer_and_longer_calls_where_hosts_are_few(
        self, count: int, hosts_left: int, calls: int
    ) -> None:
        assert _calls_for(count, hosts_left=hosts_left) == calls

    @pytest.mark.parametrize(("hosts", "calls"), [(34, 6), (10, 2)])
    def test_a_wide_gang_requests_advice_on_all_executors(self, hosts: int, calls: int) -> None:
        harness = AdvisedHarness(executors=176, hosts=hosts)
        harness.hand_in(make_step(20, is_gang=True))
        asks = harness.asks()
        assert len(asks) == calls
        named = [executor_id for request in asks for executor_id in request.executor_ids]
        assert len(named) == len(set(named)) == 176

    def test_gangs_submitted_together_share_the_hosts(self) -> None:
        """With ten gangs on 34 hosts, the first decision requests advice for all of them."""
        harness = AdvisedHarness(executors=176, hosts=34)
        for number in range(10):
            harness.hand_in(make_step(20, is_gang=True), job_id=f"{number:016x}")
        asked = {request.step.job for request in harness.asks()}
        assert len(asked) == 10
