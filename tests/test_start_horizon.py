"""How long a new owner waits for starts that earlier owners sent and that may still arrive."""

from galenastall.coordination.placement.start_horizon import StartHorizon
from galenastall.state.ids import Epoch, HostId

W = HostId("w0")


def owning(epoch: int, *, until: float = 0.0) -> StartHorizon:
    horizon = StartHorizon()
    horizon.begin(W, epoch=Epoch(epoch), last_epoch=None, until=until)
    return horizon


class TestStartHorizon:
    def test_answered_calls_leave_nothing_to_wait_for(self) -> None:
        horizon = owning(3)
        call = horizon.sent(W, until=25.0)
        assert horizon.left_s(W, epoch=Epoch(3), now=10.0) == 15.0
        horizon.answered(W, call)
        assert horizon.left_s(W, epoch=Epoch(3), now=10.0) == 0.0

    def test_an_unanswered_call_counts_until_it_is_over(self) -> None:
        horizon = owning(3)
        horizon.sent(W, until=25.0)
        horizon.sent(W, until=27.0)
        assert horizon.left_s(W, epoch=Epoch(3), now=26.0) == 1.0
        assert horizon.left_s(W, epoch=Epoch(3), now=27.0) == 0.0

    def test_what_was_inherited_is_passed_on(self) -> None:
        assert owning(3, until=20.0).left_s(W, epoch=Epoch(3), now=12.0) == 8.0

    def test_only_the_tenure_asked_for_is_answered(self) -> None:
        horizon = owning(3)
        assert horizon.left_s(W, epoch=Epoch(2), now=0.0) is None
        assert horizon.left_s(HostId("w1"), epoch=Epoch(3), now=0.0) is None

    def test_the_last_owners_answer_shortens_the_wait_of_this_epoch_only(self) -> None:
        horizon = owning(5, until=20.0)
        horizon.shorten(W, epoch=Epoch(4), until=1.0)
        assert horizon.inherited_until(W) == 20.0
        horizon.shorten(W, epoch=Epoch(5), until=8.0)
        horizon.shorten(W, epoch=Epoch(5), until=12.0)
        assert horizon.inherited_until(W) == 8.0

    def test_own_earlier_calls_are_known_without_a_query(self) -> None:
        horizon = owning(3)
        horizon.begin(W, epoch=Epoch(5), last_epoch=Epoch(3), until=40.0)
        assert horizon.inherited_until(W) == 0.0
        horizon.sent(W, until=25.0)
        horizon.begin(W, epoch=Epoch(7), last_epoch=Epoch(5), until=40.0)
        assert horizon.inherited_until(W) == 25.0
        assert horizon.left_s(W, epoch=Epoch(7), now=20.0) == 5.0
        horizon.begin(W, epoch=Epoch(9), last_epoch=Epoch(8), until=40.0)
        assert horizon.inherited_until(W) == 40.0
