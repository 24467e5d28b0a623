"""Run one load client as a process: `python -m galenastall.bench.client PLAN OUTPUT`.

Several of them share a load that one loop can't send. Each writes its history as JSON lines to
`OUTPUT.history` and its summary to `OUTPUT.summary`.
"""

import sys
from pathlib import Path

import msgspec
import trio

from galenastall.bench.load import LoadClient, LoadPlan
from galenastall.proof.history import HistoryRecorder, write_lines
from galenastall.transport.clock import TrioClock


async def run_client(*, plan_path: Path, output: Path) -> None:
    """Carry out the plan and write what was seen."""
    plan = msgspec.json.decode(await trio.Path(plan_path).read_bytes(), type=LoadPlan)
    recorder = HistoryRecorder()
    summary = await LoadClient(plan=plan, clock=TrioClock(), recorder=recorder).run()
    history = recorder.history()
    lines = b"".join(write_lines(history.events))
    await trio.Path(f"{output}.history").write_bytes(lines)
    text = msgspec.json.encode({"summary": summary, "dropped": history.dropped})
    await trio.Path(f"{output}.summary").write_bytes(text)


def main() -> None:
    """Read the two arguments and run."""
    plan, output = (Path(argument) for argument in sys.argv[1:3])

    async def run() -> None:
        await run_client(plan_path=plan, output=output)

    trio.run(run)


if __name__ == "__main__":
    main()
