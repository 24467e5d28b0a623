"""Addresses and settings files of entry hosts that run against the stand-in."""

import os
import socket
from dataclasses import dataclass
from typing import Final

from galenastall.platform.settings import METRICS_PORT
from galenastall.platform.standin.server import PlatformStandin

GRACE_S: Final = 6
NETWORKS_PER_BYTE: Final = 250
"""Values of each byte that distinguishes the networks of processes."""
PORTS_PER_HOST: Final = 3


@dataclass(frozen=True, kw_only=True, slots=True)
class StandinHost:
    """Addresses of one entry host; each host has its own loopback address."""

    name: str
    data_centre: str
    ip: str
    callers_port: int
    readiness_port: int
    peer_port: int
    memory_mb: int = 300
    file_descriptors: int = 4_100

    @property
    def callers_address(self) -> str:
        """Address that callers connect to."""
        return f"{self.ip}:{self.callers_port}"

    @property
    def readiness_address(self) -> str:
        """Address of the readiness probe."""
        return f"{self.ip}:{self.readiness_port}"

    @property
    def metrics_address(self) -> str:
        """Address of the metrics page."""
        return f"{self.ip}:{METRICS_PORT}"

    def settings_text(self, standin: PlatformStandin) -> str:
        """Return the text of the settings file, as the platform writes it."""
        return f"""
nodeName = "{self.name}"
ipAddress = "{self.ip}"
zone = "{self.data_centre}"
internalPortRange = [{self.peer_port}, {self.peer_port + 1}]
bootstrap = true
heartbeatMs = 1500
placementAdvisor = "{standin.advisor_address}"
[listenAddresses]
front = "{self.callers_address}"
readiness = "{self.readiness_address}"
[platform]
address = "{standin.store_address}"
form = "log"
[limits]
cpuShare = 1.0
cpuCores = 1
memoryMb = {self.memory_mb}
fileDescriptors = {self.file_descriptors}
[bounds]
graceS = {GRACE_S}
maxHoldMs = 10000
"""


def make_hosts(
    names_by_data_centre: dict[str, tuple[str, ...]],
    *,
    memory_mb: int = 300,
    file_descriptors: int = 4_100,
) -> list[StandinHost]:
    """Return hosts with free ports, each on its own loopback address."""
    hosts: list[StandinHost] = []
    for data_centre, names in names_by_data_centre.items():
        for name in names:
            ip = f"{_own_network()}.{len(hosts) + 1}"
            callers, readiness, peer = _free_ports(ip)
            hosts.append(
                StandinHost(
                    name=name,
                    data_centre=data_centre,
                    ip=ip,
                    callers_port=callers,
                    readiness_port=readiness,
                    peer_port=peer,
                    memory_mb=memory_mb,
                    file_descriptors=file_descriptors,
                )
            )
    return hosts


def _own_network() -> str:
    """Return the first three bytes of loopback addresses that only this process uses.

    All hosts serve metrics on the same port, so processes that start hosts concurrently need
    separate networks.
    """
    high, low = divmod(os.getpid() % NETWORKS_PER_BYTE**2, NETWORKS_PER_BYTE)
    return f"127.{high + 1}.{low + 1}"


def _free_ports(ip: str) -> tuple[int, int, int]:
    sockets = [socket.socket() for _ in range(PORTS_PER_HOST)]
    for each in sockets:
        each.bind((ip, 0))
    callers, readiness, peer = (int(each.getsockname()[1]) for each in sockets)
    for each in sockets:
        each.close()
    return callers, readiness, peer
