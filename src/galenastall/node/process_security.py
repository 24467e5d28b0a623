"""Keys and certificates of an entry host, from the settings of its process."""

from galenastall.protocol.process_settings import ProcessSettings
from galenastall.protocol.security import CurveKeys, TlsFiles
from galenastall.state.ids import HostId
from galenastall.transport.zmq_sockets import check_curve_keys


def curve_keys(settings: ProcessSettings) -> CurveKeys | None:
    """Return the CURVE keys, None without encryption; raise ValueError for invalid keys."""
    if settings.curve is None:
        return None
    allowed = {HostId(name): key for name, key in settings.curve.allowed_by_host_id.items()}
    keys = CurveKeys(
        public_key=settings.curve.public_key,
        secret_key=settings.curve.secret_key,
        allowed_by_host_id=allowed,
    )
    check_curve_keys(keys)
    return keys


def tls_files(settings: ProcessSettings) -> TlsFiles | None:
    """Return the TLS files of the HTTP server; None if it runs without TLS."""
    if settings.tls is None:
        return None
    ca_file = settings.tls.ca_file
    return TlsFiles(
        cert_file=str(settings.tls.cert_file),
        key_file=str(settings.tls.key_file),
        ca_file=None if ca_file is None else str(ca_file),
    )
