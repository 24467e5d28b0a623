"""Concurrent settings changes with a log outage: soon in force everywhere, never reverted."""

import random
from dataclasses import dataclass
from typing import Any, Final

import msgspec
import trio

from galenastall.bench.experiment import ExperimentSettings, close_and_judge, scenario
from galenastall.bench.fleet import CallError, EntryHost, Fleet, running_fleet
from galenastall.bench.report import ScenarioResult
from galenastall.bench.schedule import FaultContext, FaultSchedule, ScheduledFault
from galenastall.proof.history import HistoryRecorder, SettingAccepted, SettingsInForce
from galenastall.proof.invariants import Bounds

OPERATOR_COUNT: Final = 4
CHANGE_COUNT: Final = 100
PATHS: Final = tuple(f"teams/race-{number}" for number in range(5))
OUTAGE_AT_S: Final = 10.0
OUTAGE_S: Final = 60.0
CHANGE_INTERVAL_S: Final = 0.8
RETRY_S: Final = 1.0
SAMPLE_EVERY_S: Final = 0.25
TIMEOUT_S: Final = 180.0
IN_FORCE_S: Final = 5.0
HTTP_OK: Final = 200
HTTP_CONFLICT: Final = 409
REJECTED_STATUSES: Final = (HTTP_CONFLICT, 422)


