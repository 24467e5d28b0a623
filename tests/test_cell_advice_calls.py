"""Through how many hosts the advisor is asked at once, with many hosts idle and with few."""

import pytest

from cell.advised import AdvisedRig
from cell.rig import make_step
from galenastall.coordination.cell.advice_planner import _calls_for


class TestCallsOfAFirstQuestion:
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
    def test_fewer_and_longer_ones_where_hosts_are_few(
        self, count: int, hosts_left: int, calls: int
    ) -> None:
        assert _calls_for(count, hosts_left=hosts_left) == calls

    @pytest.mark.parametrize(("hosts", "calls"), [(34, 6), (10, 2)])
    def test_a_wide_gang_asks_about_all_executors(self, hosts: int, calls: int) -> None:
        rig = AdvisedRig(executors=176, hosts=hosts)
        rig.hand_in(make_step(20, is_gang=True))
        asks = rig.asks()
        assert len(asks) == calls
        named = [executor_id for ask in asks for executor_id in ask.executor_ids]
        assert len(named) == len(set(named)) == 176

    def test_gangs_that_come_together_leave_hosts_for_each_other(self) -> None:
        """Ten gangs at once on 34 hosts: all are asked about with the first decisions."""
        rig = AdvisedRig(executors=176, hosts=34)
        for number in range(10):
            rig.hand_in(make_step(20, is_gang=True), job_id=f"{number:016x}")
        asked = {ask.step.job for ask in rig.asks()}
        assert len(asked) == 10
