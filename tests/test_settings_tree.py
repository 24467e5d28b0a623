"""Fold of the settings stream: races, repeats, snapshots, gaps and newer schemas."""

from collections.abc import Iterable
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from galenastall.protocol.codec import decode_record, encode_record
from galenastall.protocol.process_settings import load_process_settings
from galenastall.protocol.yaml_files import load_yaml
from galenastall.state import settings_paths, settings_tree
from galenastall.state.ids import SETTINGS_STREAM, ChangeId, Offset, RecordId, TeamPath
from galenastall.state.records import LoggedRecord, UnknownRecord
from galenastall.state.settings_paths import NO_REVISION, Revisions
from galenastall.state.settings_problems import check_tree
from galenastall.state.settings_records import SettingsChange, VerdictKind
from galenastall.state.settings_tree import SettingsFold
from galenastall.state.shared_settings import SCHEMA_VERSION, SharedSettings

EXAMPLES = Path(__file__).parent.parent / "examples"


def logged(offset: int, record: Any) -> LoggedRecord:
    """Return the record as read back from the log, after a JSON round trip."""
    record_id = RecordId(f"r{offset}")
    if isinstance(record, UnknownRecord):
        return LoggedRecord(
            stream=SETTINGS_STREAM, offset=Offset(offset), record_id=record_id, record=record
        )
    text = encode_record(record, record_id=record_id)
    return decode_record(text, stream=SETTINGS_STREAM, offset=Offset(offset)).unwrap()


def change(
    change_id: str,
    path: str,
    subtree: Any,
    base: int = NO_REVISION,
    *,
    author: str = "ops",
    schema_version: int = SCHEMA_VERSION,
) -> SettingsChange:
    return SettingsChange(
        change_id=ChangeId(change_id),
        path=path,
        base_revision=Offset(base),
        subtree=subtree,
        author=author,
        schema_version=schema_version,
    )


def folded(records: Iterable[Any]) -> SettingsFold:
    fold = SettingsFold()
    for offset, record in enumerate(records):
        fold.apply(logged(offset, record))
    return fold


def kind_of(fold: SettingsFold, change_id: str) -> VerdictKind:
    verdict = fold.verdict(ChangeId(change_id))
    assert verdict is not None
    return verdict.kind


class TestExamples:
    @pytest.mark.parametrize(("name", "hosts"), [("dongmun", 8), ("citeliq", 9)])
    def test_examples_are_valid(self, name: str, hosts: int) -> None:
        shared = EXAMPLES / name / "shared.yaml"
        tree = load_yaml(shared).unwrap()
        settings = check_tree(SharedSettings, tree, source=str(shared)).unwrap()
        files = [path for path in (EXAMPLES / name).glob("*.yaml") if path != shared]
        processes = [load_process_settings(path).unwrap() for path in files]
        assert len({process.host_id for process in processes}) == hosts
        assert {process.data_centre for process in processes} == set(settings.data_centres)

    def test_all_problems_of_a_tree_at_once(self) -> None:
        tree = {
            "teems": {},
            "teams": {"a": {"wieght": 1, "teams": {"b": {"weight": "1"}}}},
            "ownership": {"renew_s": 20.0},
            "requests": {"ejection": {"max_share": 2}},
        }
        found = [str(p) for p in check_tree(SharedSettings, tree, source="x").failure().problems]
        assert len(found) == 5
        assert any(line.startswith("teams.a.wieght: unknown key: did you mean") for line in found)
        assert any(line.startswith("teams.a.teams.b.weight: '1':") for line in found)
        assert any("at least twice renew_s" in line for line in found)

    def test_team_paths(self) -> None:
        tree = load_yaml(EXAMPLES / "dongmun" / "shared.yaml").unwrap()
        settings = check_tree(SharedSettings, tree, source="x").unwrap()
        assert settings.teams_by_path[TeamPath("packs/full")].weight == 3


