"""Options that say where the control VMs are, and the client they give."""

import datetime
import pathlib
import urllib.parse

from buckthorntack.cli import _errors

_MAX_PATIENCE_SECONDS = 86400


def add_server_options(parser):
    """Add the options that say where the control VMs are.

    :param parser: parser of a subcommand.
    """
    parser.add_argument(
        "--server",
        action="append",
        metavar="URL",
        help="administration address of a control VM; may be repeated "
        "(default: BUCKTHORNTACK_SERVERS, separated by commas)",
    )
    parser.add_argument(
        "--token-file",
        metavar="FILE",
        help="file of mode 600 with the operator's token "
        "(default: BUCKTHORNTACK_TOKEN_FILE)",
    )
    parser.add_argument(
        "--ca-file", metavar="FILE", help="certificates to trust"
    )
    parser.add_argument(
        "--patience-s",
        type=_seconds,
        default=30.0,
        metavar="SECONDS",
        help="how long to go on trying (default: %(default)s)",
    )


def _seconds(text):
    value = float(text)
    if not 0 <= value <= _MAX_PATIENCE_SECONDS:
        raise ValueError(text)
    return value


def make_client(context, arguments):
    """Client as the options say.

    :param context: environment, clock and transport.
    :param arguments: arguments with the options of
        :func:`add_server_options`.
    :returns: an :class:`AdminClient`, to be entered.
    :raises UsageError: an option is missing or its file is unusable.
    """
    from buckthorntack import settings
    from buckthorntack.cli import _client

    listed = context.environment.get("BUCKTHORNTACK_SERVERS", "")
    named = [part.strip() for part in listed.split(",") if part.strip()]
    servers = arguments.server or named
    if not servers:
        raise _errors.UsageError("no control VM is named with --server")
    for server in servers:
        _require_url(server)
    token_file = arguments.token_file or context.environment.get(
        "BUCKTHORNTACK_TOKEN_FILE"
    )
    if not token_file:
        raise _errors.UsageError("no token is named with --token-file")
    token = settings.read_secret(token_file)
    if token.is_error():
        raise _errors.UsageError(str(token.error))
    text = token.ok.reveal().strip()
    if not (text.isascii() and text.isprintable() and text):
        raise _errors.UsageError(f"{token_file} does not hold a token")
    return _client.AdminClient(
        servers,
        text,
        context.clock,
        datetime.timedelta(seconds=arguments.patience_s),
        _verify(arguments.ca_file),
        context.transport,
    )


def _require_url(server):
    try:
        url = urllib.parse.urlsplit(server)
        is_url = url.scheme in ("http", "https") and bool(url.hostname)
    except ValueError:
        is_url = False
    if not is_url:
        detail = f"--server {server}: it is no URL like https://10.0.0.1:7443"
        raise _errors.UsageError(detail)


def _verify(ca_file):
    if ca_file is None:
        return True
    import ssl

    if not pathlib.Path(ca_file).is_file():
        raise _errors.UsageError(f"--ca-file {ca_file}: there is no such file")
    try:
        return ssl.create_default_context(cafile=ca_file)
    except ssl.SSLError as error:
        detail = f"--ca-file {ca_file}: {error}"
        raise _errors.UsageError(detail) from error


def unwrap(result):
    """Value of a result.

    :param result: what a call gave.
    :returns: its value.
    :raises CommandError: the call failed.
    """
    if result.is_error():
        raise result.error
    return result.ok
