"""Global options for TLS connections to an entry host.

They precede the command, as they apply to every one: `galenastall --ca-file ca.pem status`.
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
        help="Use TLS and trust the system's authorities; implied by the other options.",
    ),
]
CaFile = Annotated[
    Path | None,
    typer.Option(
        envvar="GALENASTALL_CA_FILE",
        help="PEM of the authority that must have issued entry hosts' certificates.",
    ),
]
CertFile = Annotated[
    Path | None,
    typer.Option(
        envvar="GALENASTALL_CERT_FILE",
        help="PEM of the client certificate, where entry hosts require one.",
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
    """Store the TLS options for the calls of the command."""
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
    """Return the TLS options of the running command; None for plain HTTP."""
    return _chosen.get()


def _text(path: Path | None) -> str | None:
    return None if path is None else str(path)
