"""The platform over HTTP and JSON; registered in PLATFORM_ADAPTERS as `http`."""

from typing import Final

from galenastall.protocol.clock import Clock
from galenastall.protocol.platform import PLATFORM_ADAPTERS, Platform
from galenastall.protocol.upstream_headers import CALLER
from galenastall.state.ids import HostId
from galenastall.transport.http_client import HttpClient
from galenastall.transport.platform_http_call import JsonCaller
from galenastall.transport.platform_http_log import HttpHostList, HttpLog
from galenastall.transport.platform_http_upstreams import HttpUpstreams
from galenastall.transport.platform_http_workers import HttpWorkers

DEFAULT_TIMEOUT_S: Final = 5.0


@PLATFORM_ADAPTERS.register("http")
def build_http_platform(
    *,
    address: str,
    client: HttpClient,
    clock: Clock,
    timeout_s: float = DEFAULT_TIMEOUT_S,
    caller: HostId | None = None,
) -> Platform:
    """Return the platform whose log and host list are at `address` (`IP:port`).

    `timeout_s` bounds each call except those to upstreams, which last until their not-after time; a
    log read may wait for its `wait_s` in addition. `caller` identifies this entry host.
    """
    headers = {CALLER: caller} if caller else {}
    json_caller = JsonCaller(client=client, timeout_s=timeout_s, headers=headers)
    return Platform(
        log=HttpLog(address=address, caller=json_caller),
        host_list=HttpHostList(address=address, caller=json_caller),
        workers=HttpWorkers(caller=json_caller),
        upstreams=HttpUpstreams(client=client, clock=clock, headers=headers),
    )
