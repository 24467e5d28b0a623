"""Callers of a host that lacks the newest configuration, admitted by the leader."""

from dataclasses import dataclass, replace
from random import Random

import pytest
import trio
from returns.result import Failure, Result, Success

from cell.cluster import Cluster
from cell.scenarios import run_scenario
from cell.simulation import Simulation
from galenastall.coordination.cell.config_age import OUTDATED_AFTER_S
from galenastall.coordination.cell.refusal_budget import BURST, REFUSALS_PER_S
from galenastall.node.cell.call_admissions import CallAdmissions
from galenastall.node.cell.caller_handler import SubmitOutcome
from galenastall.node.cell.cell_metrics import CellMetrics
from galenastall.platform.access import KEY_HEADER, digest_of
from galenastall.platform.job_routes import DEADLINE_HEADER, JobRoutes
from galenastall.protocol.cell.call_admission import CallAddress
from galenastall.protocol.cell.config import CellConfig, Credential, QueueRoute
from galenastall.protocol.cell.messages import (
    AdmitCall,
    CallAdmission,
    CallRefusal,
    SubmitVerdict,
)
from galenastall.protocol.codec import decode_message, encode_message
from galenastall.state.cell.jobs import CellJob, Queue
from galenastall.state.cell.workspaces import Workspace
from galenastall.state.errors import Reason, StepError
from galenastall.state.timeline_ring import TimelineRing
from galenastall.transport.clock import TrioClock
from galenastall.transport.http_messages import BodyStream, HttpRequest, HttpResponse
from galenastall.transport.logs import Recorder
from galenastall.transport.metrics import Metrics
from galenastall.transport.request_body import REFUSED
from test_outdated_hosts import (
    BODY,
    KEY,
    NEW_KEY,
    PROPAGATION_S,
    Caller,
    make_hosts_outdated,
    set_config,
)
from test_platform_access import FakeLeader

QUEUE = Queue(name="queue", service="service")
JOB = "00000000000000ab"
WAITS_S = 3.0


def make_config(version: int, *prefixes: str, keys: tuple[str, ...] = (KEY,)) -> CellConfig:
    return CellConfig(
        version=version,
        routes=tuple(QueueRoute(host="q", path_prefix=each, queue=QUEUE) for each in prefixes),
        workspaces=(Workspace(name="a"),),
        credentials=tuple(Credential(digest=digest_of(key), workspace="a") for key in keys),
        requires_keys=True,
    )


class HostConfig:
    """The configuration of a host that receives no newer one."""

    def __init__(self, config: CellConfig | None, *, newest_known: int = 0) -> None:
        self.config = config
        self.newest_known = newest_known
        self.look_count = 0

    @property
    def newest_known_version(self) -> int:
        return max(self.newest_known, self.config.version if self.config else 0)

    def current(self) -> CellConfig | None:
        return self.config

    async def look(self) -> None:
        self.look_count += 1


def make_recorder() -> Recorder:
    return Recorder(process="t", clock=TrioClock(), ring=TimelineRing(capacity=1_000))


def make_admissions(
    own: HostConfig, leader: FakeLeader, *, recorder: Recorder | None = None
) -> CallAdmissions:
    return CallAdmissions(
        leader=leader, config=own, clock=TrioClock(), recorder=recorder or make_recorder()
    )


async def admit(
    admissions: CallAdmissions, path: str = f"/q/{JOB}", *, key: str = KEY
) -> Result[CallAdmission, StepError]:
    call = CallAddress(host="q", path=path, key_digest=digest_of(key))
    return await admissions.admit(call, patience_s=WAITS_S)


