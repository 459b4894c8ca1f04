"""Write the Python types of messages and documents from their schemas.

``buckthorntack/schema/messages/*.json`` become ``NamedTuple`` classes (sent
between our own processes), ``buckthorntack/schema/documents/*.json`` become
``TypedDict`` classes (JSON met from outside).  The result is committed.
"""

import argparse
import collections
import pathlib
import re
import subprocess
import sys
import tempfile

SCHEMA = pathlib.Path("buckthorntack/schema")
GENERATED = SCHEMA / "_generated"
PACKAGE = "buckthorntack.schema._generated"
INDEXES = (
    ("messages.py", "", "Messages between our own processes"),
    ("documents.py", "_documents", "JSON documents met from outside"),
)
COMMON_OPTIONS = (
    "--input-file-type=jsonschema",
    "--output-model-type=typing.TypedDict",
    "--target-python-version=3.11",
    "--use-standard-collections",
    "--use-union-operator",
    "--disable-timestamp",
    "--use-schema-description",
    "--use-field-description",
    "--enum-field-as-literal=all",
    "--formatters=ruff-format",
)
MESSAGE_OPTIONS = (
    f"--custom-template-dir={SCHEMA / 'templates'}",
    "--additional-imports=typing.NamedTuple",
)


def generate(source, target, options):
    """Generate one module.

    :param source: path of the JSON schema.
    :param target: path of the Python module to write.
    :param options: options besides the common ones.
    """
    command = [sys.executable, "-W", "ignore", "-m"]
    command.append("datamodel_code_generator")
    command += [f"--input={source}", f"--output={target}"]
    command += [*COMMON_OPTIONS, *options]
    subprocess.run(command, check=True)
    text = target.read_text()
    header = f'"""Generated from {source.name}: do not edit."""\n\n'
    lines = [line for line in text.splitlines() if line[:1] != "#"]
    target.write_text(header + "\n".join(lines).strip() + "\n")
    ruff = [sys.executable, "-m", "ruff"]
    select = "--select=F401,I,UP"
    subprocess.run(
        [*ruff, "check", "-q", "--fix", select, str(target)], check=True
    )
    subprocess.run([*ruff, "format", "-q", str(target)], check=True)


def generate_all(folder, index_folder):
    """Generate each module and the modules that gather their names.

    :param folder: where the generated modules are written.
    :param index_folder: where the gathering modules are written.
    """
    folder.mkdir(parents=True, exist_ok=True)
    for source in sorted((SCHEMA / "messages").glob("*.json")):
        generate(source, folder / f"{source.stem}.py", MESSAGE_OPTIONS)
    for source in sorted((SCHEMA / "documents").glob("*.json")):
        generate(source, folder / f"{source.stem}_documents.py", ())
    for name, suffix, what in INDEXES:
        target = index_folder / name
        write_index(folder, target, suffix, what)


def write_index(folder, target, suffix, what):
    """Write the module that gathers generated names.

    :param folder: where the generated modules are.
    :param target: path of the module to write.
    :param suffix: ending of the names of the modules gathered.
    :param what: what they hold, for the doc comment.
    """
    names = []
    for path in sorted(folder.glob("*.py")):
        is_document = path.stem.endswith("_documents")
        if path.stem == "__init__" or is_document != bool(suffix):
            continue
        found = re.findall(r"^class (\w+)|^(\w+) = ", path.read_text(), re.M)
        names += [(a or b, path.stem) for a, b in found]
    repeated = [
        n for n, k in collections.Counter(n for n, _ in names).items() if k > 1
    ]
    if repeated:
        raise SystemExit(f"defined twice, rename one: {', '.join(repeated)}")
    names_by_module = collections.defaultdict(list)
    for name, module in sorted(names):
        names_by_module[module].append(name)
    lines = [f'"""{what}; generated, do not edit."""', ""]
    lines += ["from buckthorntack import _lazy_imports", ""]
    lines += ["__getattr__, __dir__, __all__ = _lazy_imports.attach("]
    lines += ["    __name__,", "    {"]
    for module, found in sorted(names_by_module.items()):
        quoted = " ".join(f'"{name}",' for name in found)
        lines.append(f'        "{PACKAGE}.{module}": ({quoted}),')
    lines += ["    },", ")"]
    target.write_text("\n".join(lines) + "\n")
    ruff = [sys.executable, "-m", "ruff"]
    subprocess.run(
        [*ruff, "check", "-q", "--fix", "--select=I", str(target)], check=True
    )
    subprocess.run([*ruff, "format", "-q", str(target)], check=True)


def _texts(folder, index_folder):
    paths = [*folder.glob("*.py"), *(index_folder / i[0] for i in INDEXES)]
    texts = {path.name: path.read_text() for path in paths if path.exists()}
    texts.pop("__init__.py", None)
    return texts


def outdated(folder):
    """Compare the committed modules with freshly generated ones.

    :param folder: where all fresh modules are.
    :returns: names of the modules that differ, are missing or left over.
    """
    fresh = _texts(folder / "generated", folder)
    kept = _texts(GENERATED, SCHEMA)
    names = sorted(fresh.keys() | kept.keys())
    return [name for name in names if fresh.get(name) != kept.get(name)]


def main():
    """Generate, or check what is committed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true")
    if not parser.parse_args().check:
        generate_all(GENERATED, SCHEMA)
        return 0
    scratch = pathlib.Path("build")
    scratch.mkdir(exist_ok=True)
    with tempfile.TemporaryDirectory(dir=scratch) as folder:
        fresh = pathlib.Path(folder)
        generate_all(fresh / "generated", fresh)
        names = outdated(fresh)
    if names:
        print(f"out of date: {', '.join(names)}; run: make generate")
    return 1 if names else 0


if __name__ == "__main__":
    sys.exit(main())
