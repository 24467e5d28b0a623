"""Random faults that the search injects into the ownership model."""

import random
from collections.abc import Callable
from typing import Final

from galenastall.proof.ownership_model import OwnershipModel
from galenastall.state.ids import HostId


def random_fault(model: OwnershipModel) -> str:
    """Inject or end one fault chosen by the model's random generator; return its name."""
    rng = model.random
    name = rng.choice(tuple(FAULTS))
    FAULTS[name](model, rng)
    return name


def _pick(model: OwnershipModel, rng: random.Random) -> HostId:
    return rng.choice(sorted(model.alive()) or [model.join()])


def _cut_pair(model: OwnershipModel, rng: random.Random) -> None:
    pair = frozenset((_pick(model, rng), _pick(model, rng)))
    model.cuts ^= {pair}


def _isolate(model: OwnershipModel, rng: random.Random) -> None:
    host = _pick(model, rng)
    model.cuts |= {frozenset((host, other)) for other in model.nodes_by_host if other != host}


def _split_off(model: OwnershipModel, rng: random.Random) -> None:
    """Isolate some hosts from the others, and usually from the log too."""
    hosts = sorted(model.alive())
    isolated = set(rng.sample(hosts, rng.randint(0, len(hosts))))
    sees_log = rng.random() < LOG_KEPT_SHARE
    for host in isolated:
        model.nodes_by_host[host].has_log = sees_log
        model.cuts |= {frozenset((host, o)) for o in model.nodes_by_host if o not in isolated}


def _toggle_pause(model: OwnershipModel, rng: random.Random) -> None:
    host = _pick(model, rng)
    node = model.nodes_by_host[host]
    (model.resume if node.is_paused else model.pause)(host)


def _heal_cuts(model: OwnershipModel, rng: random.Random) -> None:
    model.cuts.clear()
    for node in model.nodes_by_host.values():
        node.has_log = True


def _toggle_log_cut(model: OwnershipModel, rng: random.Random) -> None:
    node = model.nodes_by_host[_pick(model, rng)]
    node.has_log = not node.has_log


def _toggle_outage(model: OwnershipModel, rng: random.Random) -> None:
    model.is_log_up = not model.is_log_up


def _lose_answers(model: OwnershipModel, rng: random.Random) -> None:
    model.lose_answers = rng.randint(1, 4)


def _slow_network(model: OwnershipModel, rng: random.Random) -> None:
    model.max_delay_s = rng.choice((0.02, 0.02, 0.5, 2.0))


def _leave(model: OwnershipModel, rng: random.Random) -> None:
    model.nodes_by_host[_pick(model, rng)].core.begin_leave()


MAX_HOSTS: Final = 7
LOG_KEPT_SHARE: Final = 0.2


def _join(model: OwnershipModel, rng: random.Random) -> None:
    if len(model.alive()) < MAX_HOSTS:
        model.join()


FAULTS: Final[dict[str, Callable[[OwnershipModel, random.Random], None]]] = {
    "kill": lambda model, rng: model.kill(_pick(model, rng)),
    "restart": lambda model, rng: model.restart(_pick(model, rng)),
    "pause or resume": _toggle_pause,
    "cut or mend a pair": _cut_pair,
    "isolate": _isolate,
    "split off": _split_off,
    "split off again": _split_off,
    "mend all cuts": _heal_cuts,
    "log cut or back": _toggle_log_cut,
    "log down or up": _toggle_outage,
    "lose answers": _lose_answers,
    "slow network": _slow_network,
    "join": _join,
    "join again": _join,
    "leave": _leave,
    "trim": lambda model, rng: model.trim(),
}
"""Faults by name; each takes the model and its random generator."""
