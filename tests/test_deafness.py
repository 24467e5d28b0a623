"""When a host that hears no leader probes its inbox and rebuilds its sockets, and when it must not.

A rebuild closes all connections, so it must not happen where it can't help: in a cut, an outage of
the store, a freeze of this host or of the leader, a change of leaders or a start.
"""

from collections.abc import Callable
from dataclasses import dataclass
from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from galenastall.coordination.cell.deafness import (
    CALM_LAG_S,
    MAX_REBUILD_PAUSE_S,
    PROBE_LATE_S,
    PROBE_TIMEOUT_S,
    PROBES,
    REBUILD_PAUSE_S,
    SILENT_CONFIRMS,
    DeafnessWatch,
    InboxAction,
    ProbeAnswer,
)
from galenastall.coordination.cell.timings import CellTimings

TIMINGS = CellTimings()
TICK_S = 0.05
SILENT_S = SILENT_CONFIRMS * TIMINGS.confirm_every_s


@dataclass(kw_only=True)
class Pattern:
    """What one host sees over time; each function takes seconds since the start."""

    leader: Callable[[float], tuple[str, int]] = lambda _: ("entry-a", 7)
    """Leader and token that the store names."""
    log_end: Callable[[float], int] = lambda at: int(at / TIMINGS.confirm_every_s)
    has_store: Callable[[float], bool] = lambda _: True
    is_frozen: Callable[[float], bool] = lambda _: False
    has_heartbeat: Callable[[float], bool] = lambda _: False
    probe: Callable[[float], ProbeAnswer] = lambda _: ProbeAnswer.UNHEARD
    probe_took_s: float = PROBE_TIMEOUT_S
    lag_s: float = 0.0


def play(pattern: Pattern, *, lasts_s: float = 20.0) -> tuple[list[float], list[float]]:
    """Return the times of the probes and of the rebuilds."""
    watch = DeafnessWatch(timings=TIMINGS)
    probes: list[float] = []
    rebuilds: list[float] = []
    probe_ends_at = 0.0
    is_probing = False
    for tick in range(int(lasts_s / TICK_S)):
        now = tick * TICK_S
        if pattern.is_frozen(now):
            continue
        if pattern.has_heartbeat(now):
            watch.on_heartbeat(now)
        if tick % 3 == 0 and pattern.has_store(now):
            leader, token = pattern.leader(now)
            watch.on_store_view(leader=leader, token=token, log_end=pattern.log_end(now), now=now)
        if is_probing and now < probe_ends_at:
            continue
        if is_probing:
            took_s = max(pattern.probe_took_s, now - probes[-1])
            watch.on_probe(pattern.probe(now), took_s=took_s, lag_s=pattern.lag_s, now=now)
        action = watch.next_action(now)
        is_probing = action is InboxAction.PROBE
        if is_probing:
            probes.append(now)
            probe_ends_at = now + pattern.probe_took_s
        elif action is InboxAction.REBUILD:
            rebuilds.append(now)
            watch.on_rebuilt(now)
    return probes, rebuilds


HARMLESS = {
    "cut from the leader": Pattern(probe=lambda _: ProbeAnswer.HEARD),
    "an inbox that can't be connected to": Pattern(probe=lambda _: ProbeAnswer.NOT_MADE),
    "outage of the store": Pattern(has_store=lambda at: at < 1.0),
    "a store that is reached now and then": Pattern(has_store=lambda at: at % 1.5 < 0.6),
    "a leader that is frozen": Pattern(log_end=lambda at: min(int(at / 0.2), 5)),
    "a store that names a leader of the past": Pattern(log_end=lambda _: 5),
    "a store too slow for confirmations": Pattern(log_end=lambda at: int(at / 1.6)),
    "changes of the leader": Pattern(leader=lambda at: (f"entry-{at // 1.5:g}", int(at / 1.5))),
    "one leader that claims again and again": Pattern(leader=lambda at: ("a", int(at / 1.5))),
    "start, with no leader yet": Pattern(leader=lambda _: ("", 0)),
    "this host named as the leader": Pattern(leader=lambda _: ("", 9)),
    "freezes of this host": Pattern(is_frozen=lambda at: at % 4.0 > 2.3),
    "probes during which this host froze": Pattern(
        probe_took_s=PROBE_TIMEOUT_S + PROBE_LATE_S + 2 * TICK_S
    ),
    "a busy loop": Pattern(lag_s=2 * CALM_LAG_S),
    "a link that loses nine of ten heartbeats": Pattern(has_heartbeat=lambda at: at % 1.5 < 0.04),
    "one probe in three is answered": Pattern(
        probe=lambda at: ProbeAnswer.HEARD if int(at / 0.5) % 3 == 0 else ProbeAnswer.UNHEARD
    ),
}


