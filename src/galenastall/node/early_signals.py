"""Holds signals that arrive while the program is still being imported.

Imports take half a second, in which a signal without a handler ends the process. Held signals are
delivered once `release_signals` is called, after their handlers are in place. This module imports
nothing else of the program.
"""

import signal
from typing import Final

HANDLED: Final = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
"""Signals that an entry host acts on."""


def hold_signals() -> None:
    """Hold the signals that arrive from now on."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED)


def release_signals() -> None:
    """Deliver the held signals; call in the main thread once their handlers are in place."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED)
