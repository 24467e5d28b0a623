"""Serve fixed answers over our HTTP server: `python -m galenastall.bench.echo_server PORT`.

The far side of the slopes that measure what a call costs its caller.
"""

import sys

import trio

from galenastall.transport.clock import TrioClock
from galenastall.transport.http_messages import HttpRequest, HttpResponse
from galenastall.transport.http_routes import route
from galenastall.transport.http_server import HttpServer


class EchoHandler:
    """Answers any body with two bytes of JSON."""

    @route("GET", "/readyz")
    async def ready(self, request: HttpRequest) -> HttpResponse:
        """Say that the server is up."""
        return HttpResponse(body=b"{}")

    @route("POST", "/echo")
    async def echo(self, request: HttpRequest) -> HttpResponse:
        """Read the whole body and answer."""
        async for _ in request.body():
            pass
        return HttpResponse(body=b"{}")


def main() -> None:
    """Serve until ended."""

    async def run() -> None:
        bind = f"127.0.0.1:{int(sys.argv[1])}"
        await HttpServer(handlers=[EchoHandler()], clock=TrioClock(), bind=bind).run()

    trio.run(run)


if __name__ == "__main__":
    main()