class TestDeafnessWatch:
    @pytest.mark.parametrize("name", HARMLESS)
    def test_sockets_stay_where_a_rebuild_would_not_help(self, name: str) -> None:
        assert play(HARMLESS[name], lasts_s=60.0)[1] == []

    @pytest.mark.parametrize(
        "pattern",
        [
            Pattern(),
            Pattern(log_end=lambda at: int(at / TIMINGS.ready_confirm_s)),
            Pattern(has_heartbeat=lambda at: at < 1.0),
        ],
        ids=["at once", "with a slow store", "after heartbeats"],
    )
    def test_a_deaf_inbox_is_rebuilt(self, pattern: Pattern) -> None:
        probes, rebuilds = play(pattern, lasts_s=6.0)
        assert len(probes) == PROBES
        begun_at = 1.0 if pattern.has_heartbeat(0.0) else 0.0
        at_least_s = SILENT_S + PROBES * PROBE_TIMEOUT_S
        assert [at_least_s <= at - begun_at <= at_least_s + 0.6 for at in rebuilds] == [True]

    def test_a_freeze_just_before_is_waited_out(self) -> None:
        _, rebuilds = play(Pattern(is_frozen=lambda at: 1.0 < at < 4.0), lasts_s=10.0)
        assert len(rebuilds) == 1
        assert rebuilds[0] >= 4.0 + SILENT_S + PROBES * PROBE_TIMEOUT_S

    def test_rebuilds_that_do_not_help_become_rare(self) -> None:
        _, rebuilds = play(Pattern(), lasts_s=2_000.0)
        pauses = [after - before for before, after in pairwise(rebuilds)]
        assert [int(pause / REBUILD_PAUSE_S) for pause in pauses] == [1, 2, 4, 8, 16, 16, 16]

    def test_a_fault_long_after_the_last_rebuild_has_the_shortest_pause_again(self) -> None:
        far_s = 3 * MAX_REBUILD_PAUSE_S
        pattern = Pattern(has_heartbeat=lambda at: 40.0 < at < far_s)
        _, rebuilds = play(pattern, lasts_s=far_s + 45.0)
        assert [int(at // far_s) for at in rebuilds] == [0, 0, 1, 1]

    def test_probes_in_a_long_cut_are_seldom(self) -> None:
        probes, _ = play(Pattern(probe=lambda _: ProbeAnswer.HEARD), lasts_s=60.0)
        assert 8 <= len(probes) <= 12


STEPS = st.lists(
    st.tuples(
        st.sampled_from([0.05, 0.15, 0.3, 0.6, 3.0]),
        st.sampled_from(["view", "heartbeat", "other leader", "probe"]),
        st.integers(0, 2),
    ),
    max_size=300,
)


class TestAnyOrder:
    @given(steps=STEPS, has_heartbeats=st.booleans())
    def test_nothing_is_done_while_heartbeats_arrive_or_the_log_stands_still(
        self, steps: list[tuple[float, str, int]], has_heartbeats: bool
    ) -> None:
        """Either heartbeats come before the silence is long, or the log end never moves."""
        watch = DeafnessWatch(timings=TIMINGS)
        now, heard_at, log_end, token = 0.0, 0.0, 0, 1
        for passed_s, event, moved in steps:
            now += passed_s
            is_due = has_heartbeats and now - heard_at >= SILENT_S
            match "heartbeat" if is_due else event:
                case "heartbeat":
                    watch.on_heartbeat(now)
                    heard_at = now
                case "other leader":
                    token += 1
                case "probe":
                    watch.on_probe(ProbeAnswer.UNHEARD, took_s=0.5, lag_s=0.0, now=now)
                case _:
                    log_end += moved if has_heartbeats else 0
                    watch.on_store_view(leader="entry-a", token=token, log_end=log_end, now=now)
            assert watch.next_action(now) is InboxAction.WAIT

    @given(steps=STEPS)
    def test_no_rebuild_without_probes_in_this_silence(
        self, steps: list[tuple[float, str, int]]
    ) -> None:
        watch = DeafnessWatch(timings=TIMINGS)
        now, log_end, token, unheard = 0.0, 0, 1, 0
        for _, event, moved in steps:
            now += 0.15
            match event:
                case "heartbeat" if moved == 0:
                    watch.on_heartbeat(now)
                    unheard = 0
                case "other leader" if moved == 0:
                    token += 1
                    unheard = 0
                case "probe":
                    watch.on_probe(ProbeAnswer.UNHEARD, took_s=0.5, lag_s=0.0, now=now)
                    unheard += 1
                case _:
                    log_end += 1
            watch.on_store_view(leader="entry-a", token=token, log_end=log_end, now=now)
            if unheard < PROBES:
                assert watch.next_action(now) is not InboxAction.REBUILD
