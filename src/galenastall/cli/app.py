"""The command-line application that holds all commands."""

import typer

from galenastall.cli.bench_commands import bench_app
from galenastall.cli.daemon_commands import node, standin
from galenastall.cli.exit_codes import EXIT_CODE_HELP
from galenastall.cli.ops_commands import drain, explain, timeline
from galenastall.cli.settings_commands import settings_app
from galenastall.cli.tls_options import tls_options
from galenastall.cli.work_commands import cancel, status, submit_app

app = typer.Typer(
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
    help=f"A cluster scheduler that can account for every piece of work. {EXIT_CODE_HELP}",
)
app.callback()(tls_options)
app.command()(node)
app.command()(standin)
app.add_typer(submit_app, name="submit")
app.command()(cancel)
app.command()(status)
app.command()(timeline)
app.command()(explain)
app.command()(drain)
app.add_typer(settings_app, name="settings")
app.add_typer(bench_app, name="bench")
