"""Invariants of the shared settings: one state per offset, in force in time, never reverted."""

from collections.abc import Iterator

from galenastall.proof.checker import INVARIANTS, Bounds, Finding
from galenastall.proof.history import Fault, History, SettingAccepted, SettingsInForce


@INVARIANTS.register("settings-monotone")
def settings_monotone(history: History, bounds: Bounds) -> Iterator[Finding]:
    """Check that the offset in force on a host never decreases, also across restarts."""
    highest_by_host: dict[str, SettingsInForce] = {}
    for sample in history.of(SettingsInForce):
        highest = highest_by_host.get(sample.entry_host)
        if highest is not None and sample.offset < highest.offset:
            detail = f"{sample.entry_host} went from {highest.offset} back to {sample.offset}"
            yield detail, (highest, sample)
            continue
        highest_by_host[sample.entry_host] = sample


@INVARIANTS.register("settings-agree")
def settings_agree(history: History, bounds: Bounds) -> Iterator[Finding]:
    """Check that two hosts with the same offset in force have the same digest."""
    first_by_offset: dict[int, SettingsInForce] = {}
    for sample in history.of(SettingsInForce):
        first = first_by_offset.setdefault(sample.offset, sample)
        if first.digest != sample.digest:
            yield f"two states at offset {sample.offset}", (first, sample)


@INVARIANTS.register("settings-never-revert")
def settings_never_revert(history: History, bounds: Bounds) -> Iterator[Finding]:
    """Check that a host at an accepted change's offset shows that revision or a later one."""
    accepted_by_path = history.grouped(SettingAccepted, lambda change: change.path)
    for sample in history.of(SettingsInForce):
        for path, revision in sample.revisions_by_path.items():
            for change in accepted_by_path.get(path, []):
                if revision < change.offset <= sample.offset:
                    detail = f"{sample.entry_host} lost {change.change_id} at {path}"
                    yield detail, (change, sample)


@INVARIANTS.register("settings-in-force-soon")
def settings_in_force_soon(history: History, bounds: Bounds) -> Iterator[Finding]:
    """Check that each reachable host's first report after the bound has the change in force.

    A host with a fault of its own between the acceptance and that report is not reachable.
    """
    samples_by_host = history.grouped(SettingsInForce, lambda sample: sample.entry_host)
    faults_by_host = history.grouped(Fault, lambda fault: fault.host)
    for change in history.of(SettingAccepted):
        for host, samples in samples_by_host.items():
            due = change.at + bounds.in_force_s
            sample = next((each for each in samples if each.at >= due), None)
            if sample is None or sample.offset >= change.offset:
                continue
            faults = faults_by_host.get(host, [])
            if any(
                fault.at <= sample.at and fault.until + bounds.in_force_s >= change.at
                for fault in faults
            ):
                continue
            late = sample.at - change.at
            detail = f"{host} lacks {change.change_id} {late:.2f} s after its acceptance"
            yield detail, (change, sample)
