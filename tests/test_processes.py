"""Entry hosts as real processes: commands, settings in force, stops, starts under faults, keys."""

import http.client
import json
import signal
import socket
import ssl
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any

import pytest
import trustme
import zmq
from returns.result import Success
from typer.testing import CliRunner

from galenastall.cli.app import app
from galenastall.standin.control_client import StandinControl
from process_rig import LIMIT_S, Running, Site, open_site, wait_until

FLEET = {
    "data_centres": ["gangnam", "mapo", "seongsu"],
    "host_list_lag_seconds": 0.1,
    "workers": {"count": 6, "cores": 8, "memory_gb": 16},
    "executors": {"count": 6},
}
BIG_ANSWER_BYTES = 16 * 1024 * 1024
NO_SUCH_HOST = "127.0.0.1:1"


@dataclass(frozen=True, kw_only=True)
class Fleet:
    """Two entry hosts of one data centre, one of another, and some to be stopped in a third."""

    site: Site
    first: Running
    second: Running
    far: Running
    spare: list[Running]


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    with open_site(tmp_path_factory.mktemp("fleet")) as site:
        site.start_standin(**FLEET)
        first, second = site.start_nodes("g1", "g2", data_centre="gangnam")
        [far] = site.start_nodes("m1", data_centre="mapo")
        spare = site.start_nodes("s1", "s2", "s3", "s4", data_centre="seongsu")
        site.wait_ready(first, second, far, *spare)
        yield Fleet(site=site, first=first, second=second, far=far, spare=spare)


def write_job(folder: Path, **fields: Any) -> str:
    path = folder / f"{fields['job_id']}.json"
    size = {"cores_milli": 1000, "memory_mb": 100}
    path.write_text(json.dumps({"team": "packs", "workload": "batch", "resources": size, **fields}))
    return str(path)


