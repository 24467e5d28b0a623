"""Admits callers by this host's configuration, or by the leader's where that is newer.

A version may take minutes to reach a host with a small link. Its callers are admitted by the leader
meanwhile, and once one was, none is admitted by an older version.
"""

from typing import Final, Protocol

from returns.result import Failure, Result, Success

from galenastall.coordination.cell.config_age import UNKNOWN_VERSION
from galenastall.coordination.cell.refusal_budget import RefusalBudget
from galenastall.protocol.cell.call_admission import AdmissionRules, CallAddress
from galenastall.protocol.cell.config import CellConfig
from galenastall.protocol.cell.messages import CallAdmission
from galenastall.protocol.clock import Clock
from galenastall.state.errors import Reason, StepError
from galenastall.transport.logs import Recorder

CONFIRM_WITHIN_S: Final = 0.5
"""Time for the leader to confirm a refusal of a host that knows of no newer version: by then a
caller without a route or key should have its refusal, whether or not there is a leader."""


class ConfigSource(Protocol):
    """Source of this host's current configuration."""

    @property
    def newest_known_version(self) -> int:
        """The newest version that any host has announced to this one."""

    def current(self) -> CellConfig | None:
        """Return the configuration; None before the first was read."""

    async def look(self) -> None:
        """Read a newer configuration if there is one."""


class LeaderAccess(Protocol):
    """Way to the leader's decisions on calls."""

    async def admit(
        self, call: CallAddress, *, patience_s: float, config_version: int
    ) -> Result[CallAdmission, StepError]:
        """Return the leader's decision on a call; `config_version` is this host's version."""


class CallAdmissions:
    """Decides which configuration version admits or refuses each call at this host."""

    def __init__(
        self, *, leader: LeaderAccess, config: ConfigSource, clock: Clock, recorder: Recorder
    ) -> None:
        """Decide by `config`, and by `leader` where its version is needed."""
        self._leader = leader
        self._config = config
        self._clock = clock
        self._recorder = recorder
        self._rules = AdmissionRules()
        self._budget = RefusalBudget()
        self._floor = UNKNOWN_VERSION
        """The newest version by which the leader has decided on a call of this host."""

    async def admit(
        self, call: CallAddress, *, patience_s: float
    ) -> Result[CallAdmission, StepError]:
        """Admit or refuse a call; fails if the version that has to decide can't be reached."""
        until = self._clock.now() + patience_s
        own = self._own_decision(call)
        if not _admits(own) and not self._is_behind:
            await self._config.look()
            own = self._own_decision(call)
        left_s = until - self._clock.now()
        if own is None or not own.is_admitted:
            return await self._admit_unknown(call, patience_s=left_s)
        if own.version < self._floor:
            return await self.admit_by_leader(call, patience_s=left_s)
        return Success(own)

    async def admit_by_leader(
        self, call: CallAddress, *, patience_s: float
    ) -> Result[CallAdmission, StepError]:
        """Admit or refuse a call by the leader's version, or this host's if that is newer."""
        answer = await self._leader.admit(
            call, patience_s=patience_s, config_version=self._own_version
        )
        if isinstance(answer, Failure):
            if answer.failure().reason is Reason.INVALID:
                return await self._admit_after_look(call)
            return answer
        found = answer.unwrap()
        if self._own_version >= max(found.version, self._floor):
            own = self._own_decision(call)
            return self._unless_superseded(found if own is None else own)
        if found.version < self._floor:
            return self._failure(
                f"the leader has version {found.version} of the configuration, and this host has"
                f" served callers by version {self._floor}"
            )
        self._raise_floor(found.version)
        return self._unless_superseded(found)

    def _unless_superseded(self, found: CallAdmission) -> Result[CallAdmission, StepError]:
        """Fail instead of refusing a call that a newer version may admit.

        The leader may be behind as well, with a link as small as this host's.
        """
        newest = self._config.newest_known_version
        if found.is_admitted or found.version >= newest:
            return Success(found)
        return self._failure(
            f"version {found.version} of the configuration refuses the call, and version {newest},"
            " which neither this host nor the leader has, may admit it"
        )

    async def _admit_unknown(
        self, call: CallAddress, *, patience_s: float
    ) -> Result[CallAdmission, StepError]:
        """Pass a call that this host's version would refuse to the leader, within the budget.

        The refusal of a host that knows of no newer version stands if the leader can't be reached.
        """
        own = None if self._is_behind else self._own_decision(call)
        if not self._budget.take(self._clock.now()):
            if own is not None:
                return Success(own)
            return self._failure("too many calls of unknown routes or keys wait for the leader")
        patience_s = patience_s if own is None else min(patience_s, CONFIRM_WITHIN_S)
        answer = await self.admit_by_leader(call, patience_s=patience_s)
        if isinstance(answer, Failure):
            return answer if own is None or self._is_behind else Success(own)
        if answer.unwrap().is_admitted:
            self._budget.give_back()
        return answer

    async def _admit_after_look(self, call: CallAddress) -> Result[CallAdmission, StepError]:
        """Decide by this host's version, read again, where the leader's program is older."""
        await self._config.look()
        own = self._own_decision(call)
        if own is None or own.version < self._floor:
            return self._failure("the leader's program does not admit callers of other hosts")
        return Success(own)

    @property
    def _own_version(self) -> int:
        config = self._config.current()
        return UNKNOWN_VERSION if config is None else config.version

    @property
    def _is_behind(self) -> bool:
        """Whether a newer version than this host's is known to exist."""
        return self._own_version < max(self._floor, self._config.newest_known_version)

    def _own_decision(self, call: CallAddress) -> CallAdmission | None:
        config = self._config.current()
        return None if config is None else self._rules.decide(config, call)

    def _raise_floor(self, version: int) -> None:
        if version <= self._floor:
            return
        self._floor = version
        self._recorder.record(
            "config.behind",
            cause="a call was decided on by the leader's version, which this host lacks",
            fields={"version": str(self._own_version), "leader_version": str(version)},
        )

    def _failure(self, detail: str) -> Result[CallAdmission, StepError]:
        return Failure(
            StepError(step="call.admit", peer="", reason=Reason.UNAVAILABLE, detail=detail)
        )


def _admits(decision: CallAdmission | None) -> bool:
    return decision is not None and decision.is_admitted
