"""Creates ZeroMQ sockets for peer links."""

from typing import Any, Final

import zmq
from zmq.utils import z85

from galenastall.protocol.addresses import check_reachable
from galenastall.protocol.security import CurveKeys
from galenastall.state.decoding import shorten
from galenastall.transport.polled_socket import Socket
from galenastall.transport.zap_server import ZAP_DOMAIN

MAX_MESSAGE_BYTES: Final = 4 * 1024 * 1024
"""Larger messages are rejected by the sender and close the connection at the receiver."""
QUEUE_MESSAGES: Final = 1000
"""Messages queued to and from a peer before sending blocks."""
_UNACKNOWLEDGED_MS: Final = 10_000
"""Milliseconds after which TCP closes a connection with unacknowledged data."""
_RECONNECT_MS: Final = 100
_RECONNECT_MAX_MS: Final = 400
"""Longest reconnect interval: a host that is back after a takeover of 1 s must be reachable."""
_HEARTBEAT_MS: Final = 500
"""Interval between pings, which detect a connection that went dead without a reset."""
_HEARTBEAT_TIMEOUT_MS: Final = 1_500
_KEEPALIVE_IDLE_S: Final = 30
_CLOSE_LINGER_MS: Final = 200

Context = zmq.Context[Socket]


def check_curve_keys(curve: CurveKeys) -> None:
    """Raise ValueError naming a key that is malformed or does not match its counterpart."""
    try:
        public_key = zmq.curve_public(curve.secret_key.encode())
    except (ValueError, zmq.ZMQError):
        raise ValueError("curve.secret_key: is not a CURVE key") from None
    if public_key != curve.public_key.encode():
        raise ValueError("curve.public_key: does not match curve.secret_key")
    for host, key in curve.allowed_by_host_id.items():
        try:
            z85.decode(key.encode())
        except (ValueError, KeyError):
            raise ValueError(f"curve.allowed_by_host_id.{host}: is not a CURVE key") from None


def make_router(*, context: Context, bind: str, curve: CurveKeys | None) -> Socket:
    """Return the bound socket that peers connect to; raises OSError if it can't bind."""
    socket = context.socket(zmq.ROUTER)
    _set_limits(socket)
    socket.setsockopt(zmq.ROUTER_MANDATORY, 1)
    if curve is not None:
        socket.setsockopt(zmq.CURVE_SERVER, 1)
        socket.setsockopt(zmq.CURVE_SECRETKEY, curve.secret_key.encode())
        socket.setsockopt(zmq.ZAP_DOMAIN, ZAP_DOMAIN)
    try:
        socket.bind(f"tcp://{bind}")
    except zmq.ZMQError as error:
        socket.close(linger=0)
        raise OSError(f"bind: can't listen on {bind!r}: {error}") from error
    return socket


def make_dealer(
    *, context: Context, address: str, curve: CurveKeys | None, server_key: str
) -> Socket:
    """Return a socket that connects to a peer and queues nothing until it is connected.

    Raises ValueError if others could not connect to the address either.
    """
    check_reachable(address)
    socket = context.socket(zmq.DEALER)
    _set_limits(socket)
    socket.setsockopt(zmq.IMMEDIATE, 1)
    socket.setsockopt(zmq.RECONNECT_IVL, _RECONNECT_MS)
    socket.setsockopt(zmq.RECONNECT_IVL_MAX, _RECONNECT_MAX_MS)
    if curve is not None:
        socket.setsockopt(zmq.CURVE_SERVERKEY, server_key.encode())
        socket.setsockopt(zmq.CURVE_PUBLICKEY, curve.public_key.encode())
        socket.setsockopt(zmq.CURVE_SECRETKEY, curve.secret_key.encode())
    try:
        socket.connect(f"tcp://{address}")
    except zmq.ZMQError as error:
        # A socket left open would block the termination of its context.
        socket.close(linger=0)
        raise ValueError(f"can't connect to {shorten(address)!r}: {error.strerror}") from error
    return socket


def bound_address(socket: Socket) -> str:
    """Return the `IP:port` that a socket is bound to."""
    endpoint: Any = socket.getsockopt(zmq.LAST_ENDPOINT)
    return str(endpoint.decode().rstrip("\0").removeprefix("tcp://"))


def _set_limits(socket: Socket) -> None:
    socket.setsockopt(zmq.LINGER, _CLOSE_LINGER_MS)
    socket.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
    socket.setsockopt(zmq.SNDHWM, QUEUE_MESSAGES)
    socket.setsockopt(zmq.RCVHWM, QUEUE_MESSAGES)
    socket.setsockopt(zmq.TCP_MAXRT, _UNACKNOWLEDGED_MS)
    socket.setsockopt(zmq.HEARTBEAT_IVL, _HEARTBEAT_MS)
    socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, _HEARTBEAT_TIMEOUT_MS)
    socket.setsockopt(zmq.TCP_KEEPALIVE, 1)
    socket.setsockopt(zmq.TCP_KEEPALIVE_IDLE, _KEEPALIVE_IDLE_S)
