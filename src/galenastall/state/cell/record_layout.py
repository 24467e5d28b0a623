"""Layout of values in the records of a store, which limits the size of a record.

A value that does not fit into a record is divided into parts. Each part is a record of its own, and
the record under the value's key is a head that names the parts. Two sets of part keys are used in
turn: the parts of the newer value are written first, then the head, and the parts of the older
value are deleted last. A write may therefore stop after any record, and the store still has either
the older or the newer value in full.
"""

from collections.abc import Iterator
from typing import Final

import msgspec

PARTS_PREFIX: Final = "part/"
"""Key prefix of parts."""
HEAD_MARK: Final = b"\xc1"
"""First byte of a head; no value in MessagePack begins with it."""


class Head(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """What the record under the key of a divided value holds."""

    part_set: int
    """Which of the two sets of keys its parts have: 0 or 1."""
    count: int
    """Number of parts."""
    size: int
    """Size of the value in bytes."""


class RecordLayout:
    """Divides values into records, and knows which parts the store has.

    It belongs to one writer, which writes all records that it returns, in their order.
    """

    def __init__(self, *, max_record_bytes: int) -> None:
        """`max_record_bytes` is the largest size of a record's key and value together."""
        self._max_record_bytes = max_record_bytes
        self._heads_by_key: dict[str, Head] = {}
        self._unused_parts: set[str] = set()
        """Parts of unfinished writes of earlier writers."""

    def divide(self, values_by_key: dict[str, bytes]) -> dict[str, bytes]:
        """Return the records that store the values, in the order in which to write them."""
        records = dict.fromkeys(sorted(self._unused_parts), b"")
        self._unused_parts.clear()
        for key, value in values_by_key.items():
            is_divided = len(key.encode()) + len(value) > self._max_record_bytes
            if is_divided or key in self._heads_by_key:
                records.update(self._replace(key, value, is_divided=is_divided))
            else:
                records[key] = value
        return records

    def join(self, records_by_key: dict[str, bytes]) -> dict[str, bytes]:
        """Return the values in all records of the store, and continue from these.

        A head whose parts are incomplete is returned as it is; it cannot be decoded as a value.
        """
        values: dict[str, bytes] = {}
        unused = {key for key in records_by_key if key.startswith(PARTS_PREFIX)}
        for key, record in records_by_key.items():
            if key.startswith(PARTS_PREFIX):
                continue
            head = _decode_head(record)
            if head is None:
                values[key] = record
                continue
            self._heads_by_key[key] = head
            part_keys = list(_part_keys(key, head))
            unused.difference_update(part_keys)
            value = b"".join(records_by_key.get(part, b"") for part in part_keys)
            values[key] = value if len(value) == head.size else record
        self._unused_parts = unused
        return values

    def _replace(self, key: str, value: bytes, *, is_divided: bool) -> dict[str, bytes]:
        """Return the records that replace a value, one of which or both are divided."""
        old = self._heads_by_key.pop(key, None)
        records: dict[str, bytes] = {}
        record = value
        if is_divided:
            part_set = 1 - old.part_set if old is not None else 0
            parts = self._parts(key, value, part_set=part_set)
            head = Head(part_set=part_set, count=len(parts), size=len(value))
            self._heads_by_key[key] = head
            records.update(parts)
            record = HEAD_MARK + msgspec.msgpack.encode(head)
        records[key] = record
        if old is not None:
            records.update(dict.fromkeys(_part_keys(key, old), b""))
        return records

    def _parts(self, key: str, value: bytes, *, part_set: int) -> dict[str, bytes]:
        parts: dict[str, bytes] = {}
        begin = 0
        while begin < len(value):
            part_key = _part_key(key, part_set, len(parts))
            size = max(self._max_record_bytes - len(part_key.encode()), 1)
            parts[part_key] = value[begin : begin + size]
            begin += size
        return parts


def _part_keys(key: str, head: Head) -> Iterator[str]:
    return (_part_key(key, head.part_set, number) for number in range(head.count))


def _part_key(key: str, part_set: int, number: int) -> str:
    return f"{PARTS_PREFIX}{part_set}/{number}/{key}"


def _decode_head(record: bytes) -> Head | None:
    """Return the head in a record; None if the record holds a whole value."""
    if not record.startswith(HEAD_MARK):
        return None
    try:
        return msgspec.msgpack.decode(record[len(HEAD_MARK) :], type=Head)
    except msgspec.MsgspecError:
        return None
