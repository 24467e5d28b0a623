"""Simulated network cuts between entry hosts and the platform's services, by caller."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

import trio

from galenastall.standin.faults import DEFAULT_CALL_TIMEOUT_S
from galenastall.state.errors import Reason, StepError


class Service(StrEnum):
    """Services that a caller can be cut off from."""

    LOG = "log"
    HOST_LIST = "host_list"
    WORKERS = "workers"
    UPSTREAMS = "upstreams"


ALL_SERVICES = frozenset(Service)


@dataclass(frozen=True, kw_only=True, slots=True)
class Cut:
    """A caller and the services it can't reach; requests and responses are both lost."""

    caller: str
    """Host id of an entry host."""
    services: frozenset[Service] = ALL_SERVICES


class Cuts:
    """All active network cuts."""

    def __init__(self) -> None:
        self._services_by_caller: dict[str, frozenset[Service]] = {}
        self.timeout_s = DEFAULT_CALL_TIMEOUT_S
        """Seconds without a response before an in-process caller gets TIMEOUT."""

    def replace(self, cuts: Iterable[Cut]) -> None:
        """Activate these cuts and remove all others."""
        self._services_by_caller = {cut.caller: cut.services for cut in cuts}

    def current(self) -> tuple[Cut, ...]:
        """Return the active cuts."""
        return tuple(
            Cut(caller=caller, services=services)
            for caller, services in self._services_by_caller.items()
        )

    def is_cut(self, caller: str, service: Service) -> bool:
        """Return whether the caller can't reach the service."""
        return service in self._services_by_caller.get(caller, frozenset())

    async def time_out(self, *, step: str, peer: str) -> StepError:
        """Wait for the time-out and return the error that the caller gets."""
        await trio.sleep(self.timeout_s)
        return StepError(step=step, peer=peer, reason=Reason.TIMEOUT, detail="cut off")
