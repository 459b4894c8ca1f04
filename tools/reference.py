"""Write the reference pages from the schemas and the event registry.

``docs/SETTINGS.md`` and ``docs/OBJECTS.md`` come from the schemas of
documents, ``docs/EVENTS.md`` from the events that all packages declare.  The
result is committed.
"""

import argparse
import importlib
import inspect
import json
import pathlib
import pkgutil
import sys

import logbook

import buckthorntack
from buckthorntack import errors
from buckthorntack import events
from buckthorntack import objects
from buckthorntack import schema

DOCS = pathlib.Path("docs")
_NOTICE = "<!-- Written by tools/reference.py: do not edit. -->"
_LIMITS = {
    "minimum": "at least {}",
    "exclusiveMinimum": "above {}",
    "maximum": "at most {}",
    "minItems": "at least {}",
    "uniqueItems": "each once",
    "minLength": "at least {} characters",
    "maxLength": "at most {} characters",
    "pattern": "matches `{}`",
    "format": "`{}`",
}
_NAME_PATTERN = "^[a-z0-9][a-z0-9.-]{0,62}$(?!\\n)"
_NAME_TYPE = "name"
_NAMES_NOTE = (
    "A *name* has up to 63 lower-case letters, digits, dots and hyphens, and "
    "starts with a letter or digit."
)


def settings_page():
    """Reference of settings files."""
    intro = (
        "A settings file is JSON with comments. `buckthorntack entry "
        "--settings FILE --check-only` tells all faults of a file at once. "
        f"{_NAMES_NOTE}"
    )
    definitions = schema.document_schema("settings")["$defs"]
    names = ["Settings", *(name for name in definitions if name != "Settings")]
    sections = [_section(name, definitions[name]) for name in names]
    return _page("Settings", intro, sections)


def objects_page():
    """Reference of operators' objects and the rules of a set."""
    intro = (
        "Operators describe a deployment by named objects in a folder of "
        '`*.json` files with comments. A file holds one `{"kind": ..., '
        '"object": {...}}` or a list of them. `buckthorntack check FOLDER` '
        "tells all findings of a set at once; nothing that has a finding is "
        "published. Files without comments are read much faster, which "
        f"matters for thousands of objects. {_NAMES_NOTE}"
    )
    definitions = schema.document_schema("objects")["$defs"]
    names = list(objects.KINDS)
    names += [name for name in definitions if name not in names]
    sections = [_section(name, definitions[name]) for name in names]
    return _page("Objects", intro, [*sections, _rules_section()])


def _rules_section():
    lines = ["## Rules of a set", "", "| rule | meaning |", "|---|---|"]
    for name, meaning in objects.rule_meanings().items():
        lines.append(f"| `{name}` | {_escape(meaning)} |")
    return "\n".join(lines)


def events_page():
    """Catalogue of events."""
    _import_all()
    intro = (
        "Each log line and each error that is told to a caller, a backend "
        "server or an operator carries one of these numbers."
    )
    lines = [
        "| number | name | level | meaning | remedy |",
        "|---|---|---|---|---|",
    ]
    for event in events.catalogue():
        level = logbook.get_level_name(event.level).lower()
        cells = (
            event.number,
            f"`{event.name}`",
            level,
            _escape(event.meaning),
            _escape(event.remedy),
        )
        lines.append(f"| {' | '.join(str(cell) for cell in cells)} |")
    return _page("Events", intro, ["\n".join(lines), _errors_section()])


def _errors_section():
    lines = [
        "## Errors",
        "",
        "The number and type of an error are told in its answer; its number "
        "is also `x-event`.",
        "",
        "| number | type | status | run state | meaning | remedy |",
        "|---|---|---|---|---|---|",
    ]
    kinds = _kinds_below(errors.GatewayError)
    for kind in sorted(kinds, key=lambda kind: (kind.number, kind.kind)):
        cells = (
            kind.number,
            f"`{kind.kind}`",
            kind.status,
            f"`{kind.run_state.value}`",
            _escape(_summary(kind)),
            _escape(kind.remedy),
        )
        lines.append(f"| {' | '.join(str(cell) for cell in cells)} |")
    return "\n".join(lines)


def _summary(kind):
    paragraph = inspect.getdoc(kind).partition("\n\n")[0]
    return " ".join(paragraph.split())


def _kinds_below(base):
    """All kinds of errors that the program itself derives."""
    kinds = set()
    for kind in base.__subclasses__():
        if kind.__module__.startswith(f"{buckthorntack.__name__}."):
            kinds.add(kind)
        kinds |= _kinds_below(kind)
    return kinds


def _import_all():
    """Import all packages, so that their events are declared."""
    prefix = f"{buckthorntack.__name__}."
    for module in pkgutil.walk_packages(buckthorntack.__path__, prefix):
        parts = module.name.split(".")
        if "tests" not in parts and parts[-1] != "__main__":
            importlib.import_module(module.name)


def _page(title, intro, sections):
    return "\n\n".join([f"# {title}", _NOTICE, intro, *sections]) + "\n"


def _section(name, definition):
    lines = [f"## {name}", "", definition.get("description", ""), ""]
    lines += ["| field | type | default | meaning |", "|---|---|---|---|"]
    required = definition.get("required", ())
    for field, field_schema in definition["properties"].items():
        default = "required" if field in required else _default(field_schema)
        meaning = _escape(field_schema.get("description", ""))
        cells = (f"`{field}`", _type(field_schema), default, meaning)
        lines.append(f"| {' | '.join(cells)} |")
    return "\n".join(lines)


def _default(field_schema):
    if "default" not in field_schema:
        return "optional"
    return f"`{json.dumps(field_schema['default'])}`"


def _type(field_schema):
    if "$ref" in field_schema:
        name = field_schema["$ref"].rpartition("/")[2]
        return f"[{name}](#{name.lower()})"
    if field_schema.get("pattern") == _NAME_PATTERN:
        return _NAME_TYPE
    if field_schema["type"] == "array":
        text = f"list of {_type(field_schema['items'])}"
    elif "enum" in field_schema:
        text = " or ".join(f"`{value}`" for value in field_schema["enum"])
    else:
        text = field_schema["type"]
    limits = [
        _LIMITS[key].format(_escape(str(value)))
        for key, value in field_schema.items()
        if key in _LIMITS
    ]
    return ", ".join([text, *limits])


def _escape(text):
    return text.replace("|", "\\|")


PAGES = {
    "SETTINGS.md": settings_page,
    "OBJECTS.md": objects_page,
    "EVENTS.md": events_page,
}


def main():
    """Write the pages, or check those that are committed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true")
    check = parser.parse_args().check
    outdated = []
    for name, make in PAGES.items():
        page, text = DOCS / name, make()
        if page.exists() and page.read_text("utf-8") == text:
            continue
        outdated.append(name)
        if not check:
            page.write_text(text, "utf-8")
    if check and outdated:
        print(f"out of date: {', '.join(outdated)}; run: make generate")
    return 1 if check and outdated else 0


if __name__ == "__main__":
    sys.exit(main())
