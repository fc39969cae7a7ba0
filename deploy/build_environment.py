"""Make `.venv` with what `requirements.txt` names, safely while other builds run.

    python3 deploy/build_environment.py

A build holds a lock; other builds wait for it and use its result. The environment is made in a folder beside
`.venv` and renamed once it is complete, so that a killed build leaves nothing that looks complete. Where the
environment cannot be made, the exit code is 1 and standard error has one line.
"""

import fcntl
import os
import shutil
import subprocess
import sys
import tempfile
import venv
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
LOCK = ".venv.lock"
UNFINISHED_PREFIX = ".venv-unfinished-"
# Run by an environment's own interpreter: exits with 0 if each requirement is installed completely. RECORD is
# the last file of a package that pip writes.
CHECK = """
import sys
from importlib.metadata import PackageNotFoundError, distribution
for requirement in sys.argv[1:]:
    name, _, version = requirement.partition("==")
    try:
        found = distribution(name)
    except PackageNotFoundError:
        sys.exit(1)
    if version and found.version != version or found.read_text("RECORD") is None:
        sys.exit(1)
"""


class BuildError(Exception):
    """The environment could not be made."""


@contextmanager
def build_lock(root: Path) -> Iterator[None]:
    """Hold the build lock. A killed build's lock lasts until its installer ends, which inherits it."""
    with open(root / LOCK, "a") as lock:
        os.set_inheritable(lock.fileno(), True)
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield


def requirements(root: Path) -> list[str]:
    """Return the requirements in `requirements.txt`, as `NAME==VERSION`."""
    lines = (root / "requirements.txt").read_text().splitlines()
    return [line.strip() for line in lines if line.strip() and not line.startswith("#")]


def is_complete(environment: Path, required: list[str]) -> bool:
    """Return whether an environment has all that is required."""
    python = environment / "bin" / "python"
    if not python.exists():
        return False
    return subprocess.run([python, "-c", CHECK, *required], capture_output=True).returncode == 0


def install(environment: Path, root: Path) -> None:
    """Install the requirements into an environment; raises BuildError where pip fails."""
    command = [environment / "bin" / "python", "-m", "pip", "-q", "install", "-r", root / "requirements.txt"]
    result = subprocess.run(command, close_fds=False, capture_output=True, text=True)
    if result.returncode:
        raise BuildError(f"pip ended with {result.returncode}: {result.stderr.strip()}")


def rename_paths(environment: Path, final: Path) -> None:
    """Replace the environment's path in its scripts by the path that it is to be renamed to."""
    for script in [environment / "pyvenv.cfg", *(environment / "bin").iterdir()]:
        if script.is_symlink() or not script.is_file():
            continue
        text = script.read_bytes()
        script.write_bytes(text.replace(os.fsencode(environment), os.fsencode(final)))


def make_environment(root: Path, final: Path, required: list[str]) -> None:
    """Make a new environment in a folder of its own and let it replace the one at `final`."""
    unfinished = Path(tempfile.mkdtemp(prefix=UNFINISHED_PREFIX, dir=root))
    venv.create(unfinished, with_pip=True, symlinks=True)
    install(unfinished, root)
    if not is_complete(unfinished, required):
        raise BuildError("pip ended with 0, but not all of requirements.txt is installed")
    rename_paths(unfinished, final)
    unfinished.chmod(0o755)
    if final.exists():
        final.rename(Path(tempfile.mkdtemp(prefix=UNFINISHED_PREFIX, dir=root)) / final.name)
    unfinished.rename(final)


def remove_unfinished(root: Path) -> None:
    """Remove unfinished environments of killed builds, and environments that were replaced."""
    for folder in root.glob(UNFINISHED_PREFIX + "*"):
        shutil.rmtree(folder, ignore_errors=True)


def build(root: Path) -> None:
    """Make `.venv` complete. An environment whose pip works is updated in place."""
    final, required = root / ".venv", requirements(root)
    with build_lock(root):
        remove_unfinished(root)
        if is_complete(final, required):
            return
        with suppress(BuildError, OSError):  # fails if a killed build left it without pip or interpreter
            install(final, root)
        if not is_complete(final, required):
            make_environment(root, final, required)
        remove_unfinished(root)


def main() -> int:
    """Build, and return the exit code."""
    try:
        build(ROOT)
    except (BuildError, OSError, subprocess.CalledProcessError) as error:
        print(f"build: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