class TestCommands:
    def test_a_job_from_submit_to_its_end(self, fleet: Fleet, tmp_path: Path) -> None:
        site, entry = fleet.site, fleet.first
        job = write_job(tmp_path, job_id="round-trip", tasks=2, run_s=0.1)
        for was_known in (False, True):
            accepted = site.cli(entry, "submit", "job", job, "-o", "json")
            assert accepted.exit_code == 0, accepted.output
            assert json.loads(accepted.stdout)["was_known"] is was_known

        def state() -> str:
            shown = site.cli(fleet.second, "status", "round-trip", "-o", "json")
            return str(json.loads(shown.stdout)["state"])

        wait_until("job done", lambda: state() == "done")
        assert "state: done" in site.cli(entry, "status", "round-trip").stdout
        assert "job.accepted" in site.cli(entry, "timeline", "round-trip").stdout
        events = json.loads(site.cli(entry, "timeline", "round-trip", "-o", "json").stdout)
        assert {event["step"] for event in events["events"]} >= {"job.accepted", "job.assigned"}
        assert "accepted" in site.cli(entry, "explain", "round-trip").stdout
        assert json.loads(site.cli(entry, "explain", "round-trip", "-o", "json").stdout)
        assert site.cli(entry, "cancel", "round-trip").exit_code == 3

    def test_a_cancelled_job(self, fleet: Fleet, tmp_path: Path) -> None:
        job = write_job(tmp_path, job_id="long", tasks=1, run_s=600.0)
        assert fleet.site.cli(fleet.first, "submit", "job", job).exit_code == 0
        cancelled = fleet.site.cli(fleet.second, "cancel", "long", "-o", "json")
        assert cancelled.exit_code == 0
        assert json.loads(cancelled.stdout)["job_id"] == "long"

    def test_a_request_and_its_status(self, fleet: Fleet) -> None:
        site, entry = fleet.site, fleet.first
        ask = ("submit", "request", "assemble", "--team", "packs", "--request-id")
        plain = site.cli(entry, *ask, "r-1")
        assert plain.exit_code == 0, plain.output
        assert plain.stdout.startswith("r-1")
        assert "r-1: done" in plain.stderr
        ended = json.loads(site.cli(entry, *ask, "r-2", "-o", "json").stdout)
        assert (ended["outcome"], ended["status"], ended["request_id"]) == ("done", 200, "r-2")
        shown = json.loads(site.cli(entry, "status", "request:r-2", "-o", "json").stdout)
        assert (shown["state"], shown["outcome"]) == ("ended", "done")
        assert "request.sent" in site.cli(fleet.second, "timeline", "r-1").stdout

    def test_entry_host_status(self, fleet: Fleet) -> None:
        def owns_all() -> bool:
            shown = [fleet.site.status(each) for each in (fleet.first, fleet.second)]
            counts = [each["owned_by_kind"].get("upstream", 0) for each in shown]
            return bool(sum(counts) == 2)

        wait_until("both upstreams owned", owns_all)
        shown = fleet.site.status(fleet.first)
        assert shown["roster"] == ["g1", "g2"]
        assert shown["log"]["is_up"]
        assert shown["log"]["is_fresh"]
        assert shown["log"]["next_offset_by_stream"]["data-centre.gangnam"] > 0
        assert shown["http_address"] == fleet.first.http
        text = fleet.site.cli(fleet.first, "status")
        assert text.exit_code == 0
        assert "host_id: g1" in text.stdout

    @pytest.mark.parametrize(
        ("arguments", "code"),
        [
            (["status", "nobody"], 6),
            (["status", "request:nobody"], 6),
            (["cancel", "nobody"], 6),
            (["timeline", "nobody"], 0),
            (["explain", "nobody"], 0),
            (["settings", "status", "nobody"], 6),
            (["settings", "show", "a//b"], 2),
            (["submit", "job", "/nowhere.yaml"], 2),
            (["submit", "request", "x", "--team", "t", "--file", "/nowhere"], 2),
            (["submit", "request", "x", "--team", "t", "--class", "soon"], 2),
            (["submit", "request", "x", "--team", "t", "--key", "malformed"], 2),
            (["timeline", "g1", "--file", "/nowhere/file"], 2),
        ],
    )
    @pytest.mark.parametrize("output", ["text", "json"])
    def test_exit_codes(self, fleet: Fleet, arguments: list[str], code: int, output: str) -> None:
        result = fleet.site.cli(fleet.first, *arguments, "--output", output)
        assert result.exit_code == code, result.output
        if code and output == "json" and result.stderr.startswith("{"):
            assert json.loads(result.stderr)["step"]

    @pytest.mark.parametrize(
        "arguments",
        [
            ["status"],
            ["status", "j"],
            ["cancel", "j"],
            ["timeline", "j"],
            ["explain", "j"],
            ["drain"],
            ["settings", "show"],
            ["settings", "show", "--in-force"],
            ["settings", "history"],
            ["settings", "status", "c"],
            ["submit", "request", "x", "--team", "t"],
        ],
    )
    def test_unreachable_entry_host(self, fleet: Fleet, arguments: list[str]) -> None:
        result = fleet.site.cli(NO_SUCH_HOST, *arguments, "-o", "json")
        assert result.exit_code == 4, result.output
        assert json.loads(result.stderr)["reason"] == "unreachable"

    def test_malformed_address(self, fleet: Fleet) -> None:
        result = fleet.site.cli("nonsense", "status")
        assert result.exit_code == 2
        assert "--entry nonsense" in result.stderr


