"""The cell's state and who leads, in one partition of the platform's log, fenced by epochs."""

from typing import Final

import msgspec
from returns.result import Failure, Result, Success

from galenastall.platform.calls import Address, PlatformCalls, decode_answer, refused
from galenastall.platform.entries import decode_entry
from galenastall.platform.log_wire import (
    AppendAnswer,
    AppendRefusal,
    keyed_record,
)
from galenastall.platform.newest import NewestReader
from galenastall.protocol.cell.ports import LeaderRecord, StoreView
from galenastall.state.errors import Reason, StepError
from galenastall.transport.http_client import WholeAnswer

STATE_TOPIC: Final = "keyed.galenastall-cell"
CLAIM_KEY: Final = "~leader"
"""Key of the newest claim, in the state's own partition: a takeover needs this one to be up and no
other. Of a store that is down in part, with 37% of its partitions away, two would be up 40% of the
time and one is 63%. It sorts behind all other keys, so that a look reads it alone."""
PRODUCER: Final = "leader"
"""One name for all leaders, so that the epoch of one fences those before it."""
CALL_TIMEOUT_S: Final = 1.0
STATE_PAGE_TIMEOUT_S: Final = 3.0
"""Wait for a page of the state: a full one of 1 MB takes 0.9 s through a link of 10 Mbit/s."""
STATE_PAGE_TRIES: Final = 3
"""Tries of one page before all are begun again: a lost opening packet costs 0.5 s."""
REQUEST_BYTES: Final = 2_097_152
"""Most that the store takes in one request, where the settings name nothing else."""
VALUES_SHARE: Final = 0.75
"""Share of a request that keys and values may make up: each record has 5 bytes besides, and the
shortest row, of a job that is forgotten, has 20."""
_OK: Final = 200
_CONFLICT: Final = 409
_NOT_AT_END: Final = 412
_BEHIND_ROWS: Final = "~"
"""Sorts behind the keys of all rows, and before that of the claim."""


class _Claim(msgspec.Struct, frozen=True, kw_only=True):
    host_id: str
    address: str
    weight: float = 0.0


class PlatformStore:
    """StatePort over the platform's log."""

    def __init__(
        self, *, calls: PlatformCalls, address: Address, request_bytes: int = REQUEST_BYTES
    ) -> None:
        """Use the store at `address`, which takes requests of `request_bytes` at most."""
        self.append_bytes = int(request_bytes * VALUES_SHARE)
        """Most that one append may write, keys and values together."""
        self._calls = calls
        self._newest = NewestReader(calls=calls, address=address)
        self._address = address

    async def claim(
        self, *, host_id: str, address: str, weight: float, log_end: int
    ) -> Result[int, StepError]:
        """Append a claim if the state ends at `tip`; its offset + 1 is the token."""
        value = msgspec.json.encode(_Claim(host_id=host_id, address=address, weight=weight))
        answer = await self._append(
            step="store.claim",
            path=f"/log-append?topic={STATE_TOPIC}&part=0&at={log_end}",
            body=keyed_record(CLAIM_KEY, value),
            timeout_s=CALL_TIMEOUT_S,
        )
        return answer.map(lambda appended: appended.offset + 1)

    async def fence(self, *, token: int) -> Result[None, StepError]:
        """Set the epoch by an empty append."""
        answer = await self._append(
            step="store.fence",
            path=_fenced_path(token, 0),
            body=b"",
            timeout_s=CALL_TIMEOUT_S,
        )
        return answer.map(lambda _: None)

    async def append(
        self, *, token: int, sequence: int, values_by_key: dict[str, bytes], timeout_s: float
    ) -> Result[None, StepError]:
        """Append one record a key, all or none."""
        answer = await self._append(
            step="store.append",
            path=_fenced_path(token, sequence),
            body=b"".join(keyed_record(key, value) for key, value in values_by_key.items()),
            timeout_s=timeout_s,
        )
        return answer.map(lambda _: None)

    async def load(self) -> Result[dict[str, bytes], StepError]:
        """Read all pages; under a fence nobody writes between them."""
        answer = await self._newest.all(
            STATE_TOPIC, timeout_s=STATE_PAGE_TIMEOUT_S, tries=STATE_PAGE_TRIES
        )
        if isinstance(answer, Failure):
            return answer
        found = answer.unwrap()
        if found.problems:
            # A row that is left out would be a job that is lost; all are ours, and written whole.
            return Failure(self._error("store.load", Reason.CUT, "; ".join(found.problems)))
        rows = {key: value for key, value in found.values_by_key.items() if key != CLAIM_KEY}
        return Success(rows)

    async def poll(self) -> Result[StoreView, StepError]:
        """Read the newest claim and the state's end, in one page."""
        answer = await self._newest.page(STATE_TOPIC, _BEHIND_ROWS)
        if isinstance(answer, Failure):
            return answer
        page = answer.unwrap()
        leader: LeaderRecord | None = None
        for record in page.records:
            if record.key != CLAIM_KEY:
                continue
            decoded = decode_entry(record.value, _Claim)
            if isinstance(decoded, Failure):
                return Failure(self._error("store.look", Reason.CUT, decoded.failure()))
            claim = decoded.unwrap()
            leader = LeaderRecord(
                token=record.offset + 1,
                host_id=claim.host_id,
                address=claim.address,
                weight=claim.weight,
            )
        return Success(StoreView(leader=leader, log_end=page.end_offset))

    async def _append(
        self, *, step: str, path: str, body: bytes, timeout_s: float
    ) -> Result[AppendAnswer, StepError]:
        answer = await self._calls.post(
            step=step, address=self._address(), path=path, body=body, timeout_s=timeout_s
        )
        if isinstance(answer, Failure):
            return answer
        whole = answer.unwrap()
        if whole.status == _NOT_AT_END:
            return Failure(self._error(step, Reason.CONFLICT, "another record came first"))
        if whole.status == _CONFLICT:
            return self._conflict(whole, step)
        if whole.status != _OK:
            return refused(whole, step=step, peer=self._address())
        return decode_answer(whole, AppendAnswer, step=step, peer=self._address())

    def _conflict(self, whole: WholeAnswer, step: str) -> Result[AppendAnswer, StepError]:
        """Return CONFLICT: a newer epoch stands, or another writer used ours."""
        refusal = decode_answer(whole, AppendRefusal, step=step, peer=self._address())
        detail = f"{refusal.value_or(AppendRefusal(reason='unreadable'))}"
        return Failure(self._error(step, Reason.CONFLICT, detail))

    def _error(self, step: str, reason: Reason, detail: str) -> StepError:
        return StepError(step=step, peer=self._address(), reason=reason, detail=detail)


def _fenced_path(token: int, sequence: int) -> str:
    fence = f"producer={PRODUCER}&epoch={token}&sequence={sequence}"
    return f"/log-append?topic={STATE_TOPIC}&part=0&{fence}"
