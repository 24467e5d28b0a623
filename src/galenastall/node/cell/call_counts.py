"""Counts a leader's calls to executors, and those that get no answer in time."""

from collections import Counter


class CallCounts:
    """Counts calls by kind."""

    def __init__(self) -> None:
        """Start with all counts at zero."""
        self._calls: Counter[str] = Counter()
        self._unanswered: Counter[str] = Counter()

    def add(self, kind: str, *, is_answered: bool) -> None:
        """Count a call that has ended."""
        self._calls[kind] += 1
        if not is_answered:
            self._unanswered[kind] += 1

    def take(self) -> dict[str, str]:
        """Return the counts since the last call of this method, as fields of a log event."""
        fields = {f"{kind}_calls": str(count) for kind, count in sorted(self._calls.items())}
        for kind, count in sorted(self._unanswered.items()):
            fields[f"{kind}_unanswered"] = str(count)
        self._calls.clear()
        self._unanswered.clear()
        return fields
