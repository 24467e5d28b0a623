"""Configurations that take longer to receive than the time-outs of single calls."""

from collections.abc import AsyncIterator
from typing import Any

import trio

from galenastall.node.cell.config_watcher import ConfigWatcher
from galenastall.platform.config import KEY, TOPIC, PlatformConfig
from galenastall.platform.standin.log_store import StandinStore
from galenastall.state.ids import HostId
from galenastall.transport.http_messages import HttpRequest, HttpResponse
from galenastall.transport.http_routes import route
from test_platform_adapter import make_calls, make_recorder, serve_address

LINK_BYTES_PER_S = 250_000
CHUNK_BYTES = 5_000
ROUTES = 3_000
"""A version of 0.6 MB, 2.4 s over the link; a read without changes may take 1.7 s."""
GIVE_UP_AFTER_S = 30.0


class StoreBehindLink(StandinStore):
    """A store whose responses share a link of limited bandwidth."""

    def __init__(self) -> None:
        super().__init__()
        self.sent_bytes = 0
        self._link = trio.Lock()

    @route("GET", "/log-read")
    async def read(self, request: HttpRequest) -> HttpResponse:
        return self._over_link(await super().read(request))

    @route("GET", "/log-newest")
    async def show_newest(self, request: HttpRequest) -> HttpResponse:
        return self._over_link(await super().show_newest(request))

    def _over_link(self, response: HttpResponse) -> HttpResponse:
        body = response.body
        assert isinstance(body, bytes)
        headers = {**response.headers, "content-length": str(len(body))}
        return HttpResponse(status=response.status, headers=headers, body=self._paced(body))

    async def _paced(self, body: bytes) -> AsyncIterator[bytes]:
        for begin in range(0, len(body), CHUNK_BYTES):
            chunk = body[begin : begin + CHUNK_BYTES]
            async with self._link:
                await trio.sleep(len(chunk) / LINK_BYTES_PER_S)
            self.sent_bytes += len(chunk)
            yield chunk


class NoPeers:
    """A peer link of a host that knows no others."""

    host_id = HostId("entry-1")

    def handle(self, message_type: type[Any], handler: Any) -> None:
        """Ignore the handler: nobody calls."""


def make_version(version: int, *, routes: int = ROUTES) -> dict[str, Any]:
    """Return a configuration as the operator writes it."""
    return {
        "version": version,
        "routes": [
            {
                "name": f"route-{number}-of-many",
                "host": f"customer-{number}.example",
                "pathPrefix": f"/prefix-{number}/",
                "service": "pack-assembly",
                "priority": 1,
                "maxAttempts": 4,
                "stretch": 2.2,
                "targetLatencyMs": 1005,
            }
            for number in range(routes)
        ],
    }


class TestReadOverASmallLink:
    async def test_a_version_that_takes_longer_than_a_call_comes_into_force(self) -> None:
        store = StoreBehindLink()
        store.put(TOPIC, KEY, make_version(1, routes=1))
        async with trio.open_nursery() as nursery:
            watcher = ConfigWatcher(
                port=PlatformConfig(
                    calls=make_calls(),
                    address=await serve_address(nursery, store),
                    recorder=make_recorder(),
                ),
                link=NoPeers(),  # type: ignore[arg-type]
                recorder=make_recorder(),
            )
            nursery.start_soon(watcher.run)
            await trio.sleep(0.5)
            store.put(TOPIC, KEY, make_version(2))
            await trio.sleep(0.2)
            store.put(TOPIC, KEY, make_version(3))
            with trio.move_on_after(GIVE_UP_AFTER_S):
                while watcher.version < 3:  # noqa: ASYNC110 - the watcher has no event for it
                    await trio.sleep(0.1)
            assert watcher.version == 3
            nursery.cancel_scope.cancel()