class TestSettingsInForce:
    def change(self, fleet: Fleet, path: str, value: str) -> None:
        """Change a subtree and wait until it is in force on the second and the far host."""
        wait_until("log up", lambda: fleet.site.status(fleet.first)["log"]["is_up"])
        shown = json.loads(
            fleet.site.cli(fleet.first, "settings", "show", path, "-o", "json").stdout
        )
        base = ["--base", str(shown["revision"])]
        what = ["--value", value] if value else ["--remove"]
        result = fleet.site.cli(
            fleet.first, "settings", "apply", path, "--author", "ops", *what, *base
        )
        assert result.exit_code == 0, result.output
        digest = fleet.site.status(fleet.first)["settings_digest"]

        def has_it(other: Running) -> bool:
            return bool(fleet.site.status(other)["settings_digest"] == digest)

        for other in (fleet.second, fleet.far):
            wait_until("in force everywhere", partial(has_it, other))

    def submit_request(self, fleet: Fleet, team: str) -> dict[str, Any]:
        ask = ("submit", "request", "assemble", "--team", team, "-o", "json")
        return dict(json.loads(fleet.site.cli(fleet.first, *ask).stdout))

    def test_unknown_teams_are_refused_and_rates_limited(self, fleet: Fleet) -> None:
        self.change(
            fleet, "teams", "packs: {teams: {slow: {requests: {rate_per_s: 0.001, burst: 1}}}}"
        )
        unknown = wait_until(
            "unknown team refused",
            lambda: (found := self.submit_request(fleet, "strangers"))["outcome"] == "not_run"
            and found,
        )
        assert (unknown["reason"], unknown["status"]) == ("unknown_team", 403)
        assert "'strangers' is not in the shared settings" in unknown["body"]
        assert self.submit_request(fleet, "packs/slow")["outcome"] == "done"
        limited = self.submit_request(fleet, "packs/slow")
        assert (limited["outcome"], limited["reason"]) == ("not_run", "team_rate")
        assert limited["retry_after_ms"] > 60_000
        assert self.submit_request(fleet, "packs")["outcome"] == "done"
        self.change(fleet, "teams", "")

    def test_leaving_upstreams_get_nothing_new(self, fleet: Fleet) -> None:
        names = [host["host_id"] for host in fleet.site.hosts if host["kind"] == "upstream"]
        leaving = {name: {"why": "replaced"} for name in names if "gangnam" in name}
        self.change(fleet, "leaving_upstreams", json.dumps(leaving))
        wait_until(
            "refused", lambda: self.submit_request(fleet, "packs")["reason"] == "no_upstream"
        )
        self.change(fleet, "leaving_upstreams", "")
        wait_until("run again", lambda: self.submit_request(fleet, "packs")["outcome"] == "done")

    def test_tasks_leave_a_drained_worker(self, fleet: Fleet, tmp_path: Path) -> None:
        job = write_job(tmp_path, job_id="service", workload="service", tasks=1)
        assert fleet.site.cli(fleet.first, "submit", "job", job).exit_code == 0

        def places() -> list[str]:
            found: list[str] = []
            for node in (fleet.first, fleet.second):
                address, port = node.http.split(":")
                connection = http.client.HTTPConnection(address, int(port), timeout=LIMIT_S)
                connection.request("GET", "/v1/workers")
                answer = json.loads(connection.getresponse().read())
                connection.close()
                for worker in answer["workers"]:
                    if any(task.startswith("service") for task in worker["running"]):
                        found.append(worker["host_id"])
            return found

        [before] = wait_until("it runs", places)
        self.change(fleet, "drains", json.dumps({before: {"why": "memory errors"}}))
        wait_until("it runs elsewhere", lambda: (now := places()) and now != [before])
        self.change(fleet, "drains", "")
        assert fleet.site.cli(fleet.first, "cancel", "service").exit_code == 0

    def test_settings_without_effect_are_refused(self, fleet: Fleet) -> None:
        apply = ("settings", "apply", "requests/is_hedging", "--author", "ops", "--value", "true")
        result = fleet.site.cli(fleet.first, *apply)
        assert result.exit_code == 2, result.output
        assert "requests.is_hedging: true is not supported by this version" in result.output
        shown = fleet.site.cli(fleet.first, "settings", "show", "--in-force")
        assert "not acted on by this version: classes.*.queue_bound" in shown.stdout