class TestChoiceOfVersion:
    old, new = make_config(1, "/q/"), make_config(2, "/q/", "/added/", keys=(KEY, NEW_KEY))

    async def test_a_host_that_is_not_behind_does_not_ask_the_leader(self) -> None:
        leader = FakeLeader(self.old)
        answer = await admit(make_admissions(HostConfig(self.old), leader))
        assert answer.unwrap().version == 1
        assert leader.admission_count == 0

    @pytest.mark.parametrize(("path", "key"), [("/added/x", KEY), ("/q/x", NEW_KEY)])
    async def test_a_newer_route_or_key_is_admitted_without_a_look_if_known_to_exist(
        self, path: str, key: str
    ) -> None:
        own = HostConfig(self.old, newest_known=2)
        admissions = make_admissions(own, FakeLeader(self.new))
        assert (await admit(admissions, path, key=key)).unwrap().version == 2
        assert own.look_count == 0

    async def test_a_look_that_brings_nothing_is_followed_by_the_leader(self) -> None:
        own = HostConfig(self.old)
        admissions = make_admissions(own, FakeLeader(self.new))
        assert (await admit(admissions, key=NEW_KEY)).unwrap().version == 2
        assert own.look_count == 1

    @pytest.mark.parametrize("newest_known", [0, 2])
    async def test_a_host_without_a_configuration_admits_by_the_leader(
        self, newest_known: int
    ) -> None:
        own = HostConfig(None, newest_known=newest_known)
        admissions = make_admissions(own, FakeLeader(self.new))
        found = (await admit(admissions)).unwrap()
        assert (found.version, found.workspace) == (2, "a")

    async def test_a_leader_with_an_older_version_does_not_admit_a_revoked_key(self) -> None:
        own = HostConfig(make_config(3, "/q/", keys=(NEW_KEY,)))
        admissions = make_admissions(own, FakeLeader(self.old))
        found = (await admit(admissions)).unwrap()
        assert (found.version, found.refusal) == (3, CallRefusal.UNAUTHORIZED)

    @pytest.mark.parametrize(("path", "key"), [("/added/x", KEY), ("/q/x", NEW_KEY)])
    @pytest.mark.parametrize("own_version", [0, 1, 2])
    async def test_nobody_is_refused_by_a_version_older_than_the_newest_known(
        self, path: str, key: str, own_version: int
    ) -> None:
        """The leader is behind as well: what it refuses may be in the version it lacks."""
        config = make_config(own_version, "/q/") if own_version else None
        leader = FakeLeader(make_config(2, "/q/"))
        answer = await admit(
            make_admissions(HostConfig(config, newest_known=3), leader), path, key=key
        )
        assert answer.failure().reason is Reason.UNAVAILABLE

    @pytest.mark.parametrize(("path", "key"), [("/added/x", KEY), ("/q/x", NEW_KEY)])
    async def test_without_a_leader_nothing_is_guessed(self, path: str, key: str) -> None:
        admissions = make_admissions(HostConfig(self.old, newest_known=2), FakeLeader())
        answer = await admit(admissions, path, key=key)
        assert answer.failure().reason is Reason.UNREACHABLE


class OlderProgram(FakeLeader):
    """A leader whose program does not know the message."""

    async def admit(
        self, call: CallAddress, *, patience_s: float, config_version: int
    ) -> Result[CallAdmission, StepError]:
        self.admission_count += 1
        return Failure(StepError(step="peer.call", peer="entry-1", reason=Reason.INVALID))


