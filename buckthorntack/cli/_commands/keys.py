"""Make key files and tokens.

Files are written with mode 600.  A token is printed once and kept only as
its hash.
"""

import json
import pathlib

from buckthorntack.cli import _errors
from buckthorntack.cli import _exit_codes
from buckthorntack.cli import _output

NAME = "keys"
HELP = "make key files and tokens"


def add_arguments(parser):
    """Add the options.

    :param parser: parser of the subcommand.
    """
    kinds = parser.add_subparsers(dest="kind", metavar="kind", required=True)
    _add_link(kinds)
    _add_signing(kinds)
    _add_operator(kinds)
    _add_caller(kinds)


def _add_link(kinds):
    parser = kinds.add_parser("link", help="key pair of a node's links")
    parser.add_argument("file", help="link keys file of the settings")
    parser.add_argument(
        "--accept",
        action="append",
        default=[],
        metavar="PUBLIC_KEY",
        help="public key of a peer to let in; may be repeated",
    )
    parser.add_argument(
        "--drop",
        action="append",
        default=[],
        metavar="PUBLIC_KEY",
        help="public key to let in no longer; may be repeated",
    )
    _add_steps(parser, _LINK_STEPS)
    parser.set_defaults(make=_make_link)
    _output.add_output_option(parser)


def _add_steps(parser, steps):
    group = parser.add_mutually_exclusive_group()
    for step, what in steps.items():
        group.add_argument(
            f"--{step}",
            dest="step",
            action="store_const",
            const=step,
            help=what,
        )


_LINK_STEPS = {
    "add": "first step of a rotation: make the next pair",
    "promote": "second step, when all peers accept it: use it",
}
_SIGNING_STEPS = {
    "add": "first step of a rotation: accept a new key",
    "promote": "second step, when all nodes have it: sign with it",
    "retire": "last step, when old attempts have ended: drop old keys",
}


def _add_signing(kinds):
    parser = kinds.add_parser("signing", help="keys that sign attempt ids")
    parser.add_argument("file", help="token key file of the settings")
    _add_steps(parser, _SIGNING_STEPS)
    parser.set_defaults(make=_make_signing)
    _output.add_output_option(parser)


def _add_operator(kinds):
    parser = kinds.add_parser("operator", help="token of an operator")
    parser.add_argument("file", help="operator tokens file of the settings")
    parser.add_argument("--name", required=True, help="the operator")
    parser.add_argument(
        "--role", required=True, choices=("reader", "operator", "admin")
    )
    _add_token_file(parser)
    parser.set_defaults(make=_make_operator)
    _output.add_output_option(parser)


def _add_caller(kinds):
    parser = kinds.add_parser("caller", help="token of a caller")
    parser.add_argument("--name", required=True, help="of the credential")
    parser.add_argument("--organisation", required=True)
    _add_token_file(parser)
    parser.set_defaults(make=_make_caller)
    _output.add_output_option(parser)


def _add_token_file(parser):
    parser.add_argument(
        "--token-file",
        metavar="FILE",
        help="write the token into this new file instead of printing it",
    )


def run(arguments, context):
    """Make the keys.

    :param arguments: arguments of the subcommand.
    :param context: where to print.
    :returns: an exit code.
    """
    document, lines = arguments.make(arguments)
    _output.write(context, arguments, document, lines)
    return _exit_codes.ExitCode.OK


def _make_link(arguments):
    present = _read_present(arguments.file, "LinkKeyFile")
    content = _link_content(arguments, present)
    _write(arguments.file, content)
    document = {"file": arguments.file}
    for field in ("current", "next"):
        if field in content:
            document[field] = content[field]["public_key"]
    lines = [f"{field}: {value}" for field, value in document.items()]
    return document, lines


def _link_content(arguments, present):
    from buckthorntack import security

    if present is None:
        if arguments.step or arguments.drop:
            raise _errors.UsageError(f"{arguments.file} is not there")
        return security.generate_link_keys(arguments.accept)
    if not (arguments.step or arguments.accept or arguments.drop):
        raise _errors.UsageError(f"{arguments.file} is there already")
    if arguments.step == "add":
        present = security.add_link_pair(present)
    elif arguments.step == "promote":
        if "next" not in present:
            raise _errors.UsageError(f"{arguments.file} has no next pair")
        present = security.promote_link_pair(present)
    accepted = security.accept_link_keys(present, arguments.accept)
    return security.drop_link_keys(accepted, arguments.drop)


def _make_signing(arguments):
    from buckthorntack import security

    present = _read_present(arguments.file, "TokenKeyFile")
    if (present is None) != (arguments.step is None):
        state = "is not there" if present is None else "is there already"
        raise _errors.UsageError(f"{arguments.file} {state}")
    if present is None:
        content = security.generate_signing_keys()
    elif arguments.step == "add":
        content = security.add_signing_key(present)
    elif arguments.step == "promote":
        content = security.promote_signing_key(present)
    else:
        content = security.retire_signing_keys(present)
    _write(arguments.file, content)
    count = len(content["keys"])
    document = {"file": arguments.file, "keys": count}
    return document, [f"{arguments.file} holds {count} keys"]


def _make_operator(arguments):
    from buckthorntack import security

    present = _read_present(arguments.file, "OperatorTokenFile")
    token = security.generate_token()
    content = security.add_operator(
        present, arguments.name, arguments.role, security.hash_token(token)
    )
    shown = _hand_out(arguments, token)
    _write(arguments.file, content)
    return {"name": arguments.name, "role": arguments.role, **shown}, [
        f"operator {arguments.name} with role {arguments.role}",
        *(f"{field}: {value}" for field, value in shown.items()),
    ]


def _make_caller(arguments):
    from buckthorntack import security

    token = security.generate_token()
    credential = {
        "kind": "CallerCredential",
        "object": {
            "name": arguments.name,
            "organisation": arguments.organisation,
            "token_sha256": security.hash_token(token),
        },
    }
    shown = _hand_out(arguments, token)
    return {"credential": credential, **shown}, [
        json.dumps(credential, indent=2),
        *(f"{field}: {value}" for field, value in shown.items()),
    ]


def _hand_out(arguments, token):
    """What is printed of a new token."""
    if not arguments.token_file:
        return {"token": token}
    from buckthorntack import settings

    _require(settings.write_secret(arguments.token_file, token + "\n"))
    return {"token_file": arguments.token_file}


def _read_present(file, definition):
    from buckthorntack import security

    if not pathlib.Path(file).exists():
        return None
    return _require(security.read_key_file(file, definition))


def _write(file, content):
    from buckthorntack import security
    from buckthorntack import settings

    text = security.format_key_file(content)
    _require(settings.write_secret(file, text, replace=True))


def _require(result):
    if result.is_error():
        raise _errors.UsageError(str(result.error))
    return result.ok
