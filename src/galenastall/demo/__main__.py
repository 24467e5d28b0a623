"""Send requests, a batch and a gang through entry hosts and print their outcomes.

Runs on the built-in stand-in first, then repeats the jobs on that of the operations platform.
"""

import sys
from pathlib import Path
from typing import Any, Final

import msgspec
import trio
import yaml
from returns.result import Failure

from galenastall.demo.fleet import DemoFleet, run_fleet
from galenastall.demo.platform_path import run_platform_demo
from galenastall.node.entry_host import EntryHost
from galenastall.state.settings_paths import NO_REVISION

ENTRY_HOSTS: Final = ("gangnam-entry-1", "mapo-entry-1")
REQUESTS: Final = 12
TIMEOUT_S: Final = 20.0
JOB_TIMEOUT_S: Final = 30.0
SETTINGS_TIMEOUT_S: Final = 5.0
OPERATIONS: Final = ("packs/preview", "packs/redact", "packs/assemble")
BATCH: Final = {
    "job_id": "demo-redactions",
    "team": "redaction",
    "workload": "batch",
    "tasks": 8,
    "resources": {"cores_milli": 2000, "memory_mb": 2048},
    "run_s": 1.0,
}
GANG: Final = {
    "job_id": "demo-full-pack",
    "team": "packs/full",
    "workload": "gang",
    "urgency": "urgent",
    "tasks": 4,
    "resources": {"cores_milli": 16000, "memory_mb": 16384},
    "run_s": 1.0,
}


async def run_demo(examples: Path) -> bool:
    """Run the demo on the built-in stand-in; return whether every step succeeded."""
    async with run_fleet(examples=examples, names=ENTRY_HOSTS) as fleet:
        _print_line("two entry hosts are ready:")
        for host in fleet.hosts:
            _print_line(f"  {host.host_id} in {host.data_centre}, http {host.server.address}")
        is_set = await _apply_settings(fleet, fleet.hosts[0], examples / "dongmun" / "shared.yaml")
        results = [await _send_request(fleet, number) for number in range(REQUESTS)]
        jobs = [
            await _run_job(fleet, fleet.hosts[0], BATCH),
            await _run_job(fleet, fleet.hosts[1], GANG),
        ]
        _print_line("\ntime line of request demo-0, over all processes:")
        _print_line(await _fetch_text(fleet, fleet.hosts[0], "/v1/timeline/demo-0?format=text"))
        for host, subject in zip(fleet.hosts, ("demo-0", "demo-full-pack"), strict=True):
            _print_line(f"what happened to {subject}:")
            _print_line(await _fetch_text(fleet, host, f"/v1/explain/{subject}?format=text"))
    return is_set and all(results) and all(jobs)


async def _apply_settings(fleet: DemoFleet, host: EntryHost, file: Path) -> bool:
    change = {
        "change_id": "demo-settings",
        "base_revision": NO_REVISION,
        "author": "ops-seoul",
        "subtree": yaml.safe_load(await trio.Path(file).read_text()),
    }
    answered = await fleet.client.request(
        method="PUT",
        address=host.server.address,
        path="/v1/settings",
        headers={"content-type": "application/json"},
        body=msgspec.json.encode(change),
        timeout_s=TIMEOUT_S,
    )
    if isinstance(answered, Failure):
        _print_line(f"settings of {file}: {answered.failure()}")
        return False
    verdict = msgspec.json.decode(answered.unwrap().body)
    _print_line(f"settings of {file}: {verdict.get('kind', verdict)}\n")
    with trio.move_on_after(SETTINGS_TIMEOUT_S):
        while not all(each.shared.current.teams for each in fleet.hosts):  # noqa: ASYNC110
            await trio.sleep(0.05)
        return bool(verdict.get("kind") == "accepted")
    _print_line(f"settings were not in force on all hosts within {SETTINGS_TIMEOUT_S:.0f} s")
    return False


