"""Exit codes of all commands, a stable interface for scripts."""

from enum import IntEnum

from galenastall.state.errors import Reason


class ExitCode(IntEnum):
    """Meanings of the exit codes."""

    OK = 0
    FAILED = 1
    """It ran and failed: a failed request or job."""
    USAGE = 2
    """Bad input; nothing was done."""
    REFUSED = 3
    """Refused or in conflict; nothing was done."""
    UNREACHABLE = 4
    """The entry host didn't answer or is temporarily unable to serve the call; nothing was done."""
    UNKNOWN = 5
    """The call may have taken effect; query it again by id."""
    NOT_FOUND = 6


EXIT_CODE_HELP = (
    "Exit codes: 0 done, 1 failed, 2 bad input, 3 refused, 4 unreachable, "
    "5 may have taken effect, 6 not found."
)

_CODES_BY_REASON = {
    Reason.REFUSED: ExitCode.REFUSED,
    Reason.CONFLICT: ExitCode.REFUSED,
    Reason.OVERLOADED: ExitCode.REFUSED,
    Reason.NOT_OWNER: ExitCode.REFUSED,
    Reason.UNREACHABLE: ExitCode.UNREACHABLE,
    Reason.UNAVAILABLE: ExitCode.UNREACHABLE,
    Reason.TIMEOUT: ExitCode.UNKNOWN,
    Reason.CUT: ExitCode.UNKNOWN,
    Reason.INVALID: ExitCode.USAGE,
    Reason.TRIMMED: ExitCode.NOT_FOUND,
    Reason.NOT_FOUND: ExitCode.NOT_FOUND,
}


def exit_code_of(reason: Reason) -> ExitCode:
    """Return the exit code for the reason of an error."""
    return _CODES_BY_REASON[reason]
