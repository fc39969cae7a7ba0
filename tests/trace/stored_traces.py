"""Runs the commands of `python -m oatcart.trace` on the stored traces under `data/`.

Only the command line is used, so that this module does not depend on names within the package.
`expected.json` was written once, by `PYTHONPATH=. python tests/trace/stored_traces.py`, with the version
before identifiers were renamed.
"""

import contextlib
import hashlib
import io
import json
import os
import secrets
import shutil
import tempfile
from pathlib import Path
from unittest import mock

from oatcart.trace.__main__ import main

DATA = Path(__file__).parent / "data"
EXPECTED = DATA / "expected.json"
SECRET = bytes(range(32))  # for `strip`, in place of a random secret
ONE, TWO, PROXY, ALL = "n0-1.oatrace", "n0-2.oatrace", "proxy-a.oatrace", "all-names.oatrace"
CUT = ["--from", "1010", "--to", "1040", "--kind", "fee-charge", "--node", "east-02", "--proxy", "proxy-a"]
COMMANDS = [
    ["check", "--again", ONE, TWO, PROXY, ALL],
    ["check", "--again", "--json", ONE],
    ["summary", ONE, TWO],
    ["summary", "--json", ONE, TWO],
    ["summary", PROXY],
    ["summary", "--json", PROXY],
    ["summary", "--json", ALL],
    ["summary", "--from", "1030", "--to", "1040", ONE],
    ["show", "--node", "east-02", ONE, TWO],
    ["show", "--node", "west-03", ONE, TWO],
    ["show", "--node", "east-02", ALL],
    ["show", "--key", "5fee1001", PROXY],
    ["show", "--req", "proxy-a:7", "--json", PROXY],
    ["cut", *CUT, ONE, TWO, "--out", "cut-n0.oatrace"],
    ["cut", *CUT, PROXY, "--out", "cut-proxy.oatrace"],
    ["check", "cut-n0.oatrace", "cut-proxy.oatrace"],
    ["summary", "--json", "cut-proxy.oatrace"],
    ["strip", ONE, TWO, "--out", "strip-n0.oatrace"],
    ["strip", PROXY, "--out", "strip-proxy.oatrace"],
    ["strip", ALL, "--out", "strip-all.oatrace"],
    ["check", "--again", "strip-n0.oatrace", "strip-all.oatrace"],
    ["summary", "--json", "strip-n0.oatrace"],
    ["summary", "--json", "strip-proxy.oatrace"],
    ["merge", ONE, TWO, PROXY, "--out", "merged.oatrace"],
    ["merge", "--reference", "proxy-a", PROXY, ONE, "--out", "merged-2.oatrace"],
    ["summary", "merged.oatrace"],
    ["show", "--node", "east-02", "merged.oatrace"],
    ["show", "--key", "5fee1001", "merged.oatrace"],
    ["cut", "--from", "1001", "--to", "1030", "merged.oatrace", "--out", "cut-merged.oatrace"],
    ["summary", "cut-merged.oatrace"],
    ["strip", "merged.oatrace", "--out", "strip-merged.oatrace"],
    ["summary", "strip-merged.oatrace"],
]
DIGESTED = (
    "cut-n0",
    "cut-proxy",
    "strip-n0",
    "strip-proxy",
    "strip-all",
)  # files whose bytes do not depend on fitted clocks


def run(folder: Path) -> dict:
    """Return the exit code, stdout and stderr of each command, and the digests of the DIGESTED files."""
    for name in (ONE, TWO, PROXY, ALL):
        shutil.copy(DATA / name, folder / name)
    outcomes, here = {}, Path.cwd()
    os.chdir(folder)
    try:
        with mock.patch.object(secrets, "token_bytes", lambda size: SECRET):
            for arguments in COMMANDS:
                out, err = io.StringIO(), io.StringIO()
                with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
                    code = main(arguments)
                outcomes[" ".join(arguments)] = [
                    code,
                    out.getvalue().splitlines(),
                    err.getvalue().splitlines(),
                ]
    finally:
        os.chdir(here)
    for name in DIGESTED:
        data = (folder / f"{name}.oatrace").read_bytes()
        outcomes[name] = [len(data), hashlib.sha256(data).hexdigest()]
    return outcomes


def write_expected() -> None:
    """Write the current outcomes to `expected.json`."""
    with tempfile.TemporaryDirectory() as folder:
        EXPECTED.write_text(json.dumps(run(Path(folder)), indent=1, ensure_ascii=False) + "\n")


if __name__ == "__main__":
    write_expected()
