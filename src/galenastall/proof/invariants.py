"""Loads all invariants, so that the registry is complete for importers of this module."""

from galenastall.proof import request_invariants, settings_invariants, work_invariants
from galenastall.proof.checker import INVARIANTS, Bounds, Verdict, Violation, check

MODULES = (request_invariants, settings_invariants, work_invariants)
"""Modules that define the invariants, by subject."""

__all__ = ["INVARIANTS", "MODULES", "Bounds", "Verdict", "Violation", "check"]
