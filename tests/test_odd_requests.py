"""What callers may send as a request: each gets a response, and the server serves the next one."""

from collections.abc import Callable
from typing import Any, Final

import pytest
import trio
from returns.result import Result, Success

from cell.rig import JOB, QUEUE
from galenastall.node.cell.call_admissions import ConfigSource
from galenastall.node.cell.caller_handler import SubmitOutcome
from galenastall.node.cell.cell_metrics import CellMetrics
from galenastall.platform.job_routes import BODY_LIMIT_BYTES, LONGEST_WAIT_S, JobRoutes
from galenastall.protocol.cell.call_admission import AdmissionRules, CallAddress
from galenastall.protocol.cell.config import CellConfig, QueueRoute
from galenastall.protocol.cell.messages import CallAdmission, SubmitVerdict
from galenastall.state.cell.jobs import CellJob
from galenastall.state.cell.phases import JobPhase
from galenastall.state.errors import StepError
from galenastall.state.timeline_ring import TimelineRing
from galenastall.transport.clock import TrioClock
from galenastall.transport.http_server import HttpServer
from galenastall.transport.logs import Recorder
from galenastall.transport.metrics import Metrics

CONFIG: Final = CellConfig(
    version=1, routes=(QueueRoute(host="q", path_prefix="/q/", queue=QUEUE),)
)
GOOD_BODY: Final = b'{"steps":[{"count":1}]}'
ANSWER_WITHIN_S: Final = 10.0


class Handler:
    """Accepts each job, and notes for how long its caller waits."""

    def __init__(self) -> None:
        self.waits_s: list[float] = []

    async def admit(self, call: CallAddress, **_: Any) -> Result[CallAdmission, StepError]:
        return Success(AdmissionRules().decide(CONFIG, call))

    async def submit(self, job: CellJob, *, patience_s: float, **_: Any) -> SubmitOutcome:
        self.waits_s.append(patience_s)
        return SubmitOutcome(verdict=SubmitVerdict.ACCEPTED)

    async def phase(self, job_id: str, **_: Any) -> Result[JobPhase | None, StepError]:
        return Success(None)

    async def cancel(self, job_id: str, **_: Any) -> Result[JobPhase | None, StepError]:
        return Success(None)

    async def pending(self, queue_name: str, **_: Any) -> Result[int, StepError]:
        return Success(0)


class Source:
    """A configuration of one queue."""

    newest_known_version = 1

    def current(self) -> CellConfig:
        return CONFIG

    async def look(self) -> None:
        """Have read it."""


def request(line: bytes, *headers: bytes, body: bytes | None = None) -> bytes:
    lines = [line + b" HTTP/1.1", b"Host: q", *headers]
    if body is not None:
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join([*lines, b"", body or b""])


def submission(*headers: bytes, body: bytes = GOOD_BODY, job_id: bytes = JOB.encode()) -> bytes:
    return request(b"POST /q/" + job_id, *headers, body=body)


