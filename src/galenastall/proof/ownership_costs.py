"""Measure the costs of ownership: `python -m galenastall.proof.ownership_costs`.

Takeover times, messages, bytes and records come from the model; processor time is measured on the
real core with the ownables of one data centre.
"""

import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from statistics import median
from typing import Annotated, Any, Final

import typer

import galenastall.protocol.ownership_messages  # noqa: F401 (files the messages for encoding)
from galenastall.coordination.ownership.ownership_timings import OwnershipTimings
from galenastall.proof.ownership_model import ModelNode, OwnershipModel
from galenastall.state.ids import HostId, OwnableId
from galenastall.transport import peer_wire

OWNABLES_PER_DATA_CENTRE: Final = 295
"""Ownables of a data centre at its design size: 255 workers, 24 upstreams, 16 shards."""
WORKER: Final = OwnableId("worker/w0")
SETTLE_S: Final = 20.0
"""Seconds to let the model settle, and over which traffic is measured."""
TIMEOUT_S: Final = 120.0
CALLS: Final = 20_000
TICKS: Final = 2_000
TIMINGS: Final = OwnershipTimings()


class MeteredModel(OwnershipModel):
    """Counts message bytes, including the peer link's framing."""

    sent_bytes = 0

    def _send(self, node: ModelNode, to: HostId, message: Any) -> None:
        target = peer_wire.host_digest(to)
        frame = peer_wire.encode_request(
            kind=peer_wire.ONE_WAY,
            correlation_id=0,
            sender=node.host,
            target=target,
            message=message,
        )
        self.sent_bytes += len(frame)
        super()._send(node, to, message)


@dataclass(frozen=True, kw_only=True, slots=True)
class Traffic:
    """What one member sends per second in an idle data centre."""

    messages: float
    frame_bytes: float


def settled(hosts: int, ownables: int, seed: int = 1) -> MeteredModel:
    """Return a data centre in which each ownable has its intended owner."""
    model = MeteredModel(seed=seed, hosts=hosts, ownables=ownables, timings=TIMINGS)
    model.run_until(model.is_served, within=TIMEOUT_S)
    model.run_for(SETTLE_S)
    return model


def idle_traffic(hosts: int, ownables: int) -> Traffic:
    """Return the traffic of one member in an idle data centre."""
    model = settled(hosts, ownables)
    messages, sent_bytes = model.messages, model.sent_bytes
    model.run_for(SETTLE_S)
    host_seconds = hosts * SETTLE_S
    return Traffic(
        messages=(model.messages - messages) / host_seconds,
        frame_bytes=(model.sent_bytes - sent_bytes) / host_seconds,
    )


def takeover_s(hosts: int, seed: int, *, fault: Callable[[OwnershipModel, HostId], None]) -> float:
    """Return the time from the owner's failure until all ownables have an owner again."""
    model = settled(hosts, 4 * hosts, seed)
    (owner,) = model.actors(WORKER)
    fault(model, owner)
    elapsed_s = model.run_until(model.is_served, within=TIMEOUT_S)
    assert elapsed_s is not None, "no owner in the time allowed"
    return elapsed_s


def kill(model: OwnershipModel, owner: HostId) -> None:
    """Kill the owner."""
    model.kill(owner)


def kill_in_outage(model: OwnershipModel, owner: HostId) -> None:
    """Kill the owner during a log outage of a minute; the time counts from the outage's end."""
    model.is_log_up = False
    model.run_for(SETTLE_S)
    model.kill(owner)
    model.run_for(2 * SETTLE_S)
    model.is_log_up = True


def restart_all(model: OwnershipModel, owner: HostId) -> None:
    """Restart all processes in place at once."""
    for host in list(model.alive()):
        model.restart(host)


def replace_all(model: OwnershipModel, owner: HostId) -> None:
    """Replace all hosts at once by new ones."""
    hosts = list(model.alive())
    for host in hosts:
        model.kill(host)
    for _ in hosts:
        model.join()


def leave(model: OwnershipModel, owner: HostId) -> None:
    """Stop the owner as planned; the time counts from when it stops acting."""
    model.nodes_by_host[owner].core.begin_leave()
    model.run_until(lambda: not model.actors(WORKER), within=TIMEOUT_S)


def records_of_kill(hosts: int, ownables: int) -> Counter[str]:
    """Return the records written from a kill until the load is rebalanced."""
    model = settled(hosts, ownables)
    before = len(model.log)
    (owner,) = model.actors(WORKER)
    model.kill(owner)
    model.run_for(3 * TIMINGS.list_lag_s)
    return Counter(type(logged.record).__name__ for logged in model.log[before:])


def processor_us(hosts: int, ownables: int) -> tuple[float, float]:
    """Return the processor time of a `may_act` and of a tick, in microseconds."""
    model = settled(hosts, ownables)
    node = next(iter(model.nodes_by_host.values()))
    names = sorted(model.ownables)
    now = node.local(model.now)
    started = time.process_time()
    for number in range(CALLS):
        node.core.may_act(names[number % len(names)], now)
    acts_done = time.process_time()
    for _ in range(TICKS):
        node.core.confirmations.on_own_log_end(now)
        node.core.membership.reset_timeouts(now)
        now += 0.1
        node.core.on_tick(now)
        node.core.drain_commands()
    ticks_done = time.process_time()
    return (acts_done - started) / CALLS * 1e6, (ticks_done - acts_done) / TICKS * 1e6


def main(
    seeds: Annotated[int, typer.Option(min=1, help="Seeds for each takeover time.")] = 20,
) -> None:
    """Measure takeover times, traffic, records and processor time of ownership."""
    for fault in (kill, kill_in_outage, restart_all, replace_all, leave):
        times = [takeover_s(3, seed, fault=fault) for seed in range(seeds)]
        typer.echo(f"{fault.__name__}: median {median(times):.1f} s, max {max(times):.1f} s")
    for hosts in (3, 6, 12):
        traffic = idle_traffic(hosts, OWNABLES_PER_DATA_CENTRE)
        typer.echo(
            f"{hosts} members: {traffic.messages:.1f} messages/s,"
            f" {traffic.frame_bytes:.0f} frame bytes/s sent by each"
        )
    for hosts in (3, 12):
        counts = dict(records_of_kill(hosts, OWNABLES_PER_DATA_CENTRE))
        typer.echo(f"{hosts} members, one killed: records {counts}")
    for hosts, ownables in (
        (3, OWNABLES_PER_DATA_CENTRE),
        (12, OWNABLES_PER_DATA_CENTRE),
        (12, 2 * OWNABLES_PER_DATA_CENTRE),
    ):
        may_act, tick = processor_us(hosts, ownables)
        typer.echo(
            f"{hosts} members, {ownables} ownables: may_act {may_act:.2f} us, tick {tick:.0f} us"
        )


if __name__ == "__main__":
    typer.run(main)
