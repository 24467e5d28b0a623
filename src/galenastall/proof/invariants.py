"""Load every invariant, so that the registry is full for whoever imports the checker from here."""

from galenastall.proof import request_invariants, settings_invariants, work_invariants
from galenastall.proof.checker import INVARIANTS, Bounds, Verdict, Violation, check

MODULES = (request_invariants, settings_invariants, work_invariants)
"""Where the invariants are written, by matter."""

__all__ = ["INVARIANTS", "MODULES", "Bounds", "Verdict", "Violation", "check"]