POST: Final = b"POST /q/" + JOB.encode()
GET: Final = b"GET /q/" + JOB.encode()
CHUNKED: Final = b"Transfer-Encoding: chunked"
UPGRADE: Final = b"Connection: Upgrade, HTTP2-Settings"
ODD_REQUESTS: Final[dict[str, tuple[bytes, set[int]]]] = {
    "a length of 4,400 digits": (request(POST, b"Content-Length: " + b"9" * 4_400), {400}),
    "a length of 4,400 zeros": (request(POST, b"Content-Length: " + b"0" * 4_400), {400}),
    "a negative length": (request(POST, b"Content-Length: -1"), {400}),
    "a length in digits of another script": (request(POST, b"Content-Length: \xd9\xa1"), {400}),
    "two lengths": (request(POST, b"Content-Length: 1", b"Content-Length: 2"), {400}),
    "an unknown encoding": (request(POST, b"Transfer-Encoding: gzip"), {400, 501}),
    "a chunk size that is a word": (request(POST, CHUNKED) + b"zz\r\n", {400}),
    "a chunk size of 6,000 digits": (request(POST, CHUNKED) + b"0" * 6_000 + b"1\r\na\r\n", {400}),
    "a body that is too large": (submission(body=b" " * (BODY_LIMIT_BYTES + 1)), {413}),
    "a body of any bytes": (submission(body=bytes(range(256))), {400}),
    "a body of 100,000 levels": (submission(body=b"[" * 100_000), {400}),
    "an empty body": (submission(body=b""), {400}),
    "an id of 4,400 digits": (submission(job_id=b"9" * 4_400), {400}),
    "an id with percent signs": (submission(job_id=b"%ff%zz%"), {400}),
    "a path of 50,000 characters": (request(b"GET /" + b"a" * 50_000), {404}),
    "a path of 70,000 characters": (request(b"GET /" + b"a" * 70_000), {431}),
    "a path outside ASCII": (request(b"GET /\xff"), {400}),
    "a path with percent signs": (request(b"GET /q/%ff%zz%ed%a0%80%"), {200, 410}),
    "an address in place of a path": (request(b"GET http://[::1/q/"), {404}),
    "a star in place of a path": (request(b"GET *"), {404}),
    "a query": (request(GET + b"?%ff&&=%zz&x=" + b"9" * 5_000), {200, 410}),
    "an unknown method": (request(b"BREW /q/"), {405}),
    "an unknown version": (b"GET /q/ HTTP/9.9\r\nHost: q\r\n\r\n", {505}),
    "no host": (b"GET /q/ HTTP/1.1\r\n\r\n", {400}),
    "a host of any characters": (b"GET /q/ HTTP/1.1\r\nHost: \xff:\xb2\r\n\r\n", {404}),
    "a host with a port of 5,000 digits": (
        b"GET /q/ HTTP/1.1\r\nHost: q:" + b"9" * 5_000 + b"\r\n\r\n",
        {200, 404},
    ),
    "a key of any characters": (submission(b"X-Api-Key: \xff\xfe\xb2"), {200}),
    "3,000 headers": (submission(*[b"h%d: 1" % number for number in range(3_000)]), {200}),
    "a header without a name": (submission(b": 1"), {400}),
    "a header with a zero byte": (submission(b"a: \x00"), {400}),
    "bytes of another protocol": (b"\x16\x03\x01\x00\xff" * 20 + b"\r\n\r\n", {400}),
    "an offer of HTTP/2": (b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", {400, 404, 405, 505}),
    "an offer to change to HTTP/2": (
        request(GET, UPGRADE, b"Upgrade: h2c", b"HTTP2-Settings: !!x"),
        {410},
    ),
    "an offer to change to websockets": (
        request(GET, UPGRADE, b"Upgrade: websocket", b"Sec-WebSocket-Version: 13"),
        {410},
    ),
    "an offer to change to websockets with a key": (
        request(
            GET,
            UPGRADE,
            b"Upgrade: websocket",
            b"Sec-WebSocket-Version: 13",
            b"Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==",
        ),
        {410},
    ),
}


async def ask(address: str, data: bytes) -> int:
    """Return the status of the response; 0 if there is none."""
    host, _, port = address.rpartition(":")
    stream = await trio.open_tcp_stream(host, int(port))
    received = b""
    with trio.move_on_after(ANSWER_WITHIN_S):
        await stream.send_all(data)
        while b"\r\n" not in received:
            chunk = await stream.receive_some(65_536)
            if not chunk:
                break
            received += chunk
    await trio.aclose_forcefully(stream)
    return int(received[9:12]) if received.startswith(b"HTTP/1.1 ") else 0


async def with_server(
    run: Callable[[str, Handler], Any], errors: list[BaseException] | None = None
) -> None:
    handler, clock = Handler(), TrioClock()
    source: ConfigSource = Source()
    metrics = CellMetrics(metrics=Metrics())
    routes = JobRoutes(
        handler=handler,  # type: ignore[arg-type]
        config=source,
        clock=clock,
        recorder=Recorder(process="p", clock=clock, ring=TimelineRing(capacity=100)),
        submit_seconds=metrics.submit_seconds,
        query_seconds=metrics.query_seconds,
    )
    raised = [] if errors is None else errors
    server = HttpServer(
        handlers=[routes], clock=clock, log_error=lambda _, error: raised.append(error)
    )
    async with trio.open_nursery() as nursery:
        await nursery.start(server.run)
        await run(server.address, handler)
        assert await ask(server.address, submission()) == 200
        nursery.cancel_scope.cancel()


class TestRequests:
    @pytest.mark.parametrize("name", ODD_REQUESTS)
    async def test_an_odd_request_gets_a_response(self, name: str) -> None:
        data, statuses = ODD_REQUESTS[name]
        errors: list[BaseException] = []

        async def run(address: str, _: Handler) -> None:
            assert await ask(address, data) in statuses

        await with_server(run, errors)
        assert errors == []

    @pytest.mark.parametrize("text", ["1e308", "9" * 300, "86400000"])
    async def test_a_wait_of_ages_is_bounded(self, text: str) -> None:
        async def run(address: str, handler: Handler) -> None:
            assert await ask(address, submission(b"Deadline-Remaining: " + text.encode())) == 200
            assert LONGEST_WAIT_S - ANSWER_WITHIN_S < handler.waits_s[0] <= LONGEST_WAIT_S

        await with_server(run)

    @pytest.mark.parametrize("text", ["", "many", "nan", "1e400", "9" * 4_400, "\u00b2", "-1"])
    async def test_a_wait_that_is_no_time_is_answered(self, text: str) -> None:
        async def run(address: str, handler: Handler) -> None:
            data = submission(b"Deadline-Remaining: " + text.encode("latin-1"))
            assert await ask(address, data) in {200, 503, 504}

        await with_server(run)
