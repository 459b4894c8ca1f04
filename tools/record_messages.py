"""Records the fields of all messages, and one message of each kind.

Later builds are checked against what the production commit had.
"""

import argparse
import json
import pathlib
import re
import subprocess
import types
import typing

from buckthorntack import schema
from buckthorntack.schema import _unknown_fields

ROOT = pathlib.Path(__file__).parent.parent
RECORD = ROOT / "buckthorntack/schema/tests/recorded_messages.json"
SETTINGS = ROOT / "deploy/system.toml"
_PRODUCTION = re.compile(r'^production = "(.*)"$', re.MULTILINE)
_PLAIN_VALUES = {
    str: "a",
    int: 1,
    float: 0.5,
    bool: True,
    bytes: b"a",
    type(None): None,
}


def list_fields():
    """Name, type and default of each field of all messages."""
    return {
        name: [
            _describe_field(message_type, field, hint)
            for field, hint in typing.get_type_hints(message_type).items()
        ]
        for name, message_type in sorted(schema.message_types().items())
    }


def _describe_field(message_type, name, hint):
    described = f"{name}: {_describe_type(hint)}"
    if name not in message_type._field_defaults:
        return described
    return f"{described} = {message_type._field_defaults[name]!r}"


def _describe_type(hint):
    if _unknown_fields.is_message_type(hint):
        return hint.__name__
    arguments = typing.get_args(hint)
    if not arguments:
        return hint.__name__
    origin = typing.get_origin(hint)
    if origin is typing.Literal:
        return "one of " + " ".join(sorted(map(str, arguments)))
    inner = ", ".join(_describe_type(one) for one in arguments)
    return f"{getattr(origin, '__name__', origin)}[{inner}]"


def make_message(message_type):
    """Make a small message of a type.

    :param message_type: a ``NamedTuple`` of the schema.
    """
    hints = typing.get_type_hints(message_type)
    return message_type(*(_make_value(hint) for hint in hints.values()))


def _make_value(hint):
    if _unknown_fields.is_message_type(hint):
        return make_message(hint)
    if typing.get_origin(hint) is list:
        return [_make_value(*typing.get_args(hint))]
    if typing.get_origin(hint) is typing.Literal:
        return typing.get_args(hint)[0]
    if typing.get_origin(hint) is types.UnionType:
        return _make_value(typing.get_args(hint)[0])
    return _PLAIN_VALUES[hint]


def read_production(text):
    """Return the commit that deployment settings name.

    :param text: content of ``deploy/system.toml``.

    >>> read_production('production = "12ab"\\n')
    '12ab'
    """
    return _PRODUCTION.search(text).group(1)


def build_record(commit):
    """Build the record of this build.

    :param commit: id of its commit.
    """
    return {
        "commit": commit,
        "fields": list_fields(),
        "messages": {
            name: schema.encode(make_message(message_type))[1].hex()
            for name, message_type in sorted(schema.message_types().items())
        },
    }


def main():
    """Name the present commit as the production one and record it."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--commit", help="name this commit in place of HEAD")
    commit = parser.parse_args().commit
    if commit is None:
        commit = subprocess.run(
            ["git", "rev-parse", "HEAD"],
            cwd=ROOT,
            check=True,
            capture_output=True,
            text=True,
        ).stdout.strip()
    named = f'production = "{commit}"'
    SETTINGS.write_text(_PRODUCTION.sub(named, SETTINGS.read_text()))
    record = json.dumps(build_record(commit), indent=1)
    RECORD.write_text(f"{record}\n")


if __name__ == "__main__":
    main()
