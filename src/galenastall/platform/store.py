"""The cell's state and its leader, in one partition of the platform's log, fenced by epochs."""

from typing import Final

import msgspec
from returns.result import Failure, Result, Success

from galenastall.platform.calls import (
    SILENCE_TIMEOUT_S,
    TRANSFER_TIMEOUT_S,
    AddressProvider,
    PlatformCalls,
    decode_answer,
    to_failure,
)
from galenastall.platform.entries import decode_entry
from galenastall.platform.log_wire import (
    AppendAnswer,
    AppendRefusal,
    keyed_record,
)
from galenastall.platform.newest_records import NewestReader
from galenastall.protocol.cell.ports import LeaderRecord, StatePage, StoreView
from galenastall.state.decoding import Quantity, shorten
from galenastall.state.errors import Reason, StepError
from galenastall.transport.http_client import BufferedResponse

STATE_TOPIC: Final = "keyed.galenastall-cell"
CLAIM_KEY: Final = "~leader"
"""Key of the newest claim, in the partition of the state, so that a takeover needs only this one
partition. In a partial outage with 37% of the partitions down, two are both available 40% of the
time and one 63%. The key sorts after all others, so that one page can return it alone."""
PRODUCER: Final = "leader"
"""Shared by all leaders, so that the epoch of one fences its predecessors."""
CALL_TIMEOUT_S: Final = 1.0
REQUEST_BYTES: Final = 2_097_152
"""Default for the largest request that the store accepts, if the settings have none."""
RECORD_BYTES: Final = 262_144
"""Default for the largest record that the store accepts, if the settings have none."""
RECORD_FRAME_BYTES: Final = 5
"""Bytes of a record beside its key and value: its length, and the length of its key."""
VALUES_SHARE: Final = 0.75
"""Share of a request that keys and values may fill: each record has 5 bytes of framing, and the
shortest row, that of a deleted job, has 20."""
_OK: Final = 200
_CONFLICT: Final = 409
_NOT_AT_END: Final = 412
_AFTER_STATE_KEYS: Final = "~"
"""Sorts after the keys of all rows, and before that of the claim."""


class _Claim(msgspec.Struct, frozen=True, kw_only=True):
    host_id: str
    address: str
    weight: Quantity = 0.0


_UNREADABLE_CLAIM: Final = _Claim(host_id="", address="")


class PlatformStore:
    """StatePort on the platform's log."""

    def __init__(
        self,
        *,
        calls: PlatformCalls,
        address: AddressProvider,
        request_bytes: int = REQUEST_BYTES,
        record_bytes: int = RECORD_BYTES,
    ) -> None:
        """Use the store at `address`, with its limits of the size of a request and of a record."""
        self.append_bytes = int(request_bytes * VALUES_SHARE)
        """Most bytes that one append may write, keys and values together."""
        self.record_bytes = min(record_bytes - RECORD_FRAME_BYTES, self.append_bytes)
        """Most bytes of one key and its value together."""
        self._calls = calls
        self._newest = NewestReader(calls=calls, address=address)
        self._address = address

    async def claim(
        self, *, host_id: str, address: str, weight: float, log_end: int
    ) -> Result[int, StepError]:
        """Append a claim if the log ends at `tip`; its offset + 1 is the token."""
        value = msgspec.json.encode(_Claim(host_id=host_id, address=address, weight=weight))
        answer = await self._append(
            step="store.claim",
            path=f"/log-append?topic={STATE_TOPIC}&part=0&at={log_end}",
            body=keyed_record(CLAIM_KEY, value),
            timeout_s=CALL_TIMEOUT_S,
        )
        if isinstance(answer, Success) and answer.unwrap().offset != log_end:
            detail = f"offset: expected {log_end}, got {answer.unwrap().offset}"
            return Failure(self._error("store.claim", Reason.CUT, detail))
        return answer.map(lambda appended: appended.offset + 1)

    async def fence(self, *, token: int) -> Result[None, StepError]:
        """Set the epoch to `token` by an empty append."""
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
        """Append one record per key, atomically."""
        answer = await self._append(
            step="store.append",
            path=_fenced_path(token, sequence),
            body=b"".join(keyed_record(key, value) for key, value in values_by_key.items()),
            timeout_s=timeout_s,
        )
        return answer.map(lambda _: None)

    async def load_page(self, *, after: str) -> Result[StatePage, StepError]:
        """Read one page; after a fence, nothing is written between two pages but confirmations."""
        answer = await self._newest.page(
            STATE_TOPIC,
            after,
            timeout_s=TRANSFER_TIMEOUT_S,
            idle_timeout_s=SILENCE_TIMEOUT_S,
        )
        if isinstance(answer, Failure):
            return answer
        page = answer.unwrap()
        if page.problems:
            # Skipping a row would lose a job; leaders alone write rows, and only complete ones.
            return Failure(self._error("store.load", Reason.CUT, "; ".join(page.problems)))
        rows = {key: value for key, value in page.values_by_key.items() if key != CLAIM_KEY}
        return Success(
            StatePage(values_by_key=rows, next_after=page.last_key if page.has_more else "")
        )

    async def poll(self) -> Result[StoreView, StepError]:
        """Read the newest claim and the end offset of the log, in one page."""
        answer = await self._newest.page(STATE_TOPIC, _AFTER_STATE_KEYS)
        if isinstance(answer, Failure):
            return answer
        page = answer.unwrap()
        leader: LeaderRecord | None = None
        for record in page.records:
            if record.key != CLAIM_KEY:
                continue
            decoded = decode_entry(record.value, _Claim)
            # Without the token of an unreadable claim, no host could ever claim after it.
            claim = decoded.value_or(_UNREADABLE_CLAIM)
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
        response = answer.unwrap()
        if response.status == _NOT_AT_END:
            return Failure(self._error(step, Reason.CONFLICT, "another record was appended first"))
        if response.status == _CONFLICT:
            return self._conflict(response, step)
        if response.status != _OK:
            return to_failure(response, step=step, peer=self._address())
        return decode_answer(response, AppendAnswer, step=step, peer=self._address())

    def _conflict(self, response: BufferedResponse, step: str) -> Result[AppendAnswer, StepError]:
        """Return CONFLICT: a newer epoch is set, or another writer has used this one."""
        refusal = decode_answer(response, AppendRefusal, step=step, peer=self._address())
        detail = shorten(f"{refusal.value_or(AppendRefusal(reason='unreadable'))}")
        return Failure(self._error(step, Reason.CONFLICT, detail))

    def _error(self, step: str, reason: Reason, detail: str) -> StepError:
        return StepError(step=step, peer=self._address(), reason=reason, detail=detail)


def _fenced_path(token: int, sequence: int) -> str:
    fence = f"producer={PRODUCER}&epoch={token}&sequence={sequence}"
    return f"/log-append?topic={STATE_TOPIC}&part=0&{fence}"
