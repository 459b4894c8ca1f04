"""Build the program for the users' platform.

Installs the pinned packages under ``target/deps`` and compiles all byte code,
so that no start has to.  Nothing is done twice for the same requirements.
"""

import compileall
import hashlib
import pathlib
import subprocess
import sys

REQUIREMENTS = pathlib.Path("requirements/platform.txt")
DEPENDENCIES = pathlib.Path("target/deps")
MARK = pathlib.Path("target/deps.sha256")


def install():
    """Install the packages unless these very ones are there."""
    digest = hashlib.sha256(REQUIREMENTS.read_bytes()).hexdigest()
    if MARK.exists() and MARK.read_text() == digest:
        return
    command = [sys.executable, "-m", "pip", "install", "-q", "--upgrade"]
    command += ["--target", str(DEPENDENCIES), "-r", str(REQUIREMENTS)]
    subprocess.run(command, check=True)
    MARK.write_text(digest)


def main():
    """Install and compile."""
    DEPENDENCIES.mkdir(parents=True, exist_ok=True)
    install()
    for folder in (DEPENDENCIES, pathlib.Path("buckthorntack")):
        compileall.compile_dir(folder, quiet=2)
    return 0


if __name__ == "__main__":
    sys.exit(main())
