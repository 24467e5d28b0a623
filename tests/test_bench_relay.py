import trio

from galenastall.bench.relay import Relay


async def echo(stream: trio.SocketStream) -> None:
    async for data in stream:
        await stream.send_all(data)


async def connect(relay: Relay) -> trio.SocketStream:
    host, _, port = relay.address.rpartition(":")
    return await trio.open_tcp_stream(host, int(port))


class TestRelay:
    async def test_counts_cuts_and_mends(self) -> None:
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(trio.serve_tcp, echo, 0)
            port = listeners[0].socket.getsockname()[1]
            relay = Relay(target=f"127.0.0.1:{port}", one_way_delay_s=0.001)
            await nursery.start(relay.run)

            stream = await connect(relay)
            await stream.send_all(b"hello")
            assert await stream.receive_some(100) == b"hello"
            assert (relay.counts.to_server_bytes, relay.counts.to_client_bytes) == (5, 5)

            relay.cut()
            with trio.fail_after(30):
                assert not await received(stream)
                refused = await connect(relay)
                assert not await received(refused)

            relay.mend()
            again = await connect(relay)
            await again.send_all(b"again")
            assert await again.receive_some(100) == b"again"
            assert relay.counts.connections == 2
            nursery.cancel_scope.cancel()

    async def test_a_dead_target_closes_the_connection(self) -> None:
        async with trio.open_nursery() as nursery:
            relay = Relay(target="127.0.0.1:9")
            await nursery.start(relay.run)
            with trio.fail_after(30):
                assert not await received(await connect(relay))
            nursery.cancel_scope.cancel()


async def received(stream: trio.SocketStream) -> bytes:
    """Return what comes next; nothing if the connection is at its end, cleanly or not."""
    try:
        return bytes(await stream.receive_some(100))
    except trio.BrokenResourceError:
        return b""
