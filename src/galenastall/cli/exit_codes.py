"""Exit codes of all commands; scripts may rely on them."""

from enum import IntEnum

from galenastall.state.errors import Reason


class ExitCode(IntEnum):
    """What a command's exit code says."""

    OK = 0
    FAILED = 1
    """It ran and the answer is bad: a failed request, a job that failed."""
    USAGE = 2
    """Bad input: nothing was done."""
    REFUSED = 3
    """Refused or in conflict: nothing was done."""
    UNREACHABLE = 4
    """No entry host answered, or it can't do it now: nothing was done."""
    UNKNOWN = 5
    """It may have taken effect; ask again by id."""
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
    """Return the exit code that stands for a reason."""
    return _CODES_BY_REASON[reason]
