"""Options of the whole command line that say how to talk TLS to an entry host.

They stand before the command, as they hold for all of them: `galenastall --ca-file ca.pem status`.
"""

from contextvars import ContextVar
from pathlib import Path
from typing import Annotated

import typer

from galenastall.cli.output import fail_usage
from galenastall.protocol.security import ClientTls

_chosen: ContextVar[ClientTls | None] = ContextVar("galenastall_cli_tls", default=None)


Tls = Annotated[
    bool,
    typer.Option(
        "--tls",
        envvar="GALENASTALL_TLS",
        help="Talk TLS and trust the system's authorities; implied by the other options.",
    ),
]
CaFile = Annotated[
    Path | None,
    typer.Option(
        envvar="GALENASTALL_CA_FILE",
        help="PEM of the authority that entry hosts' certificates must come from.",
    ),
]
CertFile = Annotated[
    Path | None,
    typer.Option(
        envvar="GALENASTALL_CERT_FILE",
        help="PEM of the certificate to show, where entry hosts ask for one.",
    ),
]
KeyFile = Annotated[
    Path | None,
    typer.Option(envvar="GALENASTALL_KEY_FILE", help="PEM of that certificate's private key."),
]


def tls_options(
    context: typer.Context,
    *,
    tls: Tls = False,
    ca_file: CaFile = None,
    cert_file: CertFile = None,
    key_file: KeyFile = None,
) -> None:
    """Keep the options for the command's calls."""
    if not (tls or ca_file or cert_file or key_file):
        return
    chosen = ClientTls(ca_file=_text(ca_file), cert_file=_text(cert_file), key_file=_text(key_file))
    try:
        chosen.check()
    except (OSError, ValueError) as error:
        fail_usage(str(error))
    _chosen.set(chosen)
    context.call_on_close(lambda: _chosen.set(None))


def current_tls() -> ClientTls | None:
    """Return what the options of the running command say; None for plain HTTP."""
    return _chosen.get()


def _text(path: Path | None) -> str | None:
    return None if path is None else str(path)