class TestUpToDateHosts:
    """Hosts that know of no newer version, and read again before they refuse a call."""

    config = make_config(1, "/q/")

    @pytest.mark.parametrize(
        ("path", "key", "refusal"),
        [("/made-up/x", KEY, CallRefusal.NOT_FOUND), ("/q/x", NEW_KEY, CallRefusal.UNAUTHORIZED)],
    )
    @pytest.mark.parametrize("leader", [FakeLeader(), OlderProgram()])
    async def test_their_refusal_stands_without_a_leader(
        self, path: str, key: str, refusal: CallRefusal, leader: FakeLeader
    ) -> None:
        own = HostConfig(self.config)
        found = (await admit(make_admissions(own, leader), path, key=key)).unwrap()
        assert (found.version, found.refusal) == (1, refusal)
        assert own.look_count >= 1

    async def test_a_call_after_a_conflict_is_decided_after_a_look_if_the_leader_is_older(
        self,
    ) -> None:
        own = HostConfig(self.config)
        call = CallAddress(host="q", path=f"/q/{JOB}", key_digest=digest_of(KEY))
        admissions = make_admissions(own, OlderProgram())
        found = (await admissions.admit_by_leader(call, patience_s=WAITS_S)).unwrap()
        assert (found.version, found.workspace) == (1, "a")
        assert own.look_count == 1

    async def test_a_refusal_is_not_late_while_a_leader_is_missing(
        self, autojump_clock: object
    ) -> None:
        async def scenario(cluster: Cluster, simulation: Simulation, rng: Random) -> None:
            leader = await cluster.wait_for_leader()
            await trio.sleep(PROPAGATION_S)
            other = next(name for name in cluster.names if name != leader)
            simulation.faults.cut |= {(leader, other), (other, leader)}
            await trio.sleep(PROPAGATION_S)
            began_at = trio.current_time()
            answer = await Caller(cluster, other).call("POST", "/made-up/x", body=BODY)
            assert answer.status == 404
            assert trio.current_time() - began_at <= WAITS_S / 4

        await run_scenario(scenario, seed=62)


class TestFloor:
    old, new = make_config(1, "/q/", "/dropped/"), make_config(2, "/q/", keys=(KEY, NEW_KEY))

    async def test_no_call_is_handled_by_an_older_version_than_one_before(self) -> None:
        recorder = make_recorder()
        own, leader = HostConfig(self.old), FakeLeader(self.new)
        admissions = make_admissions(own, leader, recorder=recorder)
        assert (await admit(admissions, "/dropped/x")).unwrap().version == 1
        assert (await admit(admissions, key=NEW_KEY)).unwrap().version == 2
        found = (await admit(admissions, "/dropped/x")).unwrap()
        assert (found.version, found.refusal) == (2, CallRefusal.NOT_FOUND)
        assert [event.step for event in recorder.ring] == ["config.behind"]

    @pytest.mark.parametrize("reached", [True, False])
    async def test_a_leader_below_the_floor_or_none_decides_on_nothing(self, reached: bool) -> None:
        own, leader = HostConfig(self.old), FakeLeader(self.new)
        admissions = make_admissions(own, leader)
        assert (await admit(admissions, key=NEW_KEY)).unwrap().version == 2
        leader.leader_config = self.old if reached else None
        for path in (f"/q/{JOB}", "/dropped/x", "/made-up/x"):
            assert isinstance(await admit(admissions, path), Failure)

    async def test_a_host_that_has_caught_up_decides_by_itself_again(self) -> None:
        own, leader = HostConfig(self.old), FakeLeader(self.new)
        admissions = make_admissions(own, leader)
        await admit(admissions, key=NEW_KEY)
        own.config = self.new
        leader.leader_config = None
        assert (await admit(admissions)).unwrap().version == 2


