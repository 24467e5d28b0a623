"""Idempotency keys: at most one run despite races, lost responses, new owners and log outages."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from returns.result import Success

from galenastall.coordination.requests.keys import (
    HeldIntents,
    KeyHomes,
    KeyRules,
    KeyShard,
    KeyVerdict,
    check_age,
    home_of,
    intersects_every_majority,
    is_majority,
    key_time,
)
from galenastall.protocol.codec import decode_record, encode_record
from galenastall.state.ids import DataCentre, Epoch, HostId, Offset, RecordId, RequestId, StreamName
from galenastall.state.key_fold import (
    KeyEnded,
    KeyEntry,
    KeyFold,
    KeyIntent,
    KeysCarriedForward,
    KeyShardOpened,
    KeyShardReady,
    entry_of,
)
from galenastall.state.outcomes import Outcome

STREAM = StreamName("data-centre.gangnam")
RULES = KeyRules(memory_s=1_000.0, margin_s=100.0, skew_s=5.0, settle_s=5.0)
HOLDERS = (HostId("e1"), HostId("e2"), HostId("e3"))
Record = KeyShardOpened | KeyShardReady | KeyIntent | KeyEnded | KeysCarriedForward


class Log:
    """An in-memory stream whose records pass through the codec."""

    def __init__(self) -> None:
        self.texts: list[str] = []
        self.fold = KeyFold()

    def append(self, record: Record) -> None:
        self.texts.append(encode_record(record, record_id=RecordId(str(len(self.texts)))))
        offset = Offset(len(self.texts) - 1)
        self.fold.apply(decode_record(self.texts[-1], stream=STREAM, offset=offset).unwrap())

    def refold(self, start: int = 0) -> KeyFold:
        fold = KeyFold()
        for offset in range(start, len(self.texts)):
            decoded = decode_record(self.texts[offset], stream=STREAM, offset=Offset(offset))
            fold.apply(decoded.unwrap())
        return fold

    def open(self, epoch: int, *, incomplete_until: float = 0.0, at: float = 0.0) -> KeyShard:
        self.append(KeyShardOpened(shard="0", epoch=Epoch(epoch), opened_at=at))
        self.append(
            KeyShardReady(
                shard="0",
                epoch=Epoch(epoch),
                holders=HOLDERS,
                ready_at=at,
                incomplete_until=incomplete_until,
            )
        )
        return KeyShard(name="0", epoch=Epoch(epoch), fold=self.fold, rules=RULES)


def begin(shard: KeyShard, request: str, *, ends_at: float = 110.0) -> KeyIntent:
    return shard.begin(
        key="100-k",
        digest="d",
        made_at=100.0,
        request_id=RequestId(request),
        runner=HOLDERS[0],
        ends_at=ends_at,
    )


def verdict(shard: KeyShard, *, digest: str = "d", wall: float = 100.0) -> KeyVerdict:
    return shard.check(key="100-k", digest=digest, made_at=100.0, wall=wall).verdict


class TestKeyText:
    @pytest.mark.parametrize(
        ("key", "made_at"),
        [("1700000000-pack 7", 1_700_000_000.0), ("018bcfe5-6800-7000-8000-000000000000", 1.7e9)],
    )
    def test_a_key_carries_its_time(self, key: str, made_at: float) -> None:
        assert key_time(key) == Success(made_at)

    @pytest.mark.parametrize(
        "key", ["", "pack", "-pack", "12", "12-", "1\n-a", "x" * 201, "é-1", "1700000000"]
    )
    def test_malformed_keys_are_refused_naming_the_header(self, key: str) -> None:
        assert "Galenastall-Idempotency-Key" in str(key_time(key).failure())

    @pytest.mark.parametrize(
        ("wall", "accepted"), [(94.0, False), (95.0, True), (1_100.0, True), (1_101.0, False)]
    )
    def test_keys_older_than_memory_or_from_the_future_are_refused(
        self, wall: float, accepted: bool
    ) -> None:
        assert isinstance(check_age("100-k", wall=wall, rules=RULES), Success) is accepted

    def test_a_new_data_centre_moves_no_older_key(self) -> None:
        old = KeyHomes(since=0.0, data_centres=(DataCentre("gangnam"), DataCentre("mapo")))
        new = KeyHomes(since=500.0, data_centres=(*old.data_centres, DataCentre("seongsu")))
        keys = [f"100-{number}" for number in range(300)]
        before = [home_of(key, made_at=100.0, homes=(old,)) for key in keys]
        assert [home_of(key, made_at=100.0, homes=(old, new)) for key in keys] == before
        later = [home_of(key, made_at=600.0, homes=(old, new)) for key in keys]
        moved = {now for was, now in zip(before, later, strict=True) if was != now}
        assert moved == {"seongsu"}


class TestVerdict:
    def test_first_then_in_progress_then_the_first_ones_outcome(self) -> None:
        log = Log()
        shard = log.open(1)
        assert verdict(shard) is KeyVerdict.GO
        log.append(begin(shard, "r1"))
        assert verdict(shard, wall=114.9) is KeyVerdict.IN_PROGRESS
        assert verdict(shard, digest="other") is KeyVerdict.MISMATCH
        end = shard.end(key="100-k", request_id=RequestId("r1"), outcome=Outcome.DONE, status=200)
        assert end is not None
        log.append(end)
        answer = shard.check(key="100-k", digest="d", made_at=100.0, wall=500.0)
        assert (answer.verdict, answer.first and answer.first.status) == (KeyVerdict.REPEAT, 200)

    def test_an_intent_without_an_end_becomes_unknown(self) -> None:
        log = Log()
        log.append(begin(log.open(1), "r1"))
        assert verdict(log.open(2), wall=115.0) is KeyVerdict.UNKNOWN

    def test_a_request_that_was_not_run_may_be_sent_again(self) -> None:
        log = Log()
        shard = log.open(1)
        log.append(begin(shard, "r1"))
        end = shard.end(key="100-k", request_id=RequestId("r1"), outcome=Outcome.NOT_RUN, status=0)
        assert end is not None
        log.append(end)
        assert verdict(shard) is KeyVerdict.GO
        second = begin(shard, "r2")
        log.append(second)
        assert shard.is_recorded(second)

    def test_an_intent_of_a_replaced_owner_is_not_recorded(self) -> None:
        log = Log()
        old = log.open(1)
        intent = begin(old, "r1")
        new = log.open(2)
        log.append(intent)
        assert not old.is_recorded(intent)
        assert verdict(new) is KeyVerdict.GO

    def test_keys_from_before_lost_intents_are_unknown(self) -> None:
        assert verdict(Log().open(1, incomplete_until=100.0)) is KeyVerdict.UNKNOWN
        assert verdict(Log().open(1, incomplete_until=90.0)) is KeyVerdict.GO

    def test_carried_keys_survive_trimming(self) -> None:
        log = Log()
        shard = log.open(1)
        log.append(begin(shard, "r1"))
        end = shard.end(key="100-k", request_id=RequestId("r1"), outcome=Outcome.DONE, status=200)
        assert end is not None
        log.append(end)
        start = len(log.texts)
        old = tuple(log.fold.recorded_before(shard="0", offset=Offset(start)))
        log.append(KeysCarriedForward(shard="0", epoch=Epoch(1), entries=old))
        entry = log.refold(start).entry(shard="0", key="100-k")
        assert entry is not None
        assert entry.outcome is Outcome.DONE
        assert not list(log.fold.recorded_before(shard="0", offset=Offset(start)))

    def test_old_keys_are_forgotten(self) -> None:
        log = Log()
        log.append(begin(log.open(1), "r1"))
        assert log.fold.drop_expired(wall=1_199.0) == 0
        assert log.fold.drop_expired(wall=1_200.0) == 1


class TestHeldIntents:
    @pytest.mark.parametrize("size", range(1, 9))
    def test_each_read_intersects_each_majority(self, size: int) -> None:
        for held in range(size + 1):
            for read in range(size + 1):
                enough = is_majority(count=held, of=size) and intersects_every_majority(
                    count=read, of=size
                )
                assert not enough or held + read > size

    def test_a_read_by_a_new_owner_fences_the_old_one(self) -> None:
        held = HeldIntents()
        shard = KeyShard(name="0", epoch=Epoch(1), fold=KeyFold(), rules=RULES)
        entry = entry_of(begin(shard, "r1"))
        held.read(shard="0", epoch=Epoch(1), serving=None)
        assert held.hold(shard="0", epoch=Epoch(1), entries=(entry,))
        assert held.read(shard="0", epoch=Epoch(2), serving=Epoch(1)).entries == (entry,)
        assert not held.hold(shard="0", epoch=Epoch(1), entries=(entry,))
        assert not held.read(shard="0", epoch=Epoch(1), serving=Epoch(1)).is_holder

    def test_a_restarted_process_is_not_taken_for_a_holder(self) -> None:
        held = HeldIntents()
        assert not held.hold(shard="0", epoch=Epoch(1), entries=())
        read = held.read(shard="0", epoch=Epoch(2), serving=Epoch(1))
        assert (read.is_holder, read.was_holder) == (True, False)
        assert held.hold(shard="0", epoch=Epoch(2), entries=())

    def test_a_holder_that_missed_the_second_run_does_not_hide_it(self) -> None:
        shard = KeyShard(name="0", epoch=Epoch(1), fold=KeyFold(), rules=RULES)
        first = entry_of(begin(shard, "r1", ends_at=200.0))
        shard.end(key="100-k", request_id=RequestId("r1"), outcome=Outcome.NOT_RUN, status=0)
        (ended_first,) = shard.unlogged()
        second = entry_of(begin(shard, "r2", ends_at=110.0))
        new = KeyShard(name="0", epoch=Epoch(2), fold=KeyFold(), rules=RULES)
        new.restore((second, first, ended_first))
        assert verdict(new) is KeyVerdict.IN_PROGRESS


class KeyMachine(RuleBasedStateMachine):
    """One key with changing owners, log outages and holders that restart or drop entries."""

    @initialize()
    def start(self) -> None:
        self.log = Log()
        self.log_up = True
        self.epoch = 0
        self.held = [HeldIntents() for _ in HOLDERS]
        self.shards: list[KeyShard] = []
        self.runs: set[str] = set()
        self.requests = 0
        self.flying: list[Record] = []
        self.ended: list[tuple[str, Outcome]] = []
        self.take_over(reached=[True, True, True])

    @rule(reached=st.lists(st.booleans(), min_size=3, max_size=3))
    def take_over(self, reached: list[bool]) -> None:
        """Open the shard under a new owner; that needs the log, and its reads need holders."""
        if not self.log_up:
            return
        self.epoch += 1
        epoch = Epoch(self.epoch)
        serving = self.log.fold.shard("0").serving
        self.log.append(KeyShardOpened(shard="0", epoch=epoch, opened_at=100.0))
        shard = KeyShard(name="0", epoch=epoch, fold=self.log.fold, rules=RULES)
        found: list[KeyEntry] = []
        answered = 0
        for holder, is_reached in zip(self.held, reached, strict=True):
            if is_reached:
                last = serving.epoch if serving else None
                read = holder.read(shard="0", epoch=epoch, serving=last)
                answered += read.was_holder
                found += read.entries
        complete = serving is None or intersects_every_majority(count=answered, of=len(HOLDERS))
        restored = shard.restore(found)
        self.log.append(KeysCarriedForward(shard="0", epoch=epoch, entries=restored))
        lost = 0.0 if complete else 100.0
        self.log.append(
            KeyShardReady(
                shard="0", epoch=epoch, holders=HOLDERS, ready_at=100.0, incomplete_until=lost
            )
        )
        self.shards.append(shard)

    @rule(index=st.integers(0, 3), reached=st.lists(st.booleans(), min_size=3, max_size=3))
    def request(self, index: int, reached: list[bool]) -> None:
        """Send a request to any owner, past or present; a past owner still believes to be one."""
        shard = self.shards[-1 - index % len(self.shards)]
        if verdict(shard) is not KeyVerdict.GO:
            return
        self.requests += 1
        intent = begin(shard, f"r{self.requests}", ends_at=110.0 - self.requests)
        durable = False
        if self.log_up:
            self.log.append(intent)
            durable = shard.is_recorded(intent)
        else:
            acks = sum(
                holder.hold(shard="0", epoch=shard.epoch, entries=(entry_of(intent),))
                for holder, is_reached in zip(self.held, reached, strict=True)
                if is_reached
            )
            durable = is_majority(count=acks, of=len(HOLDERS))
        if durable:
            self.runs.add(intent.request_id)
            return
        self._end(shard, intent.request_id, Outcome.NOT_RUN)

    @rule(index=st.integers(0, 3), outcome=st.sampled_from([Outcome.DONE, Outcome.NOT_RUN]))
    def end(self, index: int, outcome: Outcome) -> None:
        """End the running request; `not_run` means that it was proved never to have been sent."""
        if len(self.runs) != 1 or self.ended:
            return
        (run,) = self.runs
        shard = self.shards[-1 - index % len(self.shards)]
        if outcome is Outcome.NOT_RUN:
            self.runs.clear()
        else:
            self.ended.append((run, outcome))
        self._end(shard, RequestId(run), outcome)

    def _end(self, shard: KeyShard, request: RequestId, outcome: Outcome) -> None:
        record = shard.end(key="100-k", request_id=request, outcome=outcome, status=0)
        if record is not None and self.log_up:
            self.log.append(record)

    @rule()
    def log_goes_down(self) -> None:
        self.log_up = False

    @rule()
    def log_comes_back(self) -> None:
        self.log_up = True

    @rule()
    def flush(self) -> None:
        """Let every owner, replaced or not, write its unlogged entries."""
        if not self.log_up:
            return
        for shard in self.shards:
            entries = shard.unlogged()
            self.log.append(KeysCarriedForward(shard="0", epoch=shard.epoch, entries=entries))

    @rule(index=st.integers(0, 2))
    def holder_forgets(self, index: int) -> None:
        self.held[index].forget(fold=self.log.fold, wall=100.0)

    @rule(index=st.integers(0, 2))
    def holder_is_replaced(self, index: int) -> None:
        """Restart a holder: the new process has lost the held entries."""
        self.held[index] = HeldIntents()

    @invariant()
    def at_most_one_run(self) -> None:
        assert len(self.runs) <= 1

    @invariant()
    def folding_again_gives_the_same(self) -> None:
        again = self.log.refold().entry(shard="0", key="100-k")
        assert again == self.log.fold.entry(shard="0", key="100-k")


TestKeyMachine = KeyMachine.TestCase
TestKeyMachine.settings = settings(
    max_examples=max(200, settings().max_examples), stateful_step_count=30
)