class TestStops:
    def open_stream(self, node: Running) -> socket.socket:
        """Request a large response and read only its status line for now."""
        address, port = node.http.split(":")
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16 * 1024)
        client.settimeout(LIMIT_S)
        client.connect((address, int(port)))
        client.sendall(
            b"POST /v1/requests/assemble HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n"
            b"galenastall-team: packs\r\ngalenastall-deadline-ms: 60000\r\n\r\n"
        )
        assert client.recv(12) == b"HTTP/1.1 200"
        return client

    @pytest.fixture
    def big_answers(self, fleet: Fleet) -> Iterator[None]:
        names = [host["host_id"] for host in fleet.site.hosts if "seongsu" in host["host_id"]]
        targets = [f"executors/{name}" for name in names if name.startswith("executor")]

        async def set_size(control: StandinControl, size: int) -> Success[None]:
            for target in targets:
                (await control.change_faults(target, {"answer_bytes": size})).unwrap()
            return Success(None)

        fleet.site.call_control(lambda control: set_size(control, BIG_ANSWER_BYTES))
        yield
        fleet.site.call_control(lambda control: set_size(control, 256))

    @pytest.mark.usefixtures("big_answers")
    def test_a_slow_stream_is_not_cut_off(self, fleet: Fleet) -> None:
        node = fleet.spare.pop()
        with self.open_stream(node) as client:
            node.signal()
            node.wait_event("node.drain")
            received = 0
            while chunk := client.recv(1 << 20):
                received += len(chunk)
        assert received > BIG_ANSWER_BYTES
        assert node.wait_ended() == 0
        assert node.wait_event("node.drained")["cut_off"] == "0"

    @pytest.mark.usefixtures("big_answers")
    def test_a_second_signal_ends_it_at_once(self, fleet: Fleet) -> None:
        node = fleet.spare.pop()
        with self.open_stream(node):
            node.signal()
            node.wait_event("node.drain")
            assert node.process.poll() is None
            node.signal(signal.SIGINT)
            assert node.wait_ended() == 1
        assert node.events("node.drained") == []
        assert node.events("node.broken_off")[0]["cut_off"] == "1"

    def test_drain_over_http_warns_in_a_log_outage(self, fleet: Fleet) -> None:
        node = fleet.spare.pop()
        fleet.site.set_log_outage(outage=True)
        try:
            wait_until("outage noticed", lambda: not fleet.site.status(node)["log"]["is_up"])
            result = fleet.site.cli(node, "drain", "-o", "json")
            assert result.exit_code == 0
            answer = json.loads(result.stdout)
            assert answer["draining"]
            assert "the log is down" in answer["warning"]
            assert "the log is down" in node.wait_event("node.drain")["cause"]
            shown = fleet.site.cli(node, "status", "-o", "json")
            assert shown.exit_code == 4
            assert "draining" in json.loads(shown.stdout)["reasons"]
        finally:
            fleet.site.set_log_outage(outage=False)
        assert node.wait_ended() == 0

    def test_the_shared_tree_drains_an_entry_host(self, fleet: Fleet) -> None:
        node = fleet.spare.pop()
        name = node.bound["host_id"]
        TestSettingsInForce().change(fleet, "drains", json.dumps({name: {"why": "replaced"}}))
        assert node.wait_ended() == 0
        assert "drains" in node.wait_event("node.drain_asked")["cause"]
        TestSettingsInForce().change(fleet, "drains", "")