class TestMadeUpKeys:
    old, new = make_config(1, "/q/"), make_config(2, "/q/", keys=(KEY, NEW_KEY))

    @pytest.mark.parametrize("newest_known", [1, 2])
    async def test_they_cost_the_leader_a_bounded_number_of_calls(
        self, autojump_clock: object, newest_known: int
    ) -> None:
        leader = FakeLeader(self.old if newest_known == 1 else self.new)
        admissions = make_admissions(HostConfig(self.old, newest_known=newest_known), leader)
        for number in range(1_000):
            answer = await admit(admissions, key=f"made-up-{number}")
            assert isinstance(answer, Failure) or not answer.unwrap().is_admitted
            await trio.sleep(0.004)
        assert leader.admission_count <= BURST + 4.0 * REFUSALS_PER_S + 1

    async def test_beyond_the_bound_a_host_that_is_behind_refuses_nobody_for_good(self) -> None:
        own = HostConfig(self.old)
        admissions = make_admissions(own, FakeLeader(self.old))
        for number in range(int(BURST)):
            await admit(admissions, key=f"made-up-{number}")
        found = (await admit(admissions, key=NEW_KEY)).unwrap()
        assert found.refusal is CallRefusal.UNAUTHORIZED
        own.newest_known = 2
        assert (await admit(admissions, key=NEW_KEY)).failure().reason is Reason.UNAVAILABLE

    async def test_calls_that_the_leader_admits_are_not_bounded(self) -> None:
        admissions = make_admissions(HostConfig(self.old, newest_known=2), FakeLeader(self.new))
        for _ in range(5 * int(BURST)):
            assert (await admit(admissions, key=NEW_KEY)).unwrap().is_admitted


@dataclass(frozen=True, kw_only=True)
class Submission:
    """A submission as the handler received it."""

    config_version: int
    may_be_stored: bool
    patience_s: float


class OutdatedThenAccepted(FakeLeader):
    """Refuses submissions by an older version than the leader's, and may have stored the first."""

    def __init__(
        self,
        config: CellConfig | None,
        *,
        may_be_stored: bool,
        admission_s: float = 0.0,
        least_version: int = 2,
    ) -> None:
        super().__init__(config)
        self.submissions: list[Submission] = []
        self._may_be_stored = may_be_stored
        self._admission_s = admission_s
        self._least_version = least_version

    async def admit(
        self, call: CallAddress, *, patience_s: float, config_version: int
    ) -> Result[CallAdmission, StepError]:
        await trio.sleep(self._admission_s)
        return await super().admit(call, patience_s=patience_s, config_version=config_version)

    async def submit(
        self, job: CellJob, *, patience_s: float, config_version: int, may_be_stored: bool
    ) -> SubmitOutcome:
        submission = Submission(
            config_version=config_version, may_be_stored=may_be_stored, patience_s=patience_s
        )
        self.submissions.append(submission)
        if config_version < self._least_version:
            return SubmitOutcome(
                verdict=SubmitVerdict.UNKNOWN,
                cause="outdated",
                is_outdated=True,
                may_be_stored=self._may_be_stored,
            )
        return SubmitOutcome(verdict=SubmitVerdict.ACCEPTED)


async def submit_by(
    handler: FakeLeader,
    own: HostConfig,
    *,
    recorder: Recorder | None = None,
    stream: BodyStream | None = None,
) -> HttpResponse:
    routes = JobRoutes(
        handler=handler,  # type: ignore[arg-type]
        config=own,
        clock=TrioClock(),
        recorder=recorder or make_recorder(),
        submit_seconds=CellMetrics(metrics=Metrics()).submit_seconds,
        query_seconds=CellMetrics(metrics=Metrics()).query_seconds,
    )
    headers = {"host": "q", KEY_HEADER: KEY, DEADLINE_HEADER: str(int(WAITS_S * 1000))}
    stream = stream or BodyStream.of(BODY)
    request = HttpRequest(method="POST", path=f"/q/{JOB}", headers=headers, stream=stream)
    return await routes.submit(request)


