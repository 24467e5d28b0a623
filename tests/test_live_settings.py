"""Settings applied at run time: rate limits by team, and the times that takeovers wait."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from galenastall.coordination.ownership.ownership import OwnershipCore
from galenastall.coordination.placement.leases import CLOCK_SKEW_S, LeaseTable
from galenastall.coordination.requests.team_rates import TeamRate, TeamRates
from galenastall.node.memory_watch import MemoryWatch
from galenastall.node.settings.settings_mapping import (
    find_problem,
    make_ownership_timings,
    make_placement_settings,
    make_request_settings,
    make_worker_timings,
)
from galenastall.protocol.event_sink import NullEventSink
from galenastall.protocol.process_settings import MemoryLimits
from galenastall.state.ids import HostId, Incarnation, TeamPath
from galenastall.state.ownership_records import Member
from galenastall.state.settings_problems import check_tree
from galenastall.state.shared_settings import LEASE_CAP_S, PERMIT_CAP_S, SharedSettings

TEAM, ABOVE = TeamPath("packs/full"), TeamPath("packs")
W1, PEER = HostId("w1"), HostId("peer")


def tree(**sections: object) -> SharedSettings:
    return check_tree(SharedSettings, sections, source="test").unwrap()


class TestTeamRates:
    @given(st.lists(st.floats(0.0, 3.0), max_size=60), st.floats(0.5, 20.0), st.integers(1, 10))
    def test_never_more_than_rate_and_burst(
        self, gaps: list[float], per_s: float, burst: int
    ) -> None:
        rates, limits = TeamRates(), {ABOVE: TeamRate(per_s=per_s, burst=burst)}
        now = taken = 0.0
        for gap in gaps:
            now += gap
            wait_s = rates.take(team=TEAM, rates_by_team=limits, now=now)
            taken += wait_s == 0.0
            assert taken <= burst + per_s * now + 1e-6

    def test_request_is_admitted_after_the_wait(self) -> None:
        rates, limits = TeamRates(), {TEAM: TeamRate(per_s=0.5, burst=1)}
        assert rates.take(team=TEAM, rates_by_team=limits, now=0.0) == 0.0
        assert rates.take(team=TEAM, rates_by_team=limits, now=0.0) == 2.0
        assert rates.take(team=TEAM, rates_by_team=limits, now=2.0) == 0.0

    def test_refusal_by_a_parent_team_costs_the_team_no_tokens(self) -> None:
        limits = {TEAM: TeamRate(per_s=0.1, burst=1), ABOVE: TeamRate(per_s=1.0, burst=1)}
        rates = TeamRates()
        assert rates.take(team=ABOVE, rates_by_team=limits, now=0.0) == 0.0
        assert rates.take(team=TEAM, rates_by_team=limits, now=0.0) == 1.0
        assert rates.take(team=TEAM, rates_by_team=limits, now=1.0) == 0.0


class TestTakeoverWaits:
    def test_ownership_waits_by_the_caps(self) -> None:
        me = Member(host=HostId("a"), incarnation=Incarnation("1"))
        caps = make_ownership_timings(SharedSettings())
        core = OwnershipCore(me=me, timings=caps)
        section = {"vouch_s": 0.5, "read_s": 0.5, "flight_s": 0.05, "list_lag_s": 99.0}
        core.apply_timings(make_ownership_timings(tree(ownership=section)))
        assert (core.confirmations.timings.vouch_s, core.confirmations.timings.read_s) == (0.5, 0.5)
        assert core.membership.timings.list_lag_s == 99.0
        waits = core.timings
        assert (waits.vouch_s, waits.read_s, waits.flight_s) == (3.0, 3.0, 0.5)

    def test_new_owner_waits_for_leases_granted_under_an_older_setting(self) -> None:
        timings = make_worker_timings(tree(ownership={"lease_s": 4.0, "renew_s": 2.0}))
        table = LeaseTable(
            lease_s=timings.lease_s,
            renew_every_s=timings.renew_every_s,
            peer_report_max_age_s=1000.0,
            longest_lease_s=timings.longest_lease_s,
        )
        table.add(W1, 0.0)
        table.note_peer_renewals(PEER, (), 0.0)
        assert table.grant(W1, 0.0) == 4.0
        assert not table.has_expired(W1, [PEER], LEASE_CAP_S + CLOCK_SKEW_S)
        assert table.has_expired(W1, [PEER], LEASE_CAP_S + CLOCK_SKEW_S + 0.1)

    def test_permits(self) -> None:
        section = {"permits": {"longest_s": 5.0}}
        permits = make_request_settings(tree(requests=section), MemoryLimits()).permits
        assert permits.longest_s == 5.0
        assert permits.takeover_s == PERMIT_CAP_S + permits.grace_s

    @pytest.mark.parametrize(
        ("section", "value"),
        [("requests", {"permits": {"longest_s": 30.1}}), ("ownership", {"lease_s": 30.1})],
    )
    def test_caps_hold_in_the_schema(self, section: str, value: object) -> None:
        problems = check_tree(SharedSettings, {section: value}, source="test").failure()
        assert "30" in str(problems)


class TestMapping:
    def test_memory_limits_cap_shared_settings(self) -> None:
        memory = MemoryLimits(waiting_requests=7, body_buffer_kb=4)
        made = make_request_settings(tree(requests={"queue": {"waiting": 900}}), memory)
        assert made.admission.waiting == 7
        assert (made.replay_bytes, made.whole_answer_bytes) == (4096, 4096)

    @pytest.mark.parametrize(
        ("section", "value", "named"),
        [
            ("placement", {"policies_by_class": {"batch": "luck"}}, "policies_by_class.batch"),
            ("placement", {"queue_order": "fifo"}, "queue_order"),
            ("classes", {"normal": {"policy": "luck"}}, "classes.normal.policy: 'luck'"),
            ("requests", {"is_hedging": True}, "is_hedging"),
        ],
    )
    def test_settings_without_effect_are_reported(
        self, section: str, value: object, named: str
    ) -> None:
        assert named in str(find_problem(tree(**{section: value})))

    def test_unknown_policy_falls_back_to_the_default(self) -> None:
        settings = tree(placement={"policies_by_class": {"batch": "from-the-future"}})
        assert make_placement_settings(settings).policies_by_class["batch"] == "leftover"


class TestMemoryWatch:
    def test_readiness_follows_the_memory_limit(self) -> None:
        sizes = iter([10.0, 200.0, 50.0])
        watch = MemoryWatch(limit_mb=100, events=NullEventSink(), measure=lambda: next(sizes))
        assert watch.not_ready_reasons() == ()
        watch.check()
        assert "memory.total_mb is 100" in watch.not_ready_reasons()[0]
        watch.check()
        assert watch.not_ready_reasons() == ()