@scenario("settings-race", shows="accepted changes in force everywhere within 5 s, none reverted")
async def settings_race(settings: ExperimentSettings, result: ScenarioResult) -> None:
    """Let four operators make 100 changes to five paths; the log is down for 60 s of the run."""
    plan = settings.fleet_plan(
        entry_hosts_by_data_centre={"gangnam": 2, "mapo": 2, "seongsu": 2},
        workers=0,
        executors=0,
    )
    recorder = HistoryRecorder()
    async with running_fleet(plan, settings.directory) as fleet:
        race = _Race(fleet=fleet, recorder=recorder, seed=settings.seed, scale=settings.scale)
        schedule = FaultSchedule(
            faults=(
                ScheduledFault(
                    after_s=OUTAGE_AT_S * settings.scale,
                    kind="log-outage",
                    target="log",
                    lasts_s=OUTAGE_S * settings.scale,
                ),
            ),
            context=FaultContext(
                driver=fleet.driver, standin=fleet.control, restart=fleet.start_entry_host
            ),
            recorder=recorder,
            clock=fleet.clock,
        )
        async with trio.open_nursery() as samplers:
            for host in fleet.entry_hosts_by_id.values():
                samplers.start_soon(race.sample, host)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(schedule.run)
                for number in range(OPERATOR_COUNT):
                    nursery.start_soon(race.run_operator, f"operator-{number}")
            await trio.sleep(IN_FORCE_S + 2 * SAMPLE_EVERY_S * len(PATHS))
            samplers.cancel_scope.cancel()
        min_accepted = round(CHANGE_COUNT * settings.scale)
        result.add("changes accepted", race.accepted, "changes", at_least=min_accepted)
        result.add("changes refused as stale", race.stale, "changes")
        result.add("sendings without a verdict", race.undecided, "sendings")
        result.add("slowest in force on a host", race.slowest_s(), "s", at_most=IN_FORCE_S)
        names = (
            "settings-monotone",
            "settings-agree",
            "settings-never-revert",
            "settings-in-force-soon",
        )
        await close_and_judge(
            fleet,
            recorder,
            result,
            names=names,
            bounds=Bounds(in_force_s=IN_FORCE_S),
            directory=settings.directory,
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class _Change:
    change_id: str
    path: str
    weight: float


class _Race:
    """The operators that change settings and the samplers that read them, in one run."""

    def __init__(self, *, fleet: Fleet, recorder: HistoryRecorder, seed: int, scale: float) -> None:
        self._fleet = fleet
        self._recorder = recorder
        self._rng = random.Random(seed)
        self._hosts = list(fleet.entry_hosts_by_id.values())
        self._changes_per_operator = round(CHANGE_COUNT * scale / OPERATOR_COUNT)
        self._change_interval_s = CHANGE_INTERVAL_S
        self._deadline = trio.current_time() + TIMEOUT_S
        self.accepted = 0
        self.stale = 0
        self.undecided = 0

    async def run_operator(self, author: str) -> None:
        """Make changes until this operator's share is accepted or the time limit is reached."""
        done = sent = 0
        while done < self._changes_per_operator and trio.current_time() < self._deadline:
            sent += 1
            change = _Change(
                change_id=f"{author}-{sent}",
                path=self._rng.choice(PATHS),
                weight=1.0 + self._rng.random(),
            )
            if await self._submit(author, change):
                done += 1
            await trio.sleep(self._change_interval_s * (0.5 + self._rng.random()))

    async def _submit(self, author: str, change: _Change) -> bool:
        """Send a change until it is accepted or rejected; hosts recognise repeats by its id."""
        revision = await self._read_revision(change.path)
        message = {
            "change_id": change.change_id,
            "base_revision": revision,
            "author": author,
            "subtree": {"weight": change.weight},
        }
        while trio.current_time() < self._deadline:
            host = self._rng.choice(self._hosts)
            response = await self._call("PUT", host, f"/v1/settings/tree/{change.path}", message)
            if response is not None and response[0] == HTTP_OK:
                self._record_accepted(change, response[1]["offset"])
                return True
            if response is not None and response[0] in REJECTED_STATUSES and "kind" in response[1]:
                self.stale += 1
                return False
            self.undecided += 1
            await trio.sleep(RETRY_S)
        return False

    def _record_accepted(self, change: _Change, offset: int) -> None:
        self.accepted += 1
        event = SettingAccepted(
            at=self._fleet.clock.wall(),
            change_id=change.change_id,
            path=change.path,
            offset=offset,
        )
        self._recorder.record(event)

    async def _read_revision(self, path: str) -> int:
        while trio.current_time() < self._deadline:
            host = self._rng.choice(self._hosts)
            response = await self._call("GET", host, f"/v1/settings/tree/{path}")
            if response is not None and response[0] == HTTP_OK:
                return int(response[1]["revision"])
            await trio.sleep(RETRY_S)
        raise CallError(f"no entry host returned the settings at {path} within {TIMEOUT_S:g} s")

    async def sample(self, host: EntryHost) -> None:
        """Poll an entry host for the settings in force, one path after another."""
        index = 0
        while True:
            path = PATHS[index % len(PATHS)]
            index += 1
            response = await self._call("GET", host, f"/v1/settings/tree/{path}")
            if response is not None and response[0] == HTTP_OK:
                view = response[1]
                event = SettingsInForce(
                    at=self._fleet.clock.wall(),
                    entry_host=host.host_id,
                    offset=view["next_offset"] - 1,
                    digest=view["digest"],
                    revisions_by_path={path: view["revision"]},
                )
                self._recorder.record(event)
            await trio.sleep(SAMPLE_EVERY_S)

    def slowest_s(self) -> float:
        """Return the longest time from an accepted change to a host's first sample with it.

        A change missing from all samples of a host counts as in force only now.
        """
        history = self._recorder.history()
        samples_by_host = history.grouped(SettingsInForce, lambda sample: sample.entry_host)
        slowest = 0.0
        for change in history.of(SettingAccepted):
            for samples in samples_by_host.values():
                first = next((s.at for s in samples if s.offset >= change.offset), None)
                in_force_at = self._fleet.clock.wall() if first is None else first
                slowest = max(slowest, in_force_at - change.at)
        return slowest

    async def _call(
        self, method: str, host: EntryHost, path: str, message: Any = None
    ) -> tuple[int, Any] | None:
        try:
            reply = await self._fleet.call(method, host, path, message)
            return reply.status, msgspec.json.decode(reply.body)
        except (CallError, msgspec.DecodeError):
            return None
