"""Settings services with concurrent changes, isolation, restarts and diverging digests."""

import random

import trio
from returns.result import Failure, Success

from galenastall.node.settings.http_settings import HttpSettings
from galenastall.node.settings.settings_service import ChangePhase
from galenastall.protocol.codec import encode_record
from galenastall.protocol.settings_messages import SettingsFetched
from galenastall.state.errors import Reason
from galenastall.state.ids import SETTINGS_STREAM, ChangeId, RecordId
from galenastall.state.settings_records import SettingsSnapshot, VerdictKind
from galenastall.transport.http_messages import BodyStream, HttpRequest
from galenastall.transport.http_routes import RouteTable
from settings_rig import Fleet, Host, running_fleet


def snapshots_in(fleet: Fleet) -> int:
    return sum('"settings.snapshot"' in text for text in fleet.log.texts(SETTINGS_STREAM))


def fetched_in(fleet: Fleet) -> list[SettingsFetched]:
    return [message for message in fleet.network.sent if isinstance(message, SettingsFetched)]


def weight(host: Host, team: str = "a") -> float:
    return host.service.current.teams[team].weight


class TestChanges:
    async def test_two_operators_race(self, autojump_clock: trio.abc.Clock) -> None:
        async with running_fleet() as fleet:
            one, two = await fleet.start("one"), await fleet.start("two")
            kinds: list[VerdictKind] = []

            async def put(host: Host, number: int) -> None:
                verdict = await host.put(f"c{number}", "teams/a", {"weight": number + 1}, base=-1)
                kinds.append(verdict.unwrap().kind)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(put, one, 1)
                nursery.start_soon(put, two, 2)
            assert sorted(kinds) == [VerdictKind.ACCEPTED, VerdictKind.STALE]
            await trio.sleep(1.0)
            assert weight(one) == weight(two)
            assert one.service.fold.digest == two.service.fold.digest

    async def test_accepted_change_is_in_force_when_answered(
        self, autojump_clock: trio.abc.Clock
    ) -> None:
        async with running_fleet() as fleet:
            one = await fleet.start("one")
            verdict = (await one.put("c", "teams/a", {"weight": 7})).unwrap()
            assert verdict.is_accepted
            assert weight(one) == 7
            assert one.changes == [one.service.current]

    async def test_lost_answer_is_one_change(self, autojump_clock: trio.abc.Clock) -> None:
        async with running_fleet() as fleet:
            one, two = await fleet.start("one"), await fleet.start("two")
            one.log.lose_answers = 1
            assert (await one.put("c", "teams/a", {"weight": 7})).unwrap().is_accepted
            assert (await two.put("c", "teams/a", {"weight": 7}, base=-1)).unwrap().is_accepted
            assert len(fleet.log.texts(SETTINGS_STREAM)) == 1

    async def test_lost_request_is_reported_as_unknown(
        self, autojump_clock: trio.abc.Clock
    ) -> None:
        async with running_fleet() as fleet:
            one = await fleet.start("one")
            one.log.land_after_s = 20.0
            failed = await one.put("c", "teams/a", {"weight": 7})
            assert failed.failure().may_have_taken_effect
            assert one.service.status(ChangeId("c")).phase is ChangePhase.OPEN
            one.log.land_after_s = None
            await trio.sleep(30.0)
            assert one.service.status(ChangeId("c")).phase is ChangePhase.DECIDED
            assert weight(one) == 7

    async def test_change_id_used_for_something_else_is_a_conflict(
        self, autojump_clock: trio.abc.Clock
    ) -> None:
        async with running_fleet() as fleet:
            one = await fleet.start("one")
            await one.put("c", "teams/a", {"weight": 7})
            failed = await one.put("c", "teams/b", {"weight": 7})
            assert failed.failure().reason is Reason.CONFLICT

    async def test_invalid_change_is_not_appended(self, autojump_clock: trio.abc.Clock) -> None:
        async with running_fleet() as fleet:
            one = await fleet.start("one")
            failed = await one.put("c", "teams/a", {"wait": 7})
            assert "did you mean 'weight'" in failed.failure().detail
            assert not fleet.log.texts(SETTINGS_STREAM)


