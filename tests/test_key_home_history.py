"""A change of the data centres can't move an idempotency key that may already exist."""

from itertools import pairwise
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Success

from galenastall.coordination.requests.keys import home_of
from galenastall.node.settings.settings_mapping import make_request_settings
from galenastall.protocol.process_settings import MemoryLimits
from galenastall.state.ids import SETTINGS_STREAM, ChangeId, Offset, RecordId
from galenastall.state.key_home_history import LEAD_TIME_S, find_early_homes, find_moved_keys
from galenastall.state.records import LoggedRecord
from galenastall.state.settings_problems import check_tree
from galenastall.state.settings_records import SettingsChange, VerdictKind
from galenastall.state.settings_tree import SettingsFold
from galenastall.state.shared_settings import SCHEMA_VERSION, SharedSettings

NOW = 1_000_000.0
NAMES = ("gangnam", "mapo", "seongsu")
PINNED = {"since": 0.0, "data_centres": ["gangnam", "mapo"]}
LATER = {"since": NOW + LEAD_TIME_S, "data_centres": list(NAMES)}


def shared(*names: str, homes: list[dict[str, Any]] | None = None) -> SharedSettings:
    tree = {"data_centres": {name: {} for name in names}, "key_homes": homes or []}
    return check_tree(SharedSettings, tree, source="test").unwrap()


TWO = shared("gangnam", "mapo")
PINNED_THREE = shared(*NAMES, homes=[PINNED])


def home(settings: SharedSettings, key: str, made_at: float) -> str:
    homes = make_request_settings(settings, MemoryLimits()).key_homes
    return home_of(key, made_at=made_at, homes=homes)


class TestHistory:
    @pytest.mark.parametrize(
        ("before", "after"),
        [
            (TWO, shared(*NAMES)),
            (TWO, shared("gangnam")),
            (TWO, SharedSettings()),
            (TWO, shared("gangnam", "mapo", homes=[{**PINNED, "data_centres": ["mapo"]}])),
            (shared(*NAMES, homes=[PINNED, LATER]), PINNED_THREE),
            (shared(*NAMES, homes=[PINNED, LATER]), shared(*NAMES)),
        ],
    )
    def test_key_home_lists_in_force_can_not_be_changed(
        self, before: SharedSettings, after: SharedSettings
    ) -> None:
        assert find_moved_keys(before=before, after=after) is not None

    def test_a_data_centre_is_added_in_three_steps(self) -> None:
        steps = (
            TWO,
            shared("gangnam", "mapo", homes=[PINNED]),
            PINNED_THREE,
            shared(*NAMES, homes=[PINNED, LATER]),
        )
        for before, after in pairwise(steps):
            assert find_moved_keys(before=before, after=after) is None
            assert find_early_homes(before=before, after=after, now=NOW) is None

    @pytest.mark.parametrize(
        "change", [{"since": NOW + LEAD_TIME_S - 1}, {"data_centres": ["nowhere"]}]
    )
    def test_a_new_list_needs_time_and_known_names(self, change: dict[str, Any]) -> None:
        after = shared(*NAMES, homes=[PINNED, {**LATER, **change}])
        assert find_early_homes(before=PINNED_THREE, after=after, now=NOW) is not None

    @pytest.mark.parametrize(
        "homes", [[LATER], [PINNED, PINNED], [PINNED, LATER, {**LATER, "since": 5.0}]]
    )
    def test_entries_begin_at_0_and_rise(self, homes: list[dict[str, Any]]) -> None:
        checked = check_tree(SharedSettings, {"key_homes": homes}, source="test")
        assert not isinstance(checked, Success)


class TestFold:
    def change(self, fold: SettingsFold, subtree: Any, *, schema: int) -> VerdictKind:
        offset = fold.next_offset
        change = SettingsChange(
            change_id=ChangeId(f"c{offset}"),
            path="data_centres",
            base_revision=fold.revision("data_centres"),
            subtree=subtree,
            author="ops",
            schema_version=schema,
        )
        record = LoggedRecord(
            stream=SETTINGS_STREAM, offset=Offset(offset), record_id=RecordId("r"), record=change
        )
        fold.apply(record)
        verdict = fold.verdict(change.change_id)
        assert verdict is not None
        return verdict.kind

    def test_a_race_past_the_first_check_is_refused_by_every_fold(self) -> None:
        fold = SettingsFold()
        two: dict[str, Any] = {"gangnam": {}, "mapo": {}}
        three = {**two, "seongsu": {}}
        assert self.change(fold, two, schema=SCHEMA_VERSION) is VerdictKind.ACCEPTED
        assert self.change(fold, three, schema=SCHEMA_VERSION) is VerdictKind.INVALID
        assert self.change(fold, three, schema=1) is VerdictKind.ACCEPTED


class TestHomes:
    @given(
        key=st.text("abc", min_size=1, max_size=8),
        made_at=st.floats(0, NOW + 2 * LEAD_TIME_S),
        names=st.sets(st.sampled_from(NAMES), min_size=1),
        since=st.floats(0, NOW + 2 * LEAD_TIME_S),
    )
    def test_no_accepted_change_moves_a_key_made_by_then(
        self, key: str, made_at: float, names: set[str], since: float
    ) -> None:
        entry = {"since": since, "data_centres": sorted(names)}
        tree = {"data_centres": {name: {} for name in NAMES}, "key_homes": [PINNED, entry]}
        checked = check_tree(SharedSettings, tree, source="test")
        if not isinstance(checked, Success):
            return
        after = checked.unwrap()
        if find_early_homes(before=PINNED_THREE, after=after, now=NOW) is not None:
            return
        if made_at < NOW + LEAD_TIME_S:
            assert home(after, key, made_at) == home(PINNED_THREE, key, made_at)
