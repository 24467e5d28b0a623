"""Commands for the shared settings tree: `settings show`, `apply`, `history` and `validate`."""

import uuid
from pathlib import Path
from typing import Annotated, Any, Final, NoReturn
from urllib.parse import quote

import msgspec
import typer
import yaml
from returns.result import Failure

from galenastall.cli.entry_client import EntryOption, call_entry, call_entry_json
from galenastall.cli.exit_codes import EXIT_CODE_HELP, ExitCode
from galenastall.cli.output import OutputFormat, OutputOption, fail, fail_usage, print_value
from galenastall.node.settings.http_settings import NO_EFFECT_HEADER
from galenastall.protocol.process_settings import ProcessSettings
from galenastall.protocol.yaml_files import load_yaml, parse_yaml
from galenastall.state.settings_paths import NO_REVISION
from galenastall.state.settings_problems import SettingsProblems, check_tree
from galenastall.state.settings_records import Verdict, VerdictKind
from galenastall.state.shared_settings import SharedSettings
from galenastall.transport.http_client import BufferedResponse, error_from_response

settings_app = typer.Typer(help=f"Show and change the shared settings tree. {EXIT_CODE_HELP}")

_OK: Final = 200
PROCESS_KEY: Final = "host_id"
"""A key that only the settings file of a process has."""
_CODES_BY_VERDICT: Final = {
    VerdictKind.ACCEPTED: ExitCode.OK,
    VerdictKind.STALE: ExitCode.REFUSED,
    VerdictKind.FORBIDDEN: ExitCode.REFUSED,
    VerdictKind.INVALID: ExitCode.USAGE,
}

PathArgument = Annotated[
    str, typer.Argument(help="Path in the tree, for example teams/packs; the root if left out.")
]


@settings_app.command()
def show(
    entry: EntryOption,
    path: PathArgument = "",
    *,
    in_force: Annotated[
        bool,
        typer.Option("--in-force", help="Show the tree in force, with all defaults filled in."),
    ] = False,
    output: OutputOption = OutputFormat.TEXT,
) -> None:
    """Show a subtree as it was set, and the revision that a change of it must be based on.

    With --in-force a comment before the tree names the settings that this version stores but
    ignores.

    Exit codes: 0 shown, 2 bad path, 4 no entry host answered or it is not ready.
    """
    if in_force:
        _show_in_force(entry, output)
        return
    result = call_entry_json(entry=entry, method="GET", path=_url(path))
    if isinstance(result, Failure):
        fail(result.failure(), output)
    shown = result.unwrap()
    if output is OutputFormat.JSON:
        print_value(shown, output)
        return
    typer.echo(f"# path {path or '(root)'}, revision {shown['revision']}")
    for blocked in shown["blocked_paths"]:
        typer.echo(f"# a newer version's change of {blocked} is not in force here")
    _print_yaml(shown["subtree"])


@settings_app.command()
def apply(
    entry: EntryOption,
    author: Annotated[str, typer.Option(envvar="GALENASTALL_AUTHOR", help="Author of the change.")],
    path: PathArgument = "",
    *,
    file: Annotated[Path | None, typer.Option(help="YAML with the new subtree.")] = None,
    value: Annotated[str | None, typer.Option(help="The new subtree as YAML text.")] = None,
    remove: Annotated[bool, typer.Option("--remove", help="Reset to the defaults.")] = False,
    base: Annotated[
        int | None,
        typer.Option(
            help="Revision that the change is based on, as printed by `show`; optional for a path "
            "that was never set."
        ),
    ] = None,
    change_id: Annotated[
        str | None, typer.Option(help="Id of the change; repeat a change only under its id.")
    ] = None,
    output: OutputOption = OutputFormat.TEXT,
) -> None:
    """Replace a subtree; returns once the change has been read back from the log.

    The change is stale if the path changed since --base: show it again and use its new revision.
    Exit codes: 0 accepted and in force, 2 invalid, 3 stale or not allowed, 4 nothing was submitted,
    5 unknown: run `settings status CHANGE_ID`, or repeat with the same --change-id and --base.
    """
    subtree = _read_subtree(file=file, value=value, remove=remove)
    if base is None:
        shown = call_entry_json(entry=entry, method="GET", path=_url(path))
        if isinstance(shown, Failure):
            fail(shown.failure(), output)
        base = int(shown.unwrap()["revision"])
        if base != NO_REVISION:
            fail_usage(
                f"{path or 'the root'} was last set at {base}: review it, then pass --base {base}"
            )
    change_id = change_id or str(uuid.uuid4())
    typer.echo(f"change id {change_id}, base {base}", err=True)
    body = msgspec.json.encode(
        {"change_id": change_id, "base_revision": base, "author": author, "subtree": subtree}
    )
    answered = call_entry(
        entry=entry,
        method="PUT",
        path=_url(path),
        body=body,
        headers={"content-type": "application/json"},
    )
    if isinstance(answered, Failure):
        fail(answered.failure(), output)
    answer = answered.unwrap()
    verdict = _verdict_of(answer)
    if verdict is None:
        fail(error_from_response(answer, step="cli.settings_apply", peer=entry), output)
    print_value(verdict, output)
    raise typer.Exit(_CODES_BY_VERDICT[verdict.kind])


