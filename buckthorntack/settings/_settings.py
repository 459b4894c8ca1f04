"""Reading and checking a settings file."""

import pathlib

import expression

from buckthorntack import schema
from buckthorntack.schema import documents
from buckthorntack.settings import _consistency
from buckthorntack.settings import _defaults
from buckthorntack.settings import _errors

_PATH_FIELDS = ("data_folder", "file")
_PATH_ENDING = "_file"


def check_settings(document) -> list[_errors.SettingsFinding]:
    """Check settings; all faults are told at once.

    :param document: the parsed JSON, with or without defaults.
    :returns: list of :class:`SettingsFinding`, empty if there is no fault.
    """
    faults = schema.validate_document("settings", "Settings", document)
    if not faults:
        settings = _defaults.with_defaults(document)
        return _consistency.consistency_findings(settings)
    return [
        _errors.SettingsFinding(
            fault.path,
            fault.message,
            schema.describe_field("settings", "Settings", fault.path),
        )
        for fault in faults
    ]


def from_document(
    document, source="settings"
) -> expression.Result[documents.Settings, _errors.SettingsError]:
    """Settings from parsed JSON.

    :param document: the parsed JSON.
    :param source: where it came from, told in errors.
    :returns: the settings with defaults, or all their faults.
    """
    findings = check_settings(document)
    if findings:
        return expression.Error(_errors.SettingsError(source, findings))
    return expression.Ok(_defaults.with_defaults(document))


def load(path) -> expression.Result[documents.Settings, _errors.SettingsError]:
    """Read settings from a file of JSON with comments.

    :param path: the file.
    :returns: the settings, with defaults and with paths below the file's
        folder made absolute, or all their faults.
    """
    file = pathlib.Path(path)
    try:
        document = schema.parse_json(file.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        remedy = "name a readable file of JSON with comments in UTF-8"
        finding = _errors.SettingsFinding("$", str(error), remedy)
        return expression.Error(_errors.SettingsError(str(file), [finding]))
    loaded = from_document(document, str(file))
    return loaded.map(lambda found: _resolve_paths(found, file.parent))


def _resolve_paths(settings, folder):
    resolved = {}
    for field, value in settings.items():
        if isinstance(value, dict):
            value = _resolve_paths(value, folder)
        elif field in _PATH_FIELDS or field.endswith(_PATH_ENDING):
            value = str((folder / value).absolute())
        resolved[field] = value
    return resolved
