"""Client of the platform's placement advisor."""

from typing import Final

import msgspec
from returns.result import Failure, Result

from galenastall.coordination.cell.advice import Approval
from galenastall.platform.calls import AddressProvider, PlatformCalls, decode_answer, to_failure
from galenastall.platform.entries import ShortText
from galenastall.platform.names import step_name
from galenastall.protocol.cell.messages import AdviceAnswer
from galenastall.state.cell.executor_ids import executor_name
from galenastall.state.cell.jobs import StepKey
from galenastall.state.decoding import Quantity
from galenastall.state.errors import StepError

_OK: Final = 200
_STEP: Final = "advisor.advise"


class WireAdvice(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """Rows of executor and ticket, and how long the tickets are valid."""

    approved: list[tuple[str, ShortText]] = []
    validity_ms: Quantity = 0.0

    def to_answer(self, executor_ids: tuple[str, ...]) -> AdviceAnswer:
        """Convert to the internal type, for a request about `executor_ids`."""
        ids_by_name = {executor_name(executor_id): executor_id for executor_id in executor_ids}
        return AdviceAnswer(
            approved=tuple(
                Approval(executor_id=ids_by_name[name], ticket=ticket)
                for name, ticket in self.approved
                if name in ids_by_name
            ),
            validity_s=self.validity_ms / 1000.0,
        )


class PlatformAdvisor:
    """AdvisorPort over HTTP."""

    def __init__(self, *, calls: PlatformCalls, address: AddressProvider) -> None:
        """Query the service at `address`."""
        self._calls = calls
        self._address = address

    async def advise(
        self, *, step: StepKey, executor_ids: tuple[str, ...], timeout_s: float
    ) -> Result[AdviceAnswer, StepError]:
        """Return which of the executors may run the step."""
        answer = await self._calls.post_json(
            step=_STEP,
            address=self._address(),
            path="/advise",
            message={
                "step": step_name(step),
                "workers": [executor_name(executor_id) for executor_id in executor_ids],
            },
            timeout_s=timeout_s,
        )
        if isinstance(answer, Failure):
            return answer
        response = answer.unwrap()
        if response.status != _OK:
            return to_failure(response, step=_STEP, peer=self._address())
        advice = decode_answer(response, WireAdvice, step=_STEP, peer=self._address())
        return advice.map(lambda found: found.to_answer(executor_ids))
