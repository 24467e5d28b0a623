"""Certificates and keys of a process, from its settings."""

from dataclasses import dataclass, field
from pathlib import Path

from galenastall.state.ids import HostId


@dataclass(frozen=True, kw_only=True, slots=True)
class TlsFiles:
    """PEM files of an HTTP server."""

    cert_file: str
    """Certificate chain of this process."""
    key_file: str
    """Its private key."""
    ca_file: str | None = None
    """CA that must have signed others' certificates; None trusts the system's CAs."""

    def check(self) -> None:
        """Raise FileNotFoundError with the field and path of a missing file."""
        _check_files(self)


@dataclass(frozen=True, kw_only=True, slots=True)
class ClientTls:
    """PEM files of a client, whose own certificate is optional."""

    ca_file: str | None = None
    """CA that must have signed servers' certificates; None trusts the system's CAs."""
    cert_file: str | None = None
    """Certificate chain to present; None for none."""
    key_file: str | None = None

    def check(self) -> None:
        """Raise FileNotFoundError for a missing file, ValueError for a certificate or key alone."""
        if (self.cert_file is None) != (self.key_file is None):
            raise ValueError("a client certificate needs both its cert file and its key file")
        _check_files(self)


@dataclass(frozen=True, kw_only=True, slots=True)
class CurveKeys:
    """CURVE keys of an entry host's peer link, all in Z85 text."""

    public_key: str
    secret_key: str = field(repr=False)
    allowed_by_host_id: dict[HostId, str] = field(default_factory=dict)
    """Public key of every entry host that may connect, by the only host id it may claim."""


def _check_files(tls: TlsFiles | ClientTls) -> None:
    for name in ("cert_file", "key_file", "ca_file"):
        path = getattr(tls, name)
        if path is not None and not Path(path).is_file():
            raise FileNotFoundError(f"tls.{name}: file {path!r} not found")