@settings_app.command()
def status(
    change_id: Annotated[str, typer.Argument(help="Id of the change.")],
    entry: EntryOption,
    output: OutputOption = OutputFormat.TEXT,
) -> None:
    """Show the outcome of a change.

    Exit codes: 0 known, 4 no entry host answered, 6 not in the log or no longer kept.
    """
    url = f"/v1/settings/changes/{quote(change_id, safe='')}"
    result = call_entry_json(entry=entry, method="GET", path=url)
    if isinstance(result, Failure):
        fail(result.failure(), output)
    print_value(result.unwrap(), output)


@settings_app.command()
def history(entry: EntryOption, output: OutputOption = OutputFormat.TEXT) -> None:
    """List the latest changes with their verdicts, oldest first.

    Exit codes: 0 shown, 4 no entry host answered.
    """
    result = call_entry_json(entry=entry, method="GET", path="/v1/settings/history")
    if isinstance(result, Failure):
        fail(result.failure(), output)
    if output is OutputFormat.JSON:
        print_value(result.unwrap(), output)
        return
    for found in result.unwrap()["verdicts"]:
        detail = f": {found['detail']}" if found["detail"] else ""
        where = found["path"] or "(root)"
        line = f"{found['offset']} {found['kind']} {where} by {found['author']}"
        typer.echo(f"{line} [{found['change_id']}]{detail}")


@settings_app.command()
def validate(
    file: Annotated[Path, typer.Argument(help="A shared tree, or the settings of a process.")],
    output: OutputOption = OutputFormat.TEXT,
) -> None:
    """Check a file offline and print all problems in it.

    Exit codes: 0 valid, 2 not valid.
    """
    loaded = load_yaml(file)
    if isinstance(loaded, Failure):
        _fail_problems(loaded.failure(), output)
    tree = loaded.unwrap()
    is_process = isinstance(tree, dict) and PROCESS_KEY in tree
    checked = check_tree(ProcessSettings if is_process else SharedSettings, tree, source=str(file))
    if isinstance(checked, Failure):
        _fail_problems(checked.failure(), output)
    kind = "settings of a process" if is_process else "shared tree"
    print_value({"file": str(file), "kind": kind, "valid": True}, output)


def _show_in_force(entry: str, output: OutputFormat) -> None:
    answered = call_entry(entry=entry, method="GET", path="/v1/settings/in-force")
    if isinstance(answered, Failure):
        fail(answered.failure(), output)
    answer = answered.unwrap()
    if answer.status != _OK:
        fail(error_from_response(answer, step="cli.settings_show", peer=entry), output)
    tree = msgspec.json.decode(answer.body)
    if output is OutputFormat.JSON:
        print_value(tree, output)
        return
    without_effect = answer.headers.get(NO_EFFECT_HEADER, "")
    if without_effect:
        typer.echo(f"# stored, but not acted on by this version: {without_effect}")
    _print_yaml(tree)


def _print_yaml(tree: Any) -> None:
    typer.echo(yaml.safe_dump(tree, sort_keys=False, allow_unicode=True).rstrip())


def _url(path: str) -> str:
    return f"/v1/settings/tree/{quote(path)}" if path else "/v1/settings"


def _read_subtree(*, file: Path | None, value: str | None, remove: bool) -> Any:
    if (file is not None) + (value is not None) + remove != 1:
        fail_usage("give exactly one of --file, --value and --remove")
    if remove:
        return None
    loaded = load_yaml(file) if file is not None else parse_yaml(value or "", source="--value")
    if isinstance(loaded, Failure):
        fail_usage(str(loaded.failure()))
    subtree = loaded.unwrap()
    if subtree is None:
        fail_usage("the new subtree is empty: use --remove to reset to the defaults")
    return subtree


def _verdict_of(answer: BufferedResponse) -> Verdict | None:
    try:
        return msgspec.json.decode(answer.body, type=Verdict)
    except msgspec.MsgspecError:
        return None


def _fail_problems(problems: SettingsProblems, output: OutputFormat) -> NoReturn:
    is_json = output is OutputFormat.JSON
    text = msgspec.json.encode(problems).decode() if is_json else str(problems)
    typer.echo(text, err=not is_json)
    raise typer.Exit(ExitCode.USAGE)
