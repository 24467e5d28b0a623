"""Summarizes by queue why steps waited, from the lines that the leader logs each second."""

from collections import Counter, defaultdict
from collections.abc import Iterable

from galenastall.coordination.cell.explain_logs import LogLine


def reasons_by_queue(lines: Iterable[LogLine]) -> dict[str, Counter[str]]:
    """Return the counts of waiting steps, summed over the lines, by queue and reason."""
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
    """Return one line of text per queue, the most frequent reason first."""
    return [
        f"{queue}: waiting steps, summed over seconds: "
        + ", ".join(f"{reason} {count}" for reason, count in counts.most_common())
        for queue, counts in sorted(sums.items())
    ]
