"""The store of the simulated platform: a keyed topic with claims, epochs and sequence numbers."""

from galenastall.protocol.cell.ports import StatePage

PAGE_BYTES = 1_000_000
PAGE_KEYS = 500


class Store:
    """A keyed topic with a log end, claims, epochs and sequence numbers."""

    def __init__(self) -> None:
        self.values: dict[str, bytes] = {}
        self.log_end = 0
        self.epoch = 0
        self.last_sequence = -1
        self.claims: list[tuple[str, str]] = []
        self.claimed_weight = 0.0
        self.newest_token = 0
        self.append_bytes = 2_097_152
        """Size limit of an append; a larger one is refused on every retry."""
        self.record_bytes = 262_144
        """Size limit of a record, its key and value together; a longer one is refused likewise."""
        self.refuses_keys: tuple[str, ...] = ()
        """Prefixes of keys whose records are refused whatever they hold."""
        self.largest_append = 0
        self.refused_records = 0
        """Number of appends refused for one of their records."""

    @property
    def size(self) -> int:
        """Total size of all keys and values in bytes."""
        return sum(len(key) + len(value) for key, value in self.values.items())

    def page(self, after: str) -> StatePage:
        """Return the first keys that sort after `after`: at least one, if there is any."""
        values: dict[str, bytes] = {}
        size = 0
        for key in sorted(key for key in self.values if key > after):
            size += len(key) + len(self.values[key])
            if values and (size > PAGE_BYTES or len(values) == PAGE_KEYS):
                return StatePage(values_by_key=values, next_after=max(values))
            values[key] = self.values[key]
        return StatePage(values_by_key=values)

    def claim(self, host_id: str, address: str, weight: float, log_end: int) -> int | None:
        """Append a claim if the log ends at `log_end`; None if another append came first."""
        if log_end != self.log_end:
            return None
        self.log_end += 1
        self.claims.append((host_id, address))
        self.claimed_weight = weight
        self.newest_token = self.log_end
        return self.newest_token

    def fence(self, token: int) -> bool:
        if token < self.epoch:
            return False
        if token > self.epoch:
            self.epoch, self.last_sequence = token, -1
        return True

    def takes_record(self, key: str, value: bytes) -> bool:
        """Whether the store accepts a record in an append."""
        is_short = len(key) + len(value) <= self.record_bytes
        return is_short and not key.startswith(self.refuses_keys)

    def append(self, token: int, sequence: int, values: dict[str, bytes]) -> bool:
        if not self.fence(token):
            return False
        if sequence <= self.last_sequence:
            return True
        self.last_sequence = sequence
        self.log_end += len(values)
        for key, value in values.items():
            if value:
                self.values[key] = value
            else:
                self.values.pop(key, None)
        return True