class TestSubmissions:
    old, new = make_config(1, "/q/"), make_config(2, "/q/")
    revoked = make_config(2, "/q/", keys=(NEW_KEY,))

    @pytest.mark.parametrize("may_be_stored", [True, False])
    async def test_a_try_that_may_be_stored_is_remembered_by_the_next(
        self, may_be_stored: bool
    ) -> None:
        handler = OutdatedThenAccepted(self.new, may_be_stored=may_be_stored)
        assert (await submit_by(handler, HostConfig(self.old))).status == 200
        assert [each.config_version for each in handler.submissions] == [1, 2]
        assert [each.may_be_stored for each in handler.submissions] == [False, may_be_stored]

    @pytest.mark.parametrize(("may_be_stored", "status"), [(True, 504), (False, 401)])
    async def test_a_job_that_may_be_stored_is_not_refused_for_a_revoked_key(
        self, may_be_stored: bool, status: int
    ) -> None:
        handler = OutdatedThenAccepted(self.revoked, may_be_stored=may_be_stored)
        assert (await submit_by(handler, HostConfig(self.old))).status == status

    async def test_a_body_that_is_not_read_on_is_refused_as_not_run(self) -> None:
        async def receive() -> dict[str, str]:
            return {"type": REFUSED}

        handler, recorder = OutdatedThenAccepted(self.new, may_be_stored=False), make_recorder()
        stream = BodyStream(receive=receive)
        response = await submit_by(handler, HostConfig(self.old), recorder=recorder, stream=stream)
        assert (response.status, response.headers["retry-after"]) == (429, "1")
        assert handler.submissions == []
        [event] = [each for each in recorder.ring if each.step == "job.refused"]
        assert event.fields["verdict"] == "not_run"

    async def test_an_admission_waits_for_a_takeover(self, autojump_clock: object) -> None:
        async def scenario(cluster: Cluster, simulation: Simulation, rng: Random) -> None:
            old = simulation.config.routes
            added = replace(old[0], path_prefix="/added/")
            await cluster.wait_for_leader()
            await trio.sleep(PROPAGATION_S)
            first = cluster.leader
            assert first is not None
            behind = "entry-1"
            assert first != behind
            simulation.faults.config_undelivered.add(behind)
            set_config(simulation, *old, added)
            await trio.sleep(PROPAGATION_S)
            cluster.kill(first)
            answer = await Caller(cluster, behind).call("POST", f"/added/{JOB}", body=BODY)
            assert answer.status == 200, answer.body

        await run_scenario(scenario, seed=63, claim_delays_s=(0.0, 0.5, 0.0))

    async def test_the_admission_counts_within_the_callers_time(
        self, autojump_clock: object
    ) -> None:
        handler = OutdatedThenAccepted(self.new, may_be_stored=False, admission_s=1.0)
        assert (await submit_by(handler, HostConfig(self.old))).status == 200
        assert handler.submissions[1].patience_s <= WAITS_S - 1.0

    async def test_without_a_leader_a_submission_is_refused_with_retry_after(self) -> None:
        recorder = make_recorder()
        handler = OutdatedThenAccepted(None, may_be_stored=False)
        answer = await submit_by(handler, HostConfig(None, newest_known=2), recorder=recorder)
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0.0
        assert handler.submissions == []
        (event,) = recorder.ring
        assert (event.step, event.subjects) == ("job.refused", (JOB,))


class TestMessages:
    def test_a_call_and_its_admission_pass_the_wire(self) -> None:
        route = make_config(1, "/q/").routes[0]
        for sent in (
            AdmitCall(host="q", path="/q/x", key_digest=digest_of(KEY), config_version=1),
            CallAdmission(version=1, route=route, workspace="a"),
            CallAdmission(version=1, refusal=CallRefusal.UNAUTHORIZED),
        ):
            name, body = encode_message(sent)
            assert decode_message(name, body, peer="entry-1") == Success(sent)