class TestStarts:
    def test_unusable_settings_are_named(self, fleet: Fleet, tmp_path: Path) -> None:
        site = fleet.site
        port = fleet.first.http
        tls = {"cert_file": str(tmp_path / "absent.pem"), "key_file": "x"}
        curve = {"public_key": "x" * 40, "secret_key": "y" * 40}
        cases: list[tuple[dict[str, Any], list[str]]] = [
            (
                {"log_level": "loud", "memory": {"total_mb": 1}, "drain_timeout": 3},
                [
                    "log_level: 'loud': Input should be 'debug', 'info'",
                    "memory.total_mb: 1: Input should be greater than or equal to 64",
                    "drain_timeout: unknown key: did you mean 'drain_timeout_seconds'",
                ],
            ),
            ({"http_bind": port}, ["can't listen on", port]),
            ({"peer_bind": port}, ["can't listen on", port]),
            ({"tls": tls}, ["tls.cert_file", "absent.pem"]),
            ({"curve": curve}, ["curve"]),
            (
                {"platform": {"adapter": "other", "address": port}},
                ["platform.adapter", "'other'", "allowed: http"],
            ),
        ]
        started = [
            site.spawn_node(f"bad-{number}", data_centre="gangnam", **settings)
            for number, (settings, _) in enumerate(cases)
        ]
        for number, (node, (_, expected)) in enumerate(zip(started, cases, strict=True)):
            assert node.wait_ended() == 2
            output = node.log_path.read_text()
            for part in (f"bad-{number}.yaml", *expected):
                assert part in output
            assert "Traceback" not in output

    def test_log_down_at_start(self, fleet: Fleet) -> None:
        site = fleet.site
        site.set_log_outage(outage=True)
        try:
            node = site.spawn_node("g3", data_centre="gangnam")
            site.read_bound(node)
            site.list_node("g3", node, "gangnam")
            reason = "not yet in the roster of its data centre"
            wait_until("reason reported", lambda: reason in site.status(node)["reasons"])
            shown = site.cli(node, "status", "-o", "json")
            assert shown.exit_code == 4
            assert not json.loads(shown.stdout)["log"]["is_up"]
        finally:
            site.set_log_outage(outage=False)
        site.wait_ready(node)
        node.signal()
        assert node.wait_ended() == 0

    def test_restarted_in_a_log_outage(self, fleet: Fleet) -> None:
        """The host adopts the settings of a peer, although it can't read the log."""
        site, peer = fleet.site, fleet.first
        TestSettingsInForce().change(fleet, "teams", "packs: {weight: 7}")
        [node] = site.start_nodes("g4", data_centre="gangnam")
        site.set_log_outage(outage=True)
        try:
            node.process.kill()
            node.wait_ended()
            node = site.spawn_node("g4", data_centre="gangnam", seeds={"g1": peer.bound["peer"]})
            site.read_bound(node)
            site.list_node("g4", node, "gangnam")
            digest = site.status(peer)["settings_digest"]
            wait_until("caught up", lambda: site.status(node)["settings_digest"] == digest)
            shown = site.cli(node, "settings", "show", "teams/packs", "-o", "json")
            assert json.loads(shown.stdout)["subtree"] == {"weight": 7}
            assert not site.status(node)["log"]["is_up"]
        finally:
            site.set_log_outage(outage=False)
        TestSettingsInForce().change(fleet, "teams", "")
        node.process.kill()
        node.wait_ended()

    def test_host_above_its_memory_limit_is_not_ready(self, fleet: Fleet) -> None:
        """Sixty-four megabytes are less than the interpreter and the libraries need."""
        [node] = fleet.site.start_nodes("m2", data_centre="mapo", memory={"total_mb": 64})

        def reasons() -> list[str]:
            return [r for r in fleet.site.status(node).get("reasons", ()) if "memory" in r]

        [reason] = wait_until("memory reason reported", reasons)
        assert "memory.total_mb is 64" in reason
        assert fleet.site.cli(node, "status").exit_code == 4
        assert node.wait_event("memory.above_limit")
        assert node.wait_event("node.bound")
        node.process.kill()
        node.wait_ended()


@dataclass(frozen=True, kw_only=True)
class Guarded:
    """Entry hosts with TLS and CURVE keys, and one with a key that the others don't allow."""

    site: Site
    nodes: list[Running]
    impostor: Running
    wrong_key: str
    client: Callable[..., tuple[str, ...]]


