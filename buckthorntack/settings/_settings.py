"""Reading and validation of a settings file."""

import pathlib

import expression

from buckthorntack import schema
from buckthorntack.schema import documents
from buckthorntack.settings import _consistency
from buckthorntack.settings import _defaults
from buckthorntack.settings import _errors

_PATH_FIELDS = ("data_folder", "file")
_PATH_FIELD_SUFFIX = "_file"


def check_settings(document) -> list[_errors.SettingsFinding]:
    """Validate settings and report all findings together.

    :param document: the parsed JSON, with or without defaults.
    :returns: list of :class:`SettingsFinding`, empty if they are valid.
    """
    violations = schema.validate_document("settings", "Settings", document)
    if not violations:
        settings = _defaults.with_defaults(document)
        return _consistency.find_inconsistencies(settings)
    return [
        _errors.SettingsFinding(
            violation.path,
            violation.message,
            schema.describe_field("settings", "Settings", violation.path),
        )
        for violation in violations
    ]


def from_document(
    document, source="settings"
) -> expression.Result[documents.Settings, _errors.SettingsError]:
    """Build settings from parsed JSON.

    :param document: the parsed JSON.
    :param source: name of the source, for error messages.
    :returns: the settings with defaults, or an error with all findings.
    """
    findings = check_settings(document)
    if findings:
        return expression.Error(_errors.SettingsError(source, findings))
    return expression.Ok(_defaults.with_defaults(document))


def load(path) -> expression.Result[documents.Settings, _errors.SettingsError]:
    """Read settings from a file of JSON with comments.

    :param path: the file.
    :returns: the settings with defaults, or an error with all findings;
        relative paths are resolved against the file's folder.
    """
    file = pathlib.Path(path)
    try:
        document = schema.parse_json(file.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        remedy = "give the path of a readable UTF-8 file of JSON with comments"
        finding = _errors.SettingsFinding("$", str(error), remedy)
        return expression.Error(_errors.SettingsError(str(file), [finding]))
    loaded = from_document(document, str(file))
    return loaded.map(lambda found: _resolve_paths(found, file.parent))


def _resolve_paths(settings, folder):
    resolved = {}
    for field, value in settings.items():
        if isinstance(value, dict):
            value = _resolve_paths(value, folder)
        elif field in _PATH_FIELDS or field.endswith(_PATH_FIELD_SUFFIX):
            value = str((folder / value).absolute())
        resolved[field] = value
    return resolved