class TestHostsBehindTheLeader:
    async def test_a_host_does_not_return_to_its_version_when_the_leader_is_gone(
        self, autojump_clock: object
    ) -> None:
        async def scenario(cluster: Cluster, simulation: Simulation, rng: Random) -> None:
            old = simulation.config.routes
            dropped = replace(old[0], path_prefix="/dropped/")
            set_config(simulation, *old, dropped, keys=(KEY,))
            await trio.sleep(PROPAGATION_S)
            leader = await cluster.wait_for_leader()
            outdated = await make_hosts_outdated(cluster, simulation, *old, keys=(KEY,))
            callers = [Caller(cluster, name) for name in outdated]
            for number, caller in enumerate(callers):
                path = f"/q/{number:016x}"
                assert (await caller.call("POST", path, body=BODY)).status == 200
                path = f"/dropped/{number:016x}"
                assert (await caller.call("POST", path, body=BODY)).status == 404
            cluster.kill(leader)
            assert await cluster.wait_for_other_leader(leader) in outdated
            for number, caller in enumerate(callers):
                path = f"/dropped/{number + 10:016x}"
                answer = await caller.call("POST", path, body=BODY)
                assert answer.status == 504
                assert float(answer.headers["retry-after"]) > 0.0

        await run_scenario(scenario, seed=61)

    async def test_a_host_that_has_no_configuration_serves(self, autojump_clock: object) -> None:
        async def scenario(cluster: Cluster, simulation: Simulation, rng: Random) -> None:
            leader = await cluster.wait_for_leader()
            name = next(each for each in cluster.names if each != leader)
            cluster.kill(name)
            simulation.faults.config_undelivered.add(name)
            await cluster.start(name)
            await trio.sleep(PROPAGATION_S)
            assert cluster.live[name].host.config.current() is None
            caller = Caller(cluster, name)
            assert (await caller.call("POST", f"/q/{JOB}", body=BODY)).status == 200
            assert (await caller.call("GET", f"/q/{JOB}")).status == 200
            assert (await caller.call("GET", f"/made-up/{JOB}")).status == 404

        await run_scenario(scenario, seed=62)

    async def test_neither_a_key_nor_its_digest_is_shown(self, autojump_clock: object) -> None:
        secrets = [KEY, NEW_KEY, "made-up", *map(digest_of, (KEY, NEW_KEY, "made-up"))]

        async def scenario(cluster: Cluster, simulation: Simulation, rng: Random) -> None:
            await cluster.wait_for_leader()
            routes = simulation.config.routes
            outdated = await make_hosts_outdated(cluster, simulation, *routes, keys=(NEW_KEY,))
            caller = Caller(cluster, outdated[0])
            for method in ("POST", "GET", "DELETE"):
                for key, status in ((KEY, 401), ("made-up", 401), (NEW_KEY, 200)):
                    answer = await caller.call(method, f"/q/{JOB}", body=BODY, key=key)
                    assert answer.status == status
                    assert not any(each in repr(answer) for each in secrets)

        cluster = await run_scenario(scenario, seed=63)
        events = [event for recorder in cluster.all_recorders for event in recorder.ring]
        assert events
        assert not any(each in repr(events) for each in secrets)


PREFIXES = ("/q/", "/a/", "/b/", "/c/")
KEYS = ("key-0", "key-1", "key-2", "key-3")
LASTS_S = 25.0
FRESH_WITHIN_S = 3.0


