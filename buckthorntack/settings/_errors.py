"""Errors of settings and secrets."""

from typing import NamedTuple

from buckthorntack import errors


class SettingsFinding(NamedTuple):
    """A fault of a settings file."""

    path: str
    message: str
    remedy: str

    def __str__(self):
        return f"{self.path}: {self.message}; remedy: {self.remedy}"


class SettingsError(errors.GatewayError):
    """Settings cannot be used.

    :param source: file that holds them.
    :param findings: all faults, as :class:`SettingsFinding`.
    """

    number = 100
    kind = "settings_faulty"
    remedy = "mend the settings and start again"

    def __init__(self, source, findings):
        lines = "\n".join(f"{source}: {finding}" for finding in findings)
        super().__init__(lines)
        self.source = source
        self.findings = tuple(findings)

    def __str__(self):
        return self.detail


class SecretFileError(errors.GatewayError):
    """A file of secrets cannot be used; names the file, never its content."""

    number = 101
    kind = "secret_file_unusable"
    remedy = (
        "make it a regular file of mode 600 owned by the user that runs the "
        "process; 'buckthorntack keys' writes such files"
    )
