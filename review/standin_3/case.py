"""Runs one case: exit code 1 if a rule was broken, 0 if all held, 2 if the case couldn't run."""

import asyncio
import os
import shutil
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from standin_3.fleet import Fleet, Record

LONGEST_S = 115.0
HELD, BROKEN, NOT_RUN = 0, 1, 2

Play = Callable[[Fleet, bool], Awaitable[list[str]]]
"""Plays a case on a fleet, with or without its disruption; returns the rules that were broken."""


def run_case(folder: Path, play: Play, **fleet: object) -> int:
    """Play a case and return its exit code; `folder` gets `record.txt`."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    record("case", folder.name, trouble=int(has_trouble))
    try:
        broken = asyncio.run(_play(record, play, has_trouble, fleet))
    except Exception:
        record("not_run", cause=traceback.format_exc())
        traceback.print_exc()
        return NOT_RUN
    for rule in broken:
        record("BROKEN", rule)
        sys.stdout.write(f"broken: {rule}\n")
    sys.stdout.write(f"case {folder.name}: {'broken' if broken else 'held'}\n")
    return BROKEN if broken else HELD


async def _play(record: Record, play: Play, has_trouble: bool, parts: dict) -> list[str]:
    fleet = Fleet(record=record, **parts)
    try:
        async with asyncio.timeout(LONGEST_S):
            broken = await play(fleet, has_trouble)
        return [*fleet.executors.broken_rules, *broken]
    finally:
        fleet.end()
        if os.environ.get("KEEP_LOGS"):
            record("logs", str(fleet.folder))
        else:
            shutil.rmtree(fleet.folder, ignore_errors=True)
