"""Settings files: plain YAML, in which a mapping may not contain a key twice.

PyYAML silently uses the last of two equal keys; here that is an error, since one of the two values
in the file would have no effect. Infinite numbers are rejected too, because settings are sent as
JSON, which has none.
"""

import math
from pathlib import Path
from typing import Any

import yaml
from returns.result import Failure, Result, Success

from galenastall.state.decoding import DECODE_ERRORS, shorten
from galenastall.state.settings_problems import SettingsProblem, SettingsProblems


class _UniqueKeyLoader(yaml.SafeLoader):
    """Safe loader that rejects duplicate keys."""


def _construct_mapping(loader: _UniqueKeyLoader, node: yaml.MappingNode) -> dict[Any, Any]:
    seen: set[Any] = set()
    for key_node, _ in node.value:
        key = loader.construct_object(key_node)
        if not isinstance(key, str):
            raise yaml.constructor.ConstructorError(
                None, None, f"key {key!r} must be a string", key_node.start_mark
            )
        if key in seen:
            raise yaml.constructor.ConstructorError(
                None, None, f"duplicate key {key!r}", key_node.start_mark
            )
        seen.add(key)
    return loader.construct_mapping(node, deep=True)


def _construct_float(loader: _UniqueKeyLoader, node: yaml.ScalarNode) -> float:
    value = float(loader.construct_yaml_float(node))
    if not math.isfinite(value):
        raise yaml.constructor.ConstructorError(
            None, None, f"number {node.value} is not finite", node.start_mark
        )
    return value


_UniqueKeyLoader.add_constructor("tag:yaml.org,2002:float", _construct_float)
_UniqueKeyLoader.add_constructor(yaml.resolver.BaseResolver.DEFAULT_MAPPING_TAG, _construct_mapping)


def parse_yaml(text: str, *, source: str) -> Result[Any, SettingsProblems]:
    """Return the plain values of a YAML text; a syntax error names line and column."""
    try:
        return Success(yaml.load(text, Loader=_UniqueKeyLoader))
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        where = f"line {mark.line + 1}, column {mark.column + 1}" if mark else ""
        return Failure(_one_problem(source, where, error.problem or "not valid YAML"))
    except yaml.YAMLError as error:
        return Failure(_one_problem(source, "", str(error)))
    except DECODE_ERRORS as error:
        # Values are converted while the text is read: long numbers, dates that do not exist.
        return Failure(_one_problem(source, "", f"not valid YAML: {shorten(str(error))}"))


def load_yaml(path: Path) -> Result[Any, SettingsProblems]:
    """Return the plain values of a YAML file, or why it can't be read."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Failure(_one_problem(str(path), "", f"can't be read: {error}"))
    return parse_yaml(text, source=str(path))


def _one_problem(source: str, where: str, message: str) -> SettingsProblems:
    problem = SettingsProblem(path=where, value="", allowed=message)
    return SettingsProblems(source=source, problems=(problem,))
