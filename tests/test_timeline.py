"""Hybrid clock, event ring, merged time lines and explanations."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from galenastall.coordination.timeline.explain import SENTENCES, explain, explanation_text
from galenastall.coordination.timeline.hybrid_clock import MAX_AHEAD_MS, HybridClock
from galenastall.coordination.timeline.timeline_merge import merge_timelines, timeline_text
from galenastall.state.timeline import HybridTime, TimelineEvent
from galenastall.state.timeline_ring import TimelineRing


def event(
    wall_ms: int, *, counter: int = 0, process: str = "entry-a", subjects: tuple[str, ...] = ("j",)
) -> TimelineEvent:
    at = HybridTime(wall_ms=wall_ms, counter=counter)
    return TimelineEvent(at=at, process=process, step="job.placed", subjects=subjects)


class TestHybridClock:
    @given(
        st.lists(
            st.tuples(st.sampled_from("abc"), st.sampled_from("abc"), st.integers(-3000, 3000)),
            max_size=40,
        )
    )
    def test_messages_are_received_after_they_are_sent_whatever_the_wall_clocks_say(
        self, exchanges: list[tuple[str, str, int]]
    ) -> None:
        clocks = {name: HybridClock() for name in "abc"}
        wall_s = dict.fromkeys("abc", 1000.0)
        last = {name: HybridTime(wall_ms=0) for name in "abc"}
        for sender, receiver, step_ms in exchanges:
            wall_s[sender] += step_ms / 1000
            sent = clocks[sender].tick(wall_s[sender])
            assert sent > last[sender]
            last[sender] = sent
            if sent.wall_ms - wall_s[receiver] * 1000 > MAX_AHEAD_MS:
                continue
            assert clocks[receiver].observe(sent.wall_ms, sent.counter, wall_s=wall_s[receiver])
            received = clocks[receiver].tick(wall_s[receiver])
            assert received > sent
            last[receiver] = received

    def test_a_peer_clock_too_far_ahead_is_rejected(self) -> None:
        clock = HybridClock()
        assert not clock.observe(1_000_000 + MAX_AHEAD_MS + 1, 0, wall_s=1000.0)
        assert clock.tick(1000.0).wall_ms == 1_000_000
        assert clock.rejected == 1


class TestRing:
    @given(st.lists(st.booleans(), max_size=60))
    def test_keeps_the_latest_of_each_half(self, details: list[bool]) -> None:
        ring = TimelineRing(capacity=11)
        events = [event(index) for index in range(len(details))]
        for item, is_detail in zip(events, details, strict=True):
            ring.append(item, is_detail=is_detail)
        pairs = list(zip(events, details, strict=True))
        kept = [item for item, is_detail in pairs if is_detail][-5:]
        kept += [item for item, is_detail in pairs if not is_detail][-6:]
        assert ring.about("j") == tuple(sorted(kept, key=lambda item: item.at))
        assert ring.evicted == len(events) - len(kept)

    def test_finds_by_any_subject_the_latest(self) -> None:
        ring = TimelineRing(capacity=100)
        for index in range(10):
            ring.append(event(index, subjects=("job-1", f"job-1/{index}")))
        assert [item.at.wall_ms for item in ring.about("job-1/3")] == [3]
        assert [item.at.wall_ms for item in ring.about("job-1", limit=2)] == [8, 9]
        assert ring.about("job-1/30") == ()

    def test_refuses_too_small_a_capacity(self) -> None:
        with pytest.raises(ValueError, match=r"capacity: .*1"):
            TimelineRing(capacity=1)


rings = st.lists(
    st.lists(st.tuples(st.integers(0, 50), st.integers(0, 3)), unique=True, max_size=20), max_size=4
)


class TestMerge:
    @given(rings, st.randoms(use_true_random=False))
    def test_one_order_whoever_asks_and_each_event_once(
        self, times: list[list[tuple[int, int]]], shuffler: random.Random
    ) -> None:
        made = [
            [
                event(wall, counter=counter, process=f"entry-{index}")
                for wall, counter in sorted(ring)
            ]
            for index, ring in enumerate(times)
        ]
        merged = merge_timelines(made)
        shuffled = [list(ring) for ring in made + made]
        shuffler.shuffle(shuffled)
        assert merge_timelines(shuffled) == merged
        assert len(merged.events) == sum(map(len, made))
        for index, ring in enumerate(made):
            process = f"entry-{index}"
            assert [item for item in merged.events if item.process == process] == ring
        assert list(merged.events) == sorted(merged.events, key=lambda item: item.at)

    def test_text_names_what_is_missing(self) -> None:
        text = timeline_text(
            merge_timelines(
                [[event(1000), event(2500, process="entry-bb")]],
                subject="j",
                unreachable=["entry-c"],
                forgetful=["entry-a"],
            )
        )
        lines = text.splitlines()
        assert "+   1.500s  entry-bb  job.placed  [j]" in lines[1]
        assert lines[2] == "! entry-c could not be asked: its events are missing"
        assert lines[3] == "! entry-a has dropped older events"


@SENTENCES.register("test.refused")
def _refused(item: TimelineEvent) -> str:
    return f"Team {item.fields['team']} was refused"


class TestExplain:
    def test_uses_filed_sentences_and_plain_ones_for_the_rest(self) -> None:
        refused = TimelineEvent(
            at=HybridTime(wall_ms=1500),
            process="entry-b",
            step="test.refused",
            fields={"team": "board"},
        )
        waiting = TimelineEvent(
            at=HybridTime(wall_ms=1000), process="entry-a", step="test.waits", cause="no room"
        )
        explanation = explain(merge_timelines([[refused, waiting]], subject="j"))
        assert explanation.sentences == (
            "After 0.000 s entry-a noted test: waits because no room.",
            "After 0.500 s Team board was refused.",
        )
        assert explanation.summary == "Last of all, team board was refused."

    def test_says_so_when_nothing_is_known_or_somebody_is_missing(self) -> None:
        text = explanation_text(explain(merge_timelines([], subject="j", unreachable=["entry-c"])))
        assert "Nothing is recorded about j" in text
        assert "entry-c could not be asked" in text
