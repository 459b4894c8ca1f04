"""Errors of settings and secrets."""

from typing import NamedTuple

from buckthorntack import errors


class SettingsFinding(NamedTuple):
    """An invalid field of a settings file."""

    path: str
    message: str
    remedy: str

    def __str__(self):
        return f"{self.path}: {self.message}; remedy: {self.remedy}"


class SettingsError(errors.GatewayError):
    """The settings are invalid.

    :param source: the settings file.
    :param findings: all :class:`SettingsFinding` of the file.
    """

    number = 100
    kind = "settings_faulty"
    remedy = "correct the settings and restart"

    def __init__(self, source, findings):
        lines = "\n".join(f"{source}: {finding}" for finding in findings)
        super().__init__(lines)
        self.source = source
        self.findings = tuple(findings)

    def __str__(self):
        return self.detail


class SecretFileError(errors.GatewayError):
    """A secret file cannot be used; the error never contains its content."""

    number = 101
    kind = "secret_file_unusable"
    remedy = (
        "make it a regular file of mode 600 owned by the user that runs the "
        "process; 'buckthorntack keys' writes such files"
    )
