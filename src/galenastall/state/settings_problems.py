"""Convert pydantic's validation errors of a settings tree to messages for operators.

All problems of a tree are reported at once, each with its path, its value and what is allowed, so
that a file can be corrected in one pass.
"""

import difflib
from collections.abc import Sequence
from dataclasses import dataclass
from types import UnionType
from typing import Any, Final, TypeVar, Union, get_args, get_origin

import msgspec
from pydantic import BaseModel, ConfigDict, ValidationError
from returns.result import Failure, Result, Success

M = TypeVar("M", bound="SettingsModel")

MAX_VALUE_CHARS: Final = 80
"""Longer values are truncated in messages."""
HIDDEN_VALUE: Final = "(hidden)"
_SECRET_WORD: Final = "secret"
_UNKNOWN_KEY: Final = "extra_forbidden"
_MISSING_KEY: Final = "missing"


class SettingsModel(BaseModel):
    """Base of all settings models: frozen; an unknown key is an error."""

    model_config = ConfigDict(extra="forbid", frozen=True)


@dataclass(frozen=True, kw_only=True, slots=True)
class SettingsProblem:
    """One problem in a settings tree."""

    path: str
    """Dotted path from the root of the file or tree."""
    value: str
    """The value found, truncated; hidden for secrets, empty for a missing key."""
    allowed: str
    """What would be accepted at the path."""

    def __str__(self) -> str:
        found = f" {self.value}:" if self.value else ""
        return f"{self.path or '(root)'}:{found} {self.allowed}"


@dataclass(frozen=True, kw_only=True, slots=True)
class SettingsProblems:
    """All problems of one file or tree."""

    source: str
    """The file or other origin of the tree."""
    problems: tuple[SettingsProblem, ...]

    def __str__(self) -> str:
        return "\n".join(f"{self.source}: {problem}" for problem in self.problems)


def check_tree(model: type[M], tree: object, *, source: str) -> Result[M, SettingsProblems]:
    """Return the typed settings, or all problems of the tree.

    Types are strict: a number in quotes is a string and is rejected where a number is expected.
    """
    if not isinstance(tree, dict):
        problem = SettingsProblem(
            path="", value=_show(tree), allowed="the file must hold a mapping of settings"
        )
        return Failure(SettingsProblems(source=source, problems=(problem,)))
    try:
        return Success(model.model_validate_json(msgspec.json.encode(tree), strict=True))
    except ValidationError as error:
        problems = tuple(_problem_of(model, found) for found in error.errors(include_url=False))
        return Failure(SettingsProblems(source=source, problems=problems))
    except (TypeError, OverflowError, RecursionError, msgspec.MsgspecError) as error:
        problem = SettingsProblem(path="", value="", allowed=f"only plain YAML values: {error}")
        return Failure(SettingsProblems(source=source, problems=(problem,)))


def _problem_of(model: type[BaseModel], found: Any) -> SettingsProblem:
    loc: tuple[int | str, ...] = found["loc"]
    path = ".".join(str(step) for step in loc if step != "[key]")
    if found["type"] == _UNKNOWN_KEY:
        allowed = _allowed_keys(_model_at(model, loc[:-1]), str(loc[-1]))
        return SettingsProblem(path=path, value="unknown key", allowed=allowed)
    if found["type"] == _MISSING_KEY:
        return SettingsProblem(path=path, value="", allowed="required, but missing")
    value = HIDDEN_VALUE if _SECRET_WORD in path else _show(found["input"])
    message: str = found["msg"].removeprefix("Value error, ")
    return SettingsProblem(path=path, value=value, allowed=message)


def _allowed_keys(owner: type[BaseModel] | None, key: str) -> str:
    if owner is None:
        return "no keys are allowed here"
    names = sorted(owner.model_fields)
    nearest = difflib.get_close_matches(key, names, n=1)
    hint = f"did you mean {nearest[0]!r}? " if nearest else ""
    return f"{hint}allowed keys: {', '.join(names)}"


def _model_at(model: type[BaseModel], loc: Sequence[int | str]) -> type[BaseModel] | None:
    """Return the model at `loc`, None if the value there is not a model."""
    kind: Any = model
    for step in loc:
        kind = _without_none(kind)
        if isinstance(kind, type) and issubclass(kind, BaseModel):
            field = kind.model_fields.get(str(step))
            kind = field.annotation if field is not None else None
        elif get_args(kind):
            kind = get_args(kind)[-1 if get_origin(kind) is dict else 0]
        else:
            return None
    kind = _without_none(kind)
    return kind if isinstance(kind, type) and issubclass(kind, BaseModel) else None


def _without_none(kind: Any) -> Any:
    if get_origin(kind) in {Union, UnionType}:
        return next(arg for arg in get_args(kind) if arg is not type(None))
    return kind


def _show(value: object) -> str:
    text = repr(value)
    return text if len(text) <= MAX_VALUE_CHARS else f"{text[:MAX_VALUE_CHARS]}..."
