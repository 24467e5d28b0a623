"""Several settings services on one fake log and a fake network between them."""

import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

import trio
from returns.result import Failure, Result, Success

from fake_log import FakeLog
from galenastall.node.log.log_service import LogClient
from galenastall.node.settings.settings_service import SettingsService
from galenastall.protocol.codec import decode_message, encode_message
from galenastall.protocol.peers import PeerHandler
from galenastall.state.errors import Reason, StepError
from galenastall.state.ids import SETTINGS_STREAM, ChangeId, HostId, Offset
from galenastall.state.settings_records import SettingsChange, Verdict
from galenastall.state.shared_settings import SCHEMA_VERSION, SharedSettings
from galenastall.transport.clock import TrioClock


class Network:
    """Routes typed messages, encoded and decoded, between the links that are up."""

    def __init__(self) -> None:
        self.links_by_id: dict[HostId, FakeLink] = {}
        self.nursery: trio.Nursery | None = None
        self.sent: list[object] = []


class FakeLink:
    def __init__(self, *, host_id: HostId, network: Network) -> None:
        self._host_id = host_id
        self._network = network
        self.is_cut = False
        self.handlers: dict[type[Any], PeerHandler] = {}
        network.links_by_id[host_id] = self

    @property
    def host_id(self) -> HostId:
        return self._host_id

    def set_peers(self, addresses_by_id: dict[HostId, str]) -> None:
        raise NotImplementedError("the network knows all links")

    def handle(self, message_type: type[Any], handler: PeerHandler) -> None:
        self.handlers[message_type] = handler

    async def call(
        self, *, peer: HostId, message: object, timeout_s: float
    ) -> Result[Any, StepError]:
        await trio.sleep(0.001)
        link = self._network.links_by_id.get(peer)
        if link is None or link.is_cut or self.is_cut:
            await trio.sleep(timeout_s)
            return Failure(StepError(step="peers.call", peer=peer, reason=Reason.TIMEOUT))
        return Success(
            self._through_codec(await link.deliver(self._host_id, self._through_codec(message)))
        )

    def send(self, *, peer: HostId, message: object) -> None:
        link = self._network.links_by_id.get(peer)
        if link is None or link.is_cut or self.is_cut or self._network.nursery is None:
            return
        self._network.nursery.start_soon(link.deliver, self._host_id, self._through_codec(message))

    async def deliver(self, sender: HostId, message: Any) -> Any:
        await trio.sleep(0.001)
        return await self.handlers[type(message)](sender, message)

    def _through_codec(self, message: object) -> Any:
        name, body = encode_message(message)
        self._network.sent.append(message)
        return decode_message(name, body, peer="").unwrap()


@dataclass
class Host:
    host_id: HostId
    log: FakeLog
    link: FakeLink
    log_client: LogClient
    service: SettingsService
    changes: list[SharedSettings] = field(default_factory=list)

    async def put(
        self, change_id: str, path: str, subtree: Any, base: int | None = None
    ) -> Result[Verdict, StepError]:
        revision = self.service.fold.revision(path) if base is None else base
        return await self.service.change(
            SettingsChange(
                change_id=ChangeId(change_id),
                path=path,
                base_revision=Offset(revision),
                subtree=subtree,
                author="ops",
                schema_version=SCHEMA_VERSION,
            )
        )


class Fleet:
    """Hosts by name; each has its own view of the log, so that it can be isolated from it."""

    def __init__(self, *, nursery: trio.Nursery) -> None:
        self.network = Network()
        self.network.nursery = nursery
        self.log = FakeLog()
        self._nursery = nursery
        self._scopes_by_name: dict[str, trio.CancelScope] = {}
        self._starts = 0

    async def start(self, name: str, *, is_log_down: bool = False) -> Host:
        self._starts += 1
        rng = random.Random(self._starts)
        clock = TrioClock(wall_at_start=1000.0)
        link = FakeLink(host_id=HostId(name), network=self.network)
        log = self.log.view()
        log.is_down = is_log_down
        log_client = LogClient(
            log=log,
            clock=clock,
            rng=rng,
            writer=f"{name}.{self._starts}",
            streams=[SETTINGS_STREAM],
            live_hosts=lambda: len(self.network.links_by_id),
        )
        service = SettingsService(
            clock=clock,
            rng=rng,
            appender=log_client.appender,
            follower=log_client.followers_by_stream[SETTINGS_STREAM],
            peers=link,
            peer_ids=lambda: self.network.links_by_id.keys() - {link.host_id},
        )
        host = Host(
            host_id=HostId(name), log=log, link=link, log_client=log_client, service=service
        )
        service.on_change(host.changes.append)
        self._scopes_by_name[name] = trio.CancelScope()
        await self._nursery.start(self._run, self._scopes_by_name[name], log_client, service)
        await trio.sleep(0.05)
        return host

    def kill(self, name: str) -> None:
        del self.network.links_by_id[HostId(name)]
        self._scopes_by_name.pop(name).cancel()

    async def _run(
        self,
        scope: trio.CancelScope,
        log_client: LogClient,
        service: SettingsService,
        *,
        task_status: trio.TaskStatus[None],
    ) -> None:
        with scope:
            async with trio.open_nursery() as nursery:
                await nursery.start(log_client.run)
                await nursery.start(service.run)
                task_status.started()


@asynccontextmanager
async def running_fleet() -> AsyncIterator[Fleet]:
    async with trio.open_nursery() as nursery:
        yield Fleet(nursery=nursery)
        nursery.cancel_scope.cancel()