async def _send_request(fleet: DemoFleet, number: int) -> bool:
    host = fleet.hosts[number % len(fleet.hosts)]
    operation = OPERATIONS[number % len(OPERATIONS)]
    is_idempotent = operation == "packs/preview"
    answered = await fleet.client.request(
        method="POST",
        address=host.server.address,
        path=f"/v1/requests/{operation}",
        headers={
            "Galenastall-Team": "packs/previews" if is_idempotent else "packs/full",
            "Galenastall-Class": "urgent" if number % 4 == 0 else "normal",
            "Galenastall-Deadline-Ms": "5000",
            "Galenastall-Idempotent": "true" if is_idempotent else "false",
            "Galenastall-Request-Id": f"demo-{number}",
        },
        body=f"papers of meeting {number}".encode(),
        timeout_s=TIMEOUT_S,
    )
    if isinstance(answered, Failure):
        _print_line(f"request demo-{number} by {host.host_id}: {answered.failure()}")
        return False
    answer = answered.unwrap()
    outcome = answer.headers.get("galenastall-outcome", "none")
    upstream = answer.headers.get("galenastall-upstream", "?")
    _print_line(
        f"request demo-{number} ({operation}) by {host.host_id}: {outcome} at {upstream}, "
        f"{len(answer.body)} bytes"
    )
    return outcome == "done"


async def _run_job(fleet: DemoFleet, host: EntryHost, job: dict[str, Any]) -> bool:
    accepted = await fleet.client.post_json(
        address=host.server.address,
        path="/v1/jobs",
        message=job,
        answer_type=dict[str, Any],
        timeout_s=TIMEOUT_S,
    )
    if isinstance(accepted, Failure):
        _print_line(f"job {job['job_id']} by {host.host_id}: {accepted.failure()}")
        return False
    _print_line(
        f"\njob {job['job_id']} ({job['workload']}) accepted, durable in {_durability(accepted)}"
    )
    workers_by_task: dict[str, str] = {}
    with trio.move_on_after(JOB_TIMEOUT_S):
        state = "live"
        while state == "live":
            await trio.sleep(0.1)
            state = await _job_state(fleet, host, job, workers_by_task)
        for task_id, worker in sorted(workers_by_task.items()):
            _print_line(f"  task {task_id} ran on {worker}")
        _print_line(f"  job {job['job_id']}: {state}")
        return state == "done" and len(workers_by_task) == job["tasks"]
    _print_line(f"  job {job['job_id']} did not end within {JOB_TIMEOUT_S:.0f} s")
    return False


def _durability(accepted: Any) -> str:
    return str(accepted.unwrap()["durability"])


async def _job_state(
    fleet: DemoFleet, host: EntryHost, job: dict[str, Any], workers_by_task: dict[str, str]
) -> str:
    path = f"/v1/jobs/{job['job_id']}"
    tasks = await _get(fleet, host, f"{path}/tasks")
    for task in tasks["tasks"]:
        if task["worker"]:
            workers_by_task[task["task_id"]] = task["worker"]
    return str((await _get(fleet, host, path))["state"])


async def _get(fleet: DemoFleet, host: EntryHost, path: str) -> Any:
    result = await fleet.client.get_json(
        address=host.server.address, path=path, answer_type=Any, timeout_s=TIMEOUT_S
    )
    return result.unwrap()


async def _fetch_text(fleet: DemoFleet, host: EntryHost, path: str) -> str:
    answered = await fleet.client.request(
        method="GET", address=host.server.address, path=path, timeout_s=TIMEOUT_S
    )
    return answered.unwrap().body.decode()


def _print_line(line: str) -> None:
    sys.stdout.write(f"{line}\n")


def main() -> None:
    """Run the demo from the repository's root; exits with 1 if any step failed."""
    examples = Path("examples")
    if not examples.is_dir():
        sys.exit("run the demo from the repository's root: no directory 'examples' here")
    has_passed = trio.run(run_demo, examples) and trio.run(run_platform_demo, _print_line)
    _print_line(
        "all steps of the demo succeeded" if has_passed else "at least one step of the demo failed"
    )
    sys.exit(0 if has_passed else 1)


if __name__ == "__main__":
    main()