class ConfigHistory:
    """All versions, when the leader had them, and when hosts receive them."""

    def __init__(self, cluster: Cluster, simulation: Simulation, rng: Random, leader: str) -> None:
        self._cluster = cluster
        self._simulation = simulation
        self._rng = rng
        self._leader = leader
        self.versions: dict[int, CellConfig] = {}
        self.leader_since: dict[int, float] = {}

    async def write_forever(self) -> None:
        while True:
            self._write()
            await trio.sleep(self._rng.uniform(1.0, 5.0))

    def _write(self) -> None:
        rng, faults = self._rng, self._simulation.faults
        known = self._simulation.config.routes[0]
        prefixes = rng.sample(PREFIXES, rng.randint(1, len(PREFIXES)))
        keys = rng.sample(KEYS, rng.randint(1, len(KEYS)))
        for name in self._cluster.names:
            fate = rng.choice(["received", "late", "never"])
            if name == self._leader or fate == "received":
                faults.config_undelivered.discard(name)
                continue
            faults.config_undelivered.add(name)
            if fate == "late":
                self._cluster.nursery.start_soon(self._deliver, name, rng.uniform(0.5, 8.0))
        routes = [replace(known, path_prefix=prefix) for prefix in prefixes]
        set_config(self._simulation, *routes, keys=tuple(keys))
        self.versions[self._simulation.config.version] = self._simulation.config

    async def _deliver(self, name: str, after_s: float) -> None:
        await trio.sleep(after_s)
        self._simulation.faults.config_undelivered.discard(name)

    async def watch_leader_forever(self) -> None:
        while True:
            version = self._cluster.live[self._leader].host.config.version
            self.leader_since.setdefault(version, trio.current_time())
            await trio.sleep(0.01)

    def required_at(self, sent_at: float) -> int:
        """Return the newest version that the leader had long enough before a call."""
        versions = (v for v, at in self.leader_since.items() if at <= sent_at - FRESH_WITHIN_S)
        return max(versions, default=0)

    def status_by(self, version: int, prefix: str, key: str) -> int:
        config = self.versions[version]
        if all(route.path_prefix != prefix for route in config.routes):
            return 404
        known = {credential.digest for credential in config.credentials}
        return 200 if digest_of(key) in known else 401


class HostCalls:
    """Calls of one host, one after the other, checked against the versions that explain them."""

    def __init__(self, history: ConfigHistory, cluster: Cluster, name: str) -> None:
        self._history = history
        self._caller = Caller(cluster, name)
        self._live = cluster.live[name]
        self._least = 0
        """The oldest version that explains the last answer, given those before it."""
        self.answered = 0
        self.unanswered = 0
        self.answered_while_behind = 0

    async def call_forever(self, rng: Random, first_id: int) -> None:
        number = first_id
        while True:
            await trio.sleep(rng.uniform(0.05, 0.4))
            number += 1
            await self._call(rng, number)

    async def _call(self, rng: Random, number: int) -> None:
        prefix, key = rng.choice(PREFIXES), rng.choice(KEYS)
        method = rng.choice(["POST", "GET", "DELETE"])
        is_behind = self._live.host.config.version < max(self._history.leader_since, default=0)
        sent_at = trio.current_time()
        answer = await self._caller.call(method, f"{prefix}{number:016x}", body=BODY, key=key)
        status = 200 if answer.status == 410 else answer.status
        if status not in {200, 401, 404}:
            self.unanswered += 1
            return
        self.answered += 1
        self.answered_while_behind += is_behind
        required = max(self._least, self._history.required_at(sent_at))
        explained = [
            version
            for version in sorted(self._history.versions)
            if version >= required and self._history.status_by(version, prefix, key) == status
        ]
        assert explained, f"{method} {prefix} with {key}: {status}, not by {required} or newer"
        self._least = explained[0]


class TestRandomVersions:
    @pytest.mark.parametrize("seed", range(20))
    async def test_no_call_is_handled_by_an_older_version_than_the_rules_allow(
        self, autojump_clock: object, seed: int
    ) -> None:
        async def scenario(cluster: Cluster, simulation: Simulation, rng: Random) -> None:
            leader = await cluster.wait_for_leader()
            history = ConfigHistory(cluster, simulation, rng, leader)
            calls = [HostCalls(history, cluster, name) for name in cluster.names]
            async with trio.open_nursery() as nursery:
                nursery.start_soon(history.write_forever)
                nursery.start_soon(history.watch_leader_forever)
                await trio.sleep(PROPAGATION_S + OUTDATED_AFTER_S)
                for index, each in enumerate(calls):
                    nursery.start_soon(each.call_forever, rng, index * 10_000)
                await trio.sleep(LASTS_S)
                nursery.cancel_scope.cancel()
            answered = sum(each.answered for each in calls)
            assert sum(each.answered_while_behind for each in calls) > 50
            assert sum(each.unanswered for each in calls) <= answered / 100

        await run_scenario(scenario, seed=seed, hosts=4)
