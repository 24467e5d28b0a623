"""Certificates and keys of a process, as its settings give them."""

from dataclasses import dataclass, field
from pathlib import Path

from galenastall.state.ids import HostId


@dataclass(frozen=True, kw_only=True, slots=True)
class TlsFiles:
    """PEM files of an HTTP side."""

    cert_file: str
    """Certificate chain of this process."""
    key_file: str
    """Its private key."""
    ca_file: str | None = None
    """Authority that others' certificates must come from; None trusts the system's."""

    def check(self) -> None:
        """Raise FileNotFoundError naming the field and the path of a file that is not there."""
        _check_files(self)


@dataclass(frozen=True, kw_only=True, slots=True)
class ClientTls:
    """PEM files of a client that may come without a certificate of its own."""

    ca_file: str | None = None
    """Authority that servers' certificates must come from; None trusts the system's."""
    cert_file: str | None = None
    """Certificate chain to show; None for none."""
    key_file: str | None = None

    def check(self) -> None:
        """Raise FileNotFoundError for a file that is not there, ValueError for half a pair."""
        if (self.cert_file is None) != (self.key_file is None):
            raise ValueError("a client certificate needs both its cert file and its key file")
        _check_files(self)


@dataclass(frozen=True, kw_only=True, slots=True)
class CurveKeys:
    """CURVE keys of an entry host's peer link, all in Z85 text."""

    public_key: str
    secret_key: str = field(repr=False)
    allowed_by_host_id: dict[HostId, str] = field(default_factory=dict)
    """Public key of every entry host that may connect; each may only claim its own host id."""


def _check_files(tls: TlsFiles | ClientTls) -> None:
    for name in ("cert_file", "key_file", "ca_file"):
        path = getattr(tls, name)
        if path is not None and not Path(path).is_file():
            raise FileNotFoundError(f"tls.{name}: no file {path!r}")
