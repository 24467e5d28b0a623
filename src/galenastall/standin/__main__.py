"""Run a stand-in process: `python -m galenastall.standin SETTINGS`.

It prints its addresses as one line of JSON once every service is reachable.
"""

import sys
from pathlib import Path

import msgspec
from returns.result import Failure

from galenastall.standin.process import run_standin
from galenastall.standin.server import StandinAddresses
from galenastall.standin.settings import load_standin_settings

USAGE_ERROR = 2


def print_addresses(addresses: StandinAddresses) -> None:
    """Write the addresses as one line of JSON, which tells the parent process that all is ready."""
    sys.stdout.write(msgspec.json.encode(addresses).decode() + "\n")
    sys.stdout.flush()


def main(arguments: list[str]) -> int:
    """Serve until a stop signal; return the exit status."""
    if len(arguments) != 1:
        sys.stderr.write("usage: python -m galenastall.standin SETTINGS\n")
        return USAGE_ERROR
    settings = load_standin_settings(Path(arguments[0]))
    if isinstance(settings, Failure):
        sys.stderr.write(f"{settings.failure()}\n")
        return USAGE_ERROR
    run_standin(settings=settings.unwrap(), on_ready=print_addresses)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
