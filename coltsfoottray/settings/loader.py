"""Loads settings files and reports each error with its line."""

from __future__ import annotations

import difflib
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

import yaml
from pydantic import BaseModel, ValidationError
from pydantic_core import ErrorDetails
from returns.result import Failure, Result, Success

from coltsfoottray.settings.models import (
    Deployment,
    EntrySettings,
    JobAttendantSettings,
    JobEntrySettings,
    UpstreamSettings,
    WorkerSettings,
)

__all__ = ["SettingsError", "load_deployment", "load_settings"]

Model = TypeVar("Model", bound=BaseModel)
AnySettings = (
    EntrySettings
    | UpstreamSettings
    | WorkerSettings
    | JobEntrySettings
    | JobAttendantSettings
)

_MODEL_BY_ROLE: dict[str, type[AnySettings]] = {
    "entry": EntrySettings,
    "upstream": UpstreamSettings,
    "worker": WorkerSettings,
    "job-entry": JobEntrySettings,
    "job-attendant": JobAttendantSettings,
}


@dataclass(frozen=True, kw_only=True)
class SettingsError:
    """An error in a settings file, with its line."""

    file: str
    line: int
    message: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.message}"


def load_settings(path: Path) -> Result[AnySettings, list[SettingsError]]:
    """Return the daemon settings in `path`, or every error in the file."""
    parsed = _parse(path)
    if isinstance(parsed, Failure):
        return Failure(parsed.failure())
    document, root = parsed.unwrap()
    role = document.get("role")
    model = _MODEL_BY_ROLE.get(str(role))
    if model is None:
        message = f"role: got {role!r}, expected one of {sorted(_MODEL_BY_ROLE)}"
        line = _line_of(root, ("role",))
        return Failure([SettingsError(file=str(path), line=line, message=message)])
    return _validate(path, model, document, root)


def load_deployment(path: Path) -> Result[Deployment, list[SettingsError]]:
    """Return the deployment in `path`, or every error in the file."""
    parsed = _parse(path)
    if isinstance(parsed, Failure):
        return Failure(parsed.failure())
    document, root = parsed.unwrap()
    return _validate(path, Deployment, document, root)


@dataclass(frozen=True)
class _Parsed:
    document: dict[str, Any]
    root: yaml.Node

    def __iter__(self) -> Any:
        return iter((self.document, self.root))


def _parse(path: Path) -> Result[_Parsed, list[SettingsError]]:
    try:
        text = path.read_text()
        root = yaml.compose(text, Loader=yaml.SafeLoader)
        document = yaml.safe_load(text)
    except OSError as error:
        return Failure([SettingsError(file=str(path), line=0, message=str(error))])
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark
        line = 0 if mark is None else mark.line + 1
        message = str(error.problem)
        return Failure([SettingsError(file=str(path), line=line, message=message)])
    if not isinstance(document, dict) or root is None:
        message = f"got {type(document).__name__}, expected a mapping of keys to values"
        return Failure([SettingsError(file=str(path), line=1, message=message)])
    return Success(_Parsed(document, root))


def _validate(
    path: Path, model: type[Model], document: dict[str, Any], root: yaml.Node
) -> Result[Model, list[SettingsError]]:
    try:
        return Success(model.model_validate(document))
    except ValidationError as error:
        return Failure(
            [_as_settings_error(path, model, root, each) for each in error.errors()]
        )


def _as_settings_error(
    path: Path, model: type[BaseModel], root: yaml.Node, error: ErrorDetails
) -> SettingsError:
    location = error["loc"]
    field = ".".join(str(part) for part in location)
    message = f"{field}: {error['msg']}"
    if error["type"] == "extra_forbidden":
        message = f"{field}: unknown key"
        nearest = difflib.get_close_matches(
            str(location[-1]), _known_keys(model, location[:-1]), n=1
        )
        if nearest:
            message += f"; did you mean {nearest[0]!r}?"
    elif error["type"] != "missing":
        message += f" (got {error['input']!r})"
    return SettingsError(file=str(path), line=_line_of(root, location), message=message)


def _known_keys(model: type[BaseModel], location: tuple[int | str, ...]) -> list[str]:
    current: Any = model
    for part in location:
        field = current.model_fields.get(str(part)) if _is_model(current) else None
        current = None if field is None else field.annotation
    return list(current.model_fields) if _is_model(current) else []


def _is_model(value: Any) -> bool:
    return isinstance(value, type) and issubclass(value, BaseModel)


def _line_of(root: yaml.Node, location: tuple[int | str, ...]) -> int:
    """Return the line of the deepest part of `location` that the file contains."""
    node = root
    line = root.start_mark.line
    for part in location:
        if not isinstance(node, yaml.MappingNode):
            break
        for key, value in node.value:
            if key.value == str(part):
                node, line = value, key.start_mark.line
                break
        else:
            break
    return line + 1
