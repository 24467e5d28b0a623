"""Tell from the leader's lines of each second why steps waited, by queue."""

from collections import Counter, defaultdict
from collections.abc import Iterable

from galenastall.coordination.cell.explain_logs import LogLine


def reasons_by_queue(lines: Iterable[LogLine]) -> dict[str, Counter[str]]:
    """Return the sums of the waiting steps that each second's line counts, by queue and reason."""
    sums: defaultdict[str, Counter[str]] = defaultdict(Counter)
    for line in lines:
        if line.event != "cell.waiting":
            continue
        for name, count in line.fields.items():
            queue, _, reason = name.rpartition(":")
            if queue and count.isdigit():
                sums[queue][reason] += int(count)
    return dict(sums)


def format_reasons(sums: dict[str, Counter[str]]) -> list[str]:
    """Return a line of text for each queue, the most frequent reason first."""
    return [
        f"{queue}: steps that waited, summed over the seconds: "
        + ", ".join(f"{reason} {count}" for reason, count in counts.most_common())
        for queue, counts in sorted(sums.items())
    ]
