"""Measure what the shared tree costs at size: `python -m galenastall.bench.settings_cost`."""

import random
import resource
import sys
import time
from collections.abc import Iterator
from typing import Any, Final

import msgspec

from galenastall.protocol.codec import decode_record, encode_message, encode_record
from galenastall.protocol.settings_messages import SettingsPosition
from galenastall.state.ids import SETTINGS_STREAM, ChangeId, Offset, RecordId
from galenastall.state.records import LoggedRecord
from galenastall.state.settings_paths import NO_REVISION
from galenastall.state.settings_records import SettingsChange
from galenastall.state.settings_tree import SettingsFold
from galenastall.state.shared_settings import SCHEMA_VERSION

TEAM_COUNTS: Final = (26, 260, 520)
CHANGES: Final = 1500
SEED: Final = 1
MILLISECONDS: Final = 1000.0
STALE_SHARE: Final = 0.1


def main() -> None:
    """Print one line of JSON for each number of teams."""
    for teams in TEAM_COUNTS:
        sys.stdout.write(f"{msgspec.json.encode(measure(teams=teams)).decode()}\n")


def measure(*, teams: int) -> dict[str, Any]:
    """Fold a day's changes over `teams` teams and return times in milliseconds and bytes."""
    rng = random.Random(SEED)
    fold = SettingsFold()
    fold.apply(_logged(0, _first_tree(teams)))
    writer = SettingsFold()
    writer.apply(_logged(0, _first_tree(teams)))
    texts = []
    for offset, change in enumerate(_changes(writer, rng, teams), start=1):
        texts.append(encode_record(change, record_id=RecordId(f"r{offset}")))
        writer.apply(_logged(offset, change))
    times = []
    for offset, text in enumerate(texts, start=1):
        started = time.perf_counter()
        logged = decode_record(text, stream=SETTINGS_STREAM, offset=Offset(offset)).unwrap()
        fold.apply(logged)
        times.append((time.perf_counter() - started) * MILLISECONDS)
    times.sort()
    started = time.perf_counter()
    snapshot = encode_record(fold.snapshot(written_at=0.0), record_id=RecordId("s"))
    snapshot_ms = (time.perf_counter() - started) * MILLISECONDS
    started = time.perf_counter()
    read = decode_record(snapshot, stream=SETTINGS_STREAM, offset=Offset(CHANGES + 1)).unwrap()
    adopted = SettingsFold().adopt(read.record)
    adopt_ms = (time.perf_counter() - started) * MILLISECONDS
    position = SettingsPosition(next_offset=fold.next_offset, digest=fold.digest, is_ready=adopted)
    return {
        "teams": teams,
        "changes": len(texts),
        "accepted": sum(verdict.is_accepted for verdict in fold.verdicts()),
        "remembered": len(fold.verdicts()),
        "fold_ms_p50": round(times[len(times) // 2], 3),
        "fold_ms_p99": round(times[len(times) * 99 // 100], 3),
        "fold_day_ms": round(sum(times), 1),
        "change_bytes": round(sum(map(len, texts)) / len(texts)),
        "snapshot_bytes": len(snapshot),
        "snapshot_ms": round(snapshot_ms, 2),
        "adopt_ms": round(adopt_ms, 2),
        "position_bytes": len(encode_message(position)[1]),
        "peak_rss_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024,
    }


def _first_tree(teams: int) -> SettingsChange:
    tree = {f"team-{index}": _team(index) for index in range(teams)}
    return SettingsChange(
        change_id=ChangeId("first"),
        path="teams",
        base_revision=NO_REVISION,
        subtree=tree,
        author="operator",
        schema_version=SCHEMA_VERSION,
    )


def _team(index: int) -> dict[str, Any]:
    return {
        "weight": 1.0 + index % 5,
        "quota": {"cores_milli": 64_000, "memory_mb": 128_000},
        "requests": {"rate_per_s": 50.0, "burst": 100, "waiting": 200},
        "owners": [f"lead-{index}"],
    }


def _changes(fold: SettingsFold, rng: random.Random, teams: int) -> Iterator[SettingsChange]:
    for number in range(CHANGES):
        index = rng.randrange(teams)
        path = f"teams/team-{index}/requests"
        is_stale = rng.random() < STALE_SHARE
        yield SettingsChange(
            change_id=ChangeId(f"change-{number:032d}"),
            path=path,
            base_revision=NO_REVISION if is_stale else fold.revision(path),
            subtree={"rate_per_s": float(rng.randrange(1, 500)), "waiting": 100 + number % 50},
            author=f"lead-{index}",
            schema_version=SCHEMA_VERSION,
        )


def _logged(offset: int, change: SettingsChange) -> LoggedRecord:
    return LoggedRecord(
        stream=SETTINGS_STREAM,
        offset=Offset(offset),
        record_id=RecordId(f"r{offset}"),
        record=change,
    )


if __name__ == "__main__":
    main()
