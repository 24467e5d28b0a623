"""TLS of the HTTP client and server, with certificates of a temporary authority."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from pathlib import Path

import pytest
import trio
import trustme
from returns.result import Success

from galenastall.protocol.security import TlsFiles
from galenastall.state.errors import Reason
from galenastall.transport.clock import TrioClock
from galenastall.transport.http_client import HttpClient
from galenastall.transport.http_messages import HttpRequest, HttpResponse
from galenastall.transport.http_routes import route
from galenastall.transport.http_server import HttpServer


class Hello:
    @route("GET", "/")
    async def hello(self, request: HttpRequest) -> HttpResponse:
        return HttpResponse(body=b"hello")


def issue(folder: Path, authority: trustme.CA, *, name: str) -> TlsFiles:
    folder = folder / name
    folder.mkdir()
    cert = authority.issue_cert("127.0.0.1")
    cert.private_key_pem.write_to_path(folder / "key.pem")
    cert.cert_chain_pems[0].write_to_path(folder / "cert.pem")
    authority.cert_pem.write_to_path(folder / "ca.pem")
    return TlsFiles(
        cert_file=str(folder / "cert.pem"),
        key_file=str(folder / "key.pem"),
        ca_file=str(folder / "ca.pem"),
    )


@asynccontextmanager
async def tls_server(tls: TlsFiles, *, verify_clients: bool = False) -> AsyncIterator[HttpServer]:
    server = HttpServer(
        handlers=[Hello()],
        clock=TrioClock(),
        tls=tls,
        verify_clients=verify_clients,
        linger_s=0.0,
    )
    async with trio.open_nursery() as nursery:
        await nursery.start(server.run)
        yield server
        nursery.cancel_scope.cancel()


async def get(server: HttpServer, tls: TlsFiles | None) -> object:
    client = HttpClient(clock=TrioClock(), tls=tls)
    result = await client.request(method="GET", address=server.address, path="/", timeout_s=60.0)
    return result.unwrap().body if isinstance(result, Success) else result.failure().reason


class TestTls:
    async def test_same_authority_gets_through(self, tmp_path: Path) -> None:
        authority = trustme.CA()
        async with tls_server(issue(tmp_path, authority, name="server")) as server:
            client = HttpClient(clock=TrioClock(), tls=issue(tmp_path, authority, name="client"))
            for _ in range(2):
                result = await client.request(
                    method="GET", address=server.address, path="/", timeout_s=60.0
                )
                assert result.unwrap().body == b"hello"
            assert await server.drain(30.0) == 0

    async def test_other_authority_gets_nothing_sent(self, tmp_path: Path) -> None:
        ours, other = trustme.CA(), trustme.CA()
        async with tls_server(issue(tmp_path, ours, name="server")) as server:
            assert await get(server, issue(tmp_path, other, name="client")) is Reason.UNREACHABLE

    async def test_server_can_demand_certificates_of_its_authority(self, tmp_path: Path) -> None:
        ours, other = trustme.CA(), trustme.CA()
        tls = issue(tmp_path, ours, name="server")
        other_client = replace(issue(tmp_path, other, name="stranger"), ca_file=tls.ca_file)
        async with tls_server(tls, verify_clients=True) as server:
            assert await get(server, issue(tmp_path, ours, name="client")) == b"hello"
            assert await get(server, other_client) is Reason.CUT

    async def test_plain_client_of_a_tls_server_gets_no_answer(self, tmp_path: Path) -> None:
        async with tls_server(issue(tmp_path, trustme.CA(), name="server")) as server:
            assert await get(server, None) is Reason.CUT

    async def test_missing_file_is_named(self, tmp_path: Path) -> None:
        tls = replace(
            issue(tmp_path, trustme.CA(), name="client"), ca_file=str(tmp_path / "absent.pem")
        )
        with pytest.raises(FileNotFoundError, match=r"tls\.ca_file.*absent\.pem"):
            HttpClient(clock=TrioClock(), tls=tls)
