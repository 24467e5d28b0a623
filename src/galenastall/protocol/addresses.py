"""Addresses in settings: IP address and port, never a host name.

With host names, the start of a process would depend on a resolver that may be unreachable.
"""

import ipaddress
from typing import Annotated, Final

from pydantic import AfterValidator

from galenastall.state.decoding import parse_whole, shorten

MAX_PORT: Final = 65535


def split_address(address: str) -> tuple[str, int]:
    """Return IP and port of `IP:port` (`[IP]:port` for IPv6); raises ValueError otherwise."""
    ip, separator, port_text = address.rpartition(":")
    port = parse_whole(port_text, most=MAX_PORT)
    if not separator or port is None:
        raise ValueError(f"must be IP:port with a port of 0 to {MAX_PORT}, for example 10.0.0.1:80")
    if ip.startswith("[") and ip.endswith("]"):
        return str(ipaddress.IPv6Address(ip[1:-1])), port
    try:
        return str(ipaddress.IPv4Address(ip)), port
    except ValueError:
        raise ValueError(
            f"must start with an IP address, not a host name: {shorten(ip)!r}"
        ) from None


def is_wildcard(address: str) -> bool:
    """Return whether the address covers all interfaces."""
    return ipaddress.ip_address(split_address(address)[0]).is_unspecified


def _check_bind(address: str) -> str:
    split_address(address)
    return address


def check_reachable(address: str) -> str:
    """Return the address if others can connect to it; raises ValueError otherwise."""
    _, port = split_address(address)
    if port == 0 or is_wildcard(address):
        raise ValueError("must be a single address that others can connect to, with a port above 0")
    return address


BindAddress = Annotated[str, AfterValidator(_check_bind)]
"""`IP:port` to listen on; with port 0 the operating system chooses one."""
ReachableAddress = Annotated[str, AfterValidator(check_reachable)]
"""`IP:port` that another process can connect to."""