class TestStart:
    async def test_log_down_without_peers_is_not_ready(
        self, autojump_clock: trio.abc.Clock
    ) -> None:
        async with running_fleet() as fleet:
            one = await fleet.start("one")
            assert one.service.not_ready_reasons() == ()
            await one.put("c", "teams/a", {"weight": 7})
            fleet.kill("one")
            fleet.log.is_down = True
            two_log_down = await fleet.start("two", is_log_down=True)
            await trio.sleep(60.0)
            assert two_log_down.service.not_ready_reasons()
            failed = await two_log_down.put("d", "teams/a", {"weight": 8}, base=0)
            assert failed.failure().reason is Reason.UNAVAILABLE
            two_log_down.log.is_down = False
            await trio.sleep(5.0)
            assert two_log_down.service.not_ready_reasons() == ()
            assert weight(two_log_down) == 7

    async def test_host_restarted_in_a_log_outage_adopts_the_newest_peer_state(
        self, autojump_clock: trio.abc.Clock
    ) -> None:
        async with running_fleet() as fleet:
            hosts = [await fleet.start(name) for name in ("one", "two", "three")]
            await hosts[0].put("c1", "teams/a", {"weight": 7})
            await trio.sleep(1.0)
            hosts[2].log.is_down = True
            hosts[2].link.is_cut = True
            await trio.sleep(3.0)
            await hosts[0].put("c2", "teams/a", {"weight": 8})
            await trio.sleep(1.0)
            for host in hosts:
                host.log.is_down = True
            hosts[2].link.is_cut = False
            fleet.kill("one")
            again = await fleet.start("one", is_log_down=True)
            await trio.sleep(10.0)
            assert again.service.not_ready_reasons() == ()
            assert weight(again) == 8
            assert weight(hosts[2]) == 8

    async def test_log_trimmed_up_to_the_snapshot(self, autojump_clock: trio.abc.Clock) -> None:
        async with running_fleet() as fleet:
            one = await fleet.start("one")
            for index in range(5):
                await one.put(f"c{index}", "teams/a", {"weight": index + 1})
            await trio.sleep(300.0)
            assert snapshots_in(fleet) == 1
            await one.put("tail", "teams/b", {"weight": 9})
            fleet.log.trim(SETTINGS_STREAM, 5)
            two = await fleet.start("two")
            two.link.is_cut = True
            await trio.sleep(3.0)
            assert two.service.not_ready_reasons() == ()
            assert two.service.fold.digest == one.service.fold.digest
            assert weight(two) == 5

    async def test_log_trimmed_without_a_snapshot_is_not_ready(
        self, autojump_clock: trio.abc.Clock
    ) -> None:
        async with running_fleet() as fleet:
            one = await fleet.start("one")
            await one.put("c", "teams/a", {"weight": 7})
            fleet.kill("one")
            fleet.log.trim(SETTINGS_STREAM, 1)
            two = await fleet.start("two")
            await trio.sleep(10.0)
            assert "no snapshot" in two.service.not_ready_reasons()[0]

    async def test_slow_first_read_is_waited_for(self, autojump_clock: trio.abc.Clock) -> None:
        async with running_fleet() as fleet:
            one = await fleet.start("one")
            await one.put("c", "teams/a", {"weight": 7})
            two = await fleet.start("two", is_log_down=True)
            await trio.sleep(1.0)
            assert two.service.not_ready_reasons()
            two.log.is_down = False
            await trio.sleep(1.5)
            assert two.service.not_ready_reasons() == ()
            assert not fetched_in(fleet)


class TestCatchUp:
    async def test_peer_behind_fetches_records_and_never_goes_back(
        self, autojump_clock: trio.abc.Clock
    ) -> None:
        async with running_fleet() as fleet:
            one, two = await fleet.start("one"), await fleet.start("two")
            two.log.is_down = True
            await trio.sleep(3.0)
            for index in range(5):
                await one.put(f"c{index}", "teams/a", {"weight": index + 1})
            await trio.sleep(12.0)
            assert weight(two) == 5
            assert two.service.fold.digest == one.service.fold.digest
            answers = fetched_in(fleet)
            assert answers
            assert all(answer.snapshot is None for answer in answers)
            two.log.is_down = False
            await trio.sleep(5.0)
            seen = [settings.teams["a"].weight for settings in two.changes]
            assert seen == sorted(seen)

    async def test_host_far_behind_fetches_a_snapshot(self, autojump_clock: trio.abc.Clock) -> None:
        async with running_fleet() as fleet:
            one, two = await fleet.start("one"), await fleet.start("two")
            two.log.is_down = True
            await trio.sleep(3.0)
            two.link.is_cut = True
            for index in range(300):
                await one.put(f"c{index}", "teams/a", {"weight": index + 1})
            two.link.is_cut = False
            await trio.sleep(12.0)
            assert weight(two) == 300
            assert any(answer.snapshot is not None for answer in fetched_in(fleet))

    async def test_digest_mismatch_is_recorded_and_the_outvoted_host_is_not_ready(
        self, autojump_clock: trio.abc.Clock
    ) -> None:
        async with running_fleet() as fleet:
            hosts = [await fleet.start(name) for name in ("one", "two", "three")]
            await hosts[0].put("c", "teams/a", {"weight": 7})
            await trio.sleep(2.0)
            odd = hosts[1].service.fold
            odd._tree = {"teams": {"a": {"weight": 9}}}
            odd._digest = odd.state().digest()
            await trio.sleep(20.0)
            assert "differ" in hosts[1].service.not_ready_reasons()[0]
            assert hosts[1].service.catch_up.digest_mismatches > 0
            assert hosts[0].service.not_ready_reasons() == ()
            assert hosts[2].service.not_ready_reasons() == ()


