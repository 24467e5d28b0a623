"""Network cuts between entry hosts and the platform's services, by caller."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

import trio

from galenastall.standin.faults import DEFAULT_CALL_TIMEOUT_S
from galenastall.state.errors import Reason, StepError


class Service(StrEnum):
    """What a caller can be cut off from."""

    LOG = "log"
    HOST_LIST = "host_list"
    WORKERS = "workers"
    UPSTREAMS = "upstreams"


ALL_SERVICES = frozenset(Service)


@dataclass(frozen=True, kw_only=True, slots=True)
class Cut:
    """One caller and what it can't reach; requests and answers both get lost."""

    caller: str
    """Host id of an entry host."""
    services: frozenset[Service] = ALL_SERVICES


class Cuts:
    """All cuts in force."""

    def __init__(self) -> None:
        self._services_by_caller: dict[str, frozenset[Service]] = {}
        self.timeout_s = DEFAULT_CALL_TIMEOUT_S
        """Seconds of silence before an in-process caller gets TIMEOUT."""

    def replace(self, cuts: Iterable[Cut]) -> None:
        """Put these cuts in force and heal all others."""
        self._services_by_caller = {cut.caller: cut.services for cut in cuts}

    def current(self) -> tuple[Cut, ...]:
        """Return the cuts in force."""
        return tuple(
            Cut(caller=caller, services=services)
            for caller, services in self._services_by_caller.items()
        )

    def is_cut(self, caller: str, service: Service) -> bool:
        """Return whether the caller can't reach the service."""
        return service in self._services_by_caller.get(caller, frozenset())

    async def time_out(self, *, step: str, peer: str) -> StepError:
        """Return what the caller learns from silence, once it has waited."""
        await trio.sleep(self.timeout_s)
        return StepError(step=step, peer=peer, reason=Reason.TIMEOUT, detail="cut off")