@pytest.fixture(scope="module")
def guarded(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Guarded]:
    folder = tmp_path_factory.mktemp("guarded")
    ours, other = trustme.CA(), trustme.CA()

    def issue(name: str, authority: trustme.CA, trusted: trustme.CA) -> dict[str, str]:
        cert = authority.issue_cert("127.0.0.1")
        files = {kind: str(folder / f"{name}.{kind}.pem") for kind in ("ca", "cert", "key")}
        trusted.cert_pem.write_to_path(files["ca"])
        cert.cert_chain_pems[0].write_to_path(files["cert"])
        cert.private_key_pem.write_to_path(files["key"])
        return files

    def client(name: str, *kinds: str) -> tuple[str, ...]:
        files = issue(name, other if name == "stranger" else ours, ours)
        return tuple(part for kind in kinds for part in (f"--{kind}-file", files[kind]))

    server = issue("server", ours, ours)
    tls = {f"{kind}_file": path for kind, path in server.items()}
    pairs = {name: [key.decode() for key in zmq.curve_keypair()] for name in ("a", "b", "x")}
    allowed = {name: pairs[name][0] for name in ("a", "b")}

    def curve(name: str) -> dict[str, Any]:
        public, secret = pairs[name]
        return {"public_key": public, "secret_key": secret, "allowed_by_host_id": allowed}

    with open_site(folder) as site:
        site.start_standin(data_centres=["gangnam"], workers={"count": 1}, executors={"count": 1})
        started = [
            site.spawn_node(name, data_centre="gangnam", tls=tls, curve=curve(name))
            for name in ("a", "b", "x")
        ]
        for name, node in zip(("a", "b", "x"), started, strict=True):
            site.read_bound(node)
            site.list_node(name, node, "gangnam")
        site.cli_options = client("operator", "ca", "cert", "key")
        site.wait_ready(*started[:2])
        yield Guarded(
            site=site,
            nodes=started[:2],
            impostor=started[2],
            wrong_key=pairs["x"][0],
            client=client,
        )


class TestSecurity:
    def test_tls_both_ways(self, guarded: Guarded) -> None:
        shown = guarded.site.status(guarded.nodes[0])
        assert shown["host_id"] == "a"
        wait_until(
            "both in the roster",
            lambda: {"a", "b"} <= set(guarded.site.status(guarded.nodes[0])["roster"]),
        )

    @pytest.mark.parametrize(
        ("name", "kinds", "code"),
        [
            ("without-certificate", ["ca"], 5),
            ("stranger", ["ca", "cert", "key"], 5),
            ("plain", [], 5),
            ("half", ["ca", "cert"], 2),
        ],
    )
    def test_unauthorized_clients_are_rejected(
        self, guarded: Guarded, name: str, kinds: list[str], code: int
    ) -> None:
        options = guarded.client(name, *kinds)
        command = [*options, "status", "--entry", guarded.nodes[0].http]
        result = CliRunner().invoke(app, command)
        assert result.exit_code == code, result.output
        assert "host_id" not in result.stdout

    def test_another_authority_is_not_trusted(self, guarded: Guarded) -> None:
        command = ["--tls", "status", "--entry", guarded.nodes[0].http]
        assert CliRunner().invoke(app, command).exit_code == 4

    def test_unlisted_curve_key_is_rejected_and_reported(self, guarded: Guarded) -> None:
        for node in guarded.nodes:
            assert guarded.wrong_key in node.wait_event("peer.kept_out")["cause"]
            address, port = node.http.split(":")
            files = guarded.site.cli_options
            context = _context(dict(zip(files[::2], files[1::2], strict=True)))
            connection = http.client.HTTPSConnection(address, int(port), context=context)
            connection.request("GET", "/metrics")
            page = connection.getresponse().read().decode()
            connection.close()
            lines = [line for line in page.splitlines() if "peer_refused_keys{" in line]
            assert any(guarded.wrong_key in line for line in lines)
            assert 'peer_messages_in{peer="x"}' not in page
        assert guarded.site.status(guarded.impostor)["roster"] == ["x"]


def _context(files: dict[str, str]) -> ssl.SSLContext:
    context = ssl.create_default_context(cafile=files["--ca-file"])
    context.load_cert_chain(files["--cert-file"], files["--key-file"])
    return context