class TestSnapshots:
    async def test_fleet_writes_about_one_snapshot_an_hour(
        self, autojump_clock: trio.abc.Clock
    ) -> None:
        async with running_fleet() as fleet:
            hosts = [await fleet.start(f"h{index}") for index in range(4)]
            await hosts[0].put("c", "teams/a", {"weight": 7})
            await trio.sleep(2 * 3600.0)
            assert 2 <= snapshots_in(fleet) <= 4

    async def test_damaged_snapshot_in_the_log_changes_nothing(
        self, autojump_clock: trio.abc.Clock
    ) -> None:
        async with running_fleet() as fleet:
            one = await fleet.start("one")
            await one.put("c", "teams/a", {"weight": 7})
            good = one.service.fold.snapshot(written_at=1000.0)
            bad = SettingsSnapshot(covering=good.covering, digest="0", state=good.state)
            fleet.log._land(SETTINGS_STREAM, [encode_record(bad, record_id=RecordId("bad"))])
            await trio.sleep(1.0)
            assert weight(one) == 7
            assert one.service.fold.mismatched_snapshots == 1


class TestRandomFaults:
    async def test_accepted_changes_hold_everywhere_and_never_revert(
        self, autojump_clock: trio.abc.Clock
    ) -> None:
        for seed in range(8):
            rng = random.Random(seed)
            async with running_fleet() as fleet:
                hosts = [await fleet.start(f"h{index}") for index in range(4)]
                accepted: set[str] = set()
                for number in range(40):
                    host = rng.choice(hosts)
                    for other in hosts:
                        other.log.is_down = rng.random() < 0.3
                        other.link.is_cut = rng.random() < 0.2
                    host.log.lose_answers = int(rng.random() < 0.3)
                    offsets = [other.service.next_offset for other in hosts]
                    path = f"teams/t{rng.randrange(3)}"
                    match await host.put(f"c{number}", path, {"weight": number + 1}):
                        case Success(verdict) if verdict.is_accepted:
                            accepted.add(f"c{number}")
                        case Failure(error):
                            assert error.reason in {Reason.UNAVAILABLE, Reason.TIMEOUT}
                    await trio.sleep(rng.uniform(0.0, 3.0))
                    now = [other.service.next_offset for other in hosts]
                    assert all(a <= b for a, b in zip(offsets, now, strict=True))
                for host in hosts:
                    host.log.is_down = host.link.is_cut = False
                    host.log.lose_answers = 0
                await trio.sleep(40.0)
                assert len({host.service.fold.digest for host in hosts}) == 1
                for change_id in accepted:
                    verdict = hosts[0].service.fold.verdict(ChangeId(change_id))
                    assert verdict is not None
                    assert verdict.is_accepted


class TestHttp:
    async def test_statuses(self, autojump_clock: trio.abc.Clock) -> None:
        async with running_fleet() as fleet:
            one = await fleet.start("one")
            table = RouteTable(handlers=[HttpSettings(service=one.service)])

            async def ask(method: str, path: str, body: str = "") -> tuple[int, bytes]:
                found = table.find(method, path)
                assert found is not None
                request = HttpRequest(
                    method=method,
                    path=path,
                    path_params=found[1],
                    stream=BodyStream.of(body.encode()),
                )
                response = await found[0].handler(request)
                assert isinstance(response.body, bytes)
                return response.status, response.body

            def body(change_id: str, base: int, subtree: str = '{"weight":2}') -> str:
                return (
                    f'{{"change_id":"{change_id}","base_revision":{base},'
                    f'"author":"ann","subtree":{subtree}}}'
                )

            path = "/v1/settings/tree/teams/a"
            assert (await ask("PUT", path, body("c1", -1)))[0] == 200
            assert (await ask("PUT", path, body("c2", -1)))[0] == 409
            assert (await ask("PUT", path, body("c3", 0, '{"x":1}')))[0] == 400
            assert (await ask("PUT", path, body("", 0)))[0] == 400
            assert (await ask("PUT", path, "{}"))[0] == 400
            assert (await ask("GET", "/v1/settings/changes/c2"))[0] == 200
            assert (await ask("GET", "/v1/settings/changes/none"))[0] == 404
            status, shown = await ask("GET", path)
            assert status == 200
            assert b'"revision":0' in shown
            assert b'"weight":2' in shown
            assert b'"stale"' in (await ask("GET", "/v1/settings/history"))[1]
            assert b'"renew_s":10.0' in (await ask("GET", "/v1/settings/in-force"))[1]
            fleet.log.is_down = True
            one.log.is_down = True
            await trio.sleep(5.0)
            status, refused = await ask("PUT", path, body("c4", 0))
            assert status == 503
            assert b"retry_after_s" in refused