class TestCompareAndSet:
    def test_two_operators_race_on_one_path(self) -> None:
        fold = folded(
            [
                change("first", "teams/a", {"weight": 2}),
                change("second", "teams/a", {"weight": 3}),
                change("third", "teams/a", {"weight": 4}, base=0),
            ]
        )
        assert [v.kind.value for v in fold.verdicts()] == ["accepted", "stale", "accepted"]
        assert fold.settings.teams["a"].weight == 4
        assert fold.revision("teams/a") == 2

    def test_ancestor_and_descendant_conflict_and_siblings_do_not(self) -> None:
        fold = folded(
            [
                change("a", "teams/a", {"weight": 2}),
                change("b", "teams/b", {"weight": 2}),
                change("weight", "teams/a/weight", 5.0, base=0),
                change("all", "teams", {}, base=1),
                change("below", "teams/a/weight", 6.0, base=0),
            ]
        )
        assert kind_of(fold, "b") is VerdictKind.ACCEPTED
        assert kind_of(fold, "weight") is VerdictKind.ACCEPTED
        assert kind_of(fold, "all") is VerdictKind.STALE
        assert kind_of(fold, "below") is VerdictKind.STALE

    def test_repeated_change_is_applied_once(self) -> None:
        first = change("same", "teams/a", {"weight": 2})
        fold = folded([first, change("undo", "teams/a", {"weight": 1}, base=0), first])
        assert fold.settings.teams["a"].weight == 1
        verdict = fold.verdict(ChangeId("same"))
        assert verdict is not None
        assert verdict.offset == 0

    def test_repeat_after_its_verdict_is_evicted_is_stale(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(settings_tree, "MAX_VERDICTS", 2)
        first = change("same", "teams/a", {"weight": 2})
        others = [change(f"o{index}", f"teams/b{index}", {}) for index in range(3)]
        undo = change("undo", "teams/a", {"weight": 1}, base=0)
        fold = folded([first, undo, *others, first])
        assert kind_of(fold, "same") is VerdictKind.STALE
        assert fold.settings.teams["a"].weight == 1

    @pytest.mark.parametrize(
        ("path", "subtree"),
        [
            ("teams/a", {"wait": 1}),
            ("teams/a/weight/x", 1),
            ("teams//a", {}),
            ("", 7),
            ("log/retention_s", 5.0),
            ("teams/a/quota", {"cores_milli": 1 << 70}),
            ("teams/a/weight", [1]),
        ],
    )
    def test_invalid_change_leaves_settings_unchanged(self, path: str, subtree: Any) -> None:
        fold = folded([change("a", "teams/a", {"weight": 2})])
        before = fold.settings
        base = fold.revision(path) if path != "teams//a" else NO_REVISION
        fold.apply(logged(1, change("bad", path, subtree, base=base)))
        assert kind_of(fold, "bad") is VerdictKind.INVALID
        assert fold.settings is before

    def test_removed_path_falls_back_to_defaults(self) -> None:
        fold = folded([change("set", "log", {"gather_ms": 9}), change("cut", "log", None, base=0)])
        assert fold.settings == SharedSettings()


class TestAuthority:
    SETUP = change(
        "setup",
        "",
        {
            "operators": ["ops"],
            "teams": {"a": {"owners": ["ann"], "teams": {"x": {}}}, "b": {"owners": ["bob"]}},
        },
    )

    @pytest.mark.parametrize(
        ("author", "path", "subtree", "kind"),
        [
            ("ann", "teams/a/requests", {"waiting": 9}, VerdictKind.ACCEPTED),
            ("ann", "teams/a/teams/x", {"weight": 9}, VerdictKind.ACCEPTED),
            ("ann", "teams/a/weight", 9, VerdictKind.FORBIDDEN),
            ("ann", "teams/a", {"owners": ["ann", "eve"]}, VerdictKind.FORBIDDEN),
            ("ann", "teams/a", None, VerdictKind.FORBIDDEN),
            ("bob", "teams/a/requests", {"waiting": 9}, VerdictKind.FORBIDDEN),
            ("bob", "log/gather_ms", 9, VerdictKind.FORBIDDEN),
            ("ops", "teams/a/weight", 9, VerdictKind.ACCEPTED),
        ],
    )
    def test_who_may_change_what(
        self, author: str, path: str, subtree: Any, kind: VerdictKind
    ) -> None:
        fold = folded([self.SETUP, change("c", path, subtree, base=0, author=author)])
        assert kind_of(fold, "c") is kind


class TestSchemaVersions:
    def test_newer_schema_blocks_the_path(self) -> None:
        fold = folded(
            [
                change("a", "teams/a", {"weight": 2}),
                change(
                    "new", "teams/a", {"sprockets": 1}, base=0, schema_version=SCHEMA_VERSION + 1
                ),
                change("after", "teams/a/weight", 3.0, base=1),
                change("elsewhere", "teams/b", {"weight": 2}),
            ]
        )
        assert fold.settings.teams["a"].weight == 2
        assert fold.settings.teams["b"].weight == 2
        assert fold.is_blocked(ChangeId("new"))
        assert fold.is_blocked(ChangeId("after"))
        assert fold.blocked_paths == ("teams/a", "teams/a/weight")
        assert fold.digest == ""
        with pytest.raises(ValueError, match="newer schema"):
            fold.snapshot(written_at=0.0)


STEPS: st.SearchStrategy[Any] = st.lists(
    st.tuples(
        st.sampled_from(["teams/a", "teams/a/weight", "teams/b", "log/gather_ms", "", "log"]),
        st.sampled_from([{"weight": 2}, 3.0, 7, {}, None, {"gather_ms": 4}, {"teams": {}}, "x"]),
        st.integers(-1, 12),
        st.integers(0, 14),
        st.booleans(),
    ),
    max_size=25,
)


class TestSnapshots:
    @given(steps=STEPS, data=st.data())
    def test_snapshot_and_tail_equal_full_history(self, steps: Any, data: st.DataObject) -> None:
        full = SettingsFold()
        records: list[LoggedRecord] = []
        for path, subtree, base, change_id, is_snapshot in steps:
            revision = full.revision(path) if base % 2 else Offset(base)
            record: Any = change(f"c{change_id}", path, subtree, base=revision)
            if is_snapshot:
                record = full.snapshot(written_at=float(len(records)))
            records.append(logged(len(records), record))
            full.apply(records[-1])
        cut = data.draw(st.integers(0, len(records)))
        late = SettingsFold()
        for record in records[:cut]:
            late.apply(record)
        state = logged(0, late.snapshot(written_at=0.0)).record
        fresh = SettingsFold()
        tail_first = data.draw(st.booleans())
        if not tail_first:
            assert fresh.adopt(state) == (cut > 0)
        for record in records[cut:]:
            fresh.apply(record)
        if tail_first:
            fresh.adopt(state)
        assert fresh.next_offset == full.next_offset
        assert fresh.digest == full.digest
        assert fresh.settings == full.settings
        assert fresh.state() == full.state()
        assert full.mismatched_snapshots == 0

    def test_trimmed_start_waits_for_a_snapshot_that_closes_the_gap(self) -> None:
        full = folded([change(f"c{index}", f"teams/t{index}", {}) for index in range(5)])
        late = SettingsFold()
        early = folded([change("c0", "teams/t0", {})]).snapshot(written_at=0.0)
        late.apply(logged(3, change("c3", "teams/t3", {})))
        late.apply(logged(4, early))
        assert late.next_offset == 0
        assert late.has_gap
        snapshot = full.snapshot(written_at=0.0)
        late.apply(logged(5, change("c5", "teams/t5", {})))
        late.apply(logged(6, snapshot))
        assert late.next_offset == 7
        assert set(late.settings.teams) == {f"t{index}" for index in range(6)}

    def test_state_in_force_never_goes_back(self) -> None:
        fold = folded([change(f"c{index}", f"teams/t{index}", {}) for index in range(5)])
        old = folded([change("c0", "teams/t0", {})]).snapshot(written_at=0.0)
        assert not fold.adopt(old)
        fold.apply(logged(1, change("x", "teams/t9", {})))
        assert fold.next_offset == 5
        assert len(fold.settings.teams) == 5

    def test_damaged_and_diverging_snapshots_are_not_adopted(self) -> None:
        good = folded([change("c0", "teams/t0", {})]).snapshot(written_at=0.0)
        other = folded([change("c0", "teams/t1", {})]).snapshot(written_at=0.0)
        damaged = type(good)(covering=good.covering, digest=good.digest, state=other.state)
        assert not SettingsFold().adopt(damaged)
        fold = folded([change("c0", "teams/t0", {}), other])
        assert fold.mismatched_snapshots == 1
        assert set(fold.settings.teams) == {"t0"}

    def test_unknown_records_only_move_the_offset(self) -> None:
        fold = folded([UnknownRecord(name="later"), change("a", "teams/a", {})])
        assert fold.next_offset == 2
        assert kind_of(fold, "a") is VerdictKind.ACCEPTED


class TestRevisions:
    @given(
        paths=st.lists(
            st.sampled_from(["a", "a/b", "a/c", "a/b/d", "e", "e/f", "g/h/i", ""]), max_size=30
        ),
        bound=st.integers(1, 4),
    )
    def test_bounded_memory_never_hides_a_change(self, paths: list[str], bound: int) -> None:
        exact, small = Revisions(), Revisions()
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(settings_paths, "MAX_REVISED_PATHS", bound)
            for offset, path in enumerate(paths):
                small.note(path, Offset(offset))
        for offset, path in enumerate(paths):
            exact.note(path, Offset(offset))
        for path in [*paths, "a/x", "z"]:
            assert small.of(path) >= exact.of(path)
        assert len(small.to_plain()) <= bound
