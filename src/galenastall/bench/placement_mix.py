"""Compare placement policies on the same arrivals of both users' mixes.

Run `python -m galenastall.bench.placement_mix`. Everything is in virtual time against fake
workers: declared sizes up to four times off, a tenth of the jobs impossible, one worker that fails
everything, lost answers and a cancellation wave.
"""

import argparse
import sys
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

import msgspec

from galenastall.bench.mix_driver import MixDriver
from galenastall.bench.mix_figures import MixFigures
from galenastall.bench.mix_workloads import MIXES, draw_arrivals
from galenastall.coordination.placement.placement_settings import (
    PlacementSettings,
    default_policies,
)

CLASSES: Final = ("urgent", "gang", "service", "normal", "backfill")


@dataclass(frozen=True, kw_only=True, slots=True)
class Contender:
    """A policy as it is compared: with the whole core, or as a plain baseline."""

    name: str
    policy: str
    is_plain: bool
    """By arrival, with declared sizes and without preemption."""


CONTENDERS: Final = (
    Contender(name="leftover", policy="leftover", is_plain=False),
    Contender(name="first_fit plain", policy="first_fit", is_plain=True),
    Contender(name="random plain", policy="random", is_plain=True),
    Contender(name="first_fit", policy="first_fit", is_plain=False),
    Contender(name="random", policy="random", is_plain=False),
)


def settings_of(contender: Contender) -> PlacementSettings:
    """Return the settings under which a contender runs."""
    policies = dict.fromkeys(default_policies(), contender.policy)
    if not contender.is_plain:
        return PlacementSettings(policies_by_class=policies)
    return PlacementSettings(
        policies_by_class=policies, queue_order="fifo", is_learning=False, is_preempting=False
    )


def quantile(values: Sequence[float], share: float) -> float:
    """Return the value below which `share` of the values lie; 0 if there are none."""
    ranked = sorted(values)
    return ranked[min(int(share * len(ranked)), len(ranked) - 1)] if ranked else 0.0


def row_of(mix: str, seed: int, contender: str, figures: MixFigures) -> dict[str, Any]:
    """Return the figures of one run as a flat row for JSON."""
    waits = {
        name: {
            "count": len(figures.waits_by_class.get(name, ())),
            "p50_s": round(quantile(figures.waits_by_class.get(name, ()), 0.5), 3),
            "p99_s": round(quantile(figures.waits_by_class.get(name, ()), 0.99), 3),
            "unstarted": figures.unstarted_by_class.get(name, 0),
        }
        for name in CLASSES
    }
    row = {
        name: getattr(figures, name)
        for name in MixFigures.__dataclass_fields__
        if name not in {"waits_by_class", "unstarted_by_class"}
    }
    return {"mix": mix, "seed": seed, "contender": contender, "waits": waits, **row}


def table(rows: Sequence[dict[str, Any]]) -> str:
    """Return the rows as text."""
    lines = [
        f"{'mix':8} {'contender':16} seed | urgent p50/p99 s | gang p50/p99 s"
        " | normal p50/p99 s | backfill p50/p99 s"
        " | packing used/res stranded | over full | starts ckpt thr stop msgs | cpu s"
        " | done core-h refused wrong given-up(wrongly) | cancel us | quarantined"
    ]
    for row in rows:
        waits = row["waits"]
        commands = row["commands"]
        pairs = " | ".join(
            f"{waits[name]['p50_s']:7.1f} {waits[name]['p99_s']:7.1f}"
            for name in ("urgent", "gang", "normal", "backfill")
        )
        lines.append(
            f"{row['mix']:8} {row['contender']:16} {row['seed']:4} | {pairs}"
            f" | {row['packing']:.3f} {row['used_of_reserved']:.3f} {row['stranded']:.3f}"
            f" | {row['overcommits']} {row['memory_full']}"
            f" | {commands.get('start', 0)} {commands.get('checkpoint', 0)}"
            f" {commands.get('throttle', 0)} {commands.get('stop', 0)} {row['messages']}"
            f" | {row['core_cpu_s']:.1f} | {row['done']} {row['core_s_done'] / 3600:.0f}"
            f" {row['refused']} {row['wrongly_refused']}"
            f" {row['given_up']}({row['wrongly_given_up']})"
            f" | {row['cancel_us']:.1f} | {','.join(row['quarantined'])}"
        )
    return "\n".join(lines)


def main(arguments: Sequence[str] | None = None) -> None:
    """Run all contenders on each mix and seed, print a table and write `--json` if asked."""
    parser = argparse.ArgumentParser(prog="placement_mix", description=__doc__)
    parser.add_argument("--mixes", nargs="+", default=list(MIXES.names()), choices=MIXES.names())
    names = [contender.name for contender in CONTENDERS]
    parser.add_argument("--contenders", nargs="+", default=names, choices=names)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1])
    parser.add_argument("--span", type=float, default=3600.0, help="virtual seconds of arrivals")
    parser.add_argument("--load", type=float, help="offered share of all cores (the mix's own)")
    parser.add_argument("--json", type=Path)
    options = parser.parse_args(arguments)
    rows: list[dict[str, Any]] = []
    for name in options.mixes:
        mix = MIXES.get(name)
        for seed in options.seeds:
            arrivals = list(
                draw_arrivals(mix, seed=seed, span_s=options.span, load=options.load or mix.load)
            )
            for contender in CONTENDERS:
                if contender.name not in options.contenders:
                    continue
                driver = MixDriver(
                    mix=mix, settings=settings_of(contender), arrivals=arrivals, seed=seed
                )
                figures = driver.run(until=options.span * 1.5, cancel_at=options.span / 2)
                rows.append(row_of(name, seed, contender.name, figures))
                if options.json is not None:
                    options.json.write_bytes(msgspec.json.encode(rows))
                sys.stderr.write(f"{name} {seed} {contender.name} done\n")
    sys.stdout.write(table(rows) + "\n")


if __name__ == "__main__":
    main()
