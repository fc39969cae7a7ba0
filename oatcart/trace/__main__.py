"""Check, summarise, cut, merge, strip or show traces; see `python -m oatcart.trace COMMAND --help`."""

import argparse
import sys
from collections.abc import Callable
from math import inf

from oatcart.trace import commands
from oatcart.trace.file_format import CorruptTraceError

Command = Callable[[argparse.Namespace], commands.ExitCode]


def argument_parser() -> argparse.ArgumentParser:
    """Return the parser of all commands; it sets `run` to the function of the chosen command."""
    parser = argparse.ArgumentParser(prog="oatcart.trace", description=__doc__)
    choices = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")

    def add(name: str, run: Command, description: str) -> argparse.ArgumentParser:
        command = choices.add_parser(name, help=description, description=description)
        command.set_defaults(run=run)
        command.add_argument(
            "files", nargs="+", help="trace files; several files of one instance are read in the order given"
        )
        command.add_argument("--json", action="store_true", help="one JSON object in place of text")
        return command

    _add_check(add)
    _add_summary(add)
    _add_cut(add)
    _add_merge(add)
    _add_strip(add)
    _add_show(add)
    return parser


def _add_check(add: Callable) -> None:
    description = (
        "Show what is intact, what is missing, and whether recorded rounds are replayed identically."
    )
    check = add("check", commands.check, description)
    check.add_argument("--again", action="store_true", help="replay the recorded rounds on a new controller")


def _add_summary(add: Callable) -> None:
    description = "Count requests by class, zone and endpoint, decisions by reason, and broken rules."
    _add_span(add("summary", commands.summarize, description))


def _add_cut(add: Callable) -> None:
    description = "Write the part of a trace that matches a time span, endpoints, proxies or request classes."
    cut = add("cut", commands.cut, description)
    _add_output(cut)
    _add_span(cut)
    for name, term in (("node", "endpoint"), ("proxy", "proxy"), ("kind", "request class")):
        cut.add_argument(f"--{name}", action="append", default=[], help=f"only this {term}; may be repeated")


def _add_merge(add: Callable) -> None:
    description = "Merge the traces of several instances into one, with times by the clock of one of them."
    merge = add("merge", commands.merge_traces, description)
    _add_output(merge)
    merge.add_argument(
        "--reference", default="", help="the instance whose clock is used; by default that of the first file"
    )


def _add_strip(add: Callable) -> None:
    description = "Write a trace for outsiders: names and keys become pseudonyms that only this export uses."
    _add_output(add("strip", commands.strip, description))


def _add_show(add: Callable) -> None:
    description = "Show the events of one request, idempotency key or endpoint."
    show = add("show", commands.show, description)
    _add_span(show)
    show.add_argument("--key", default="", help="a request's idempotency key, in hex")
    show.add_argument("--req", default="", help="a request as PROXY:NUMBER")
    show.add_argument("--node", default="", help="an endpoint's id")


def _add_output(command: argparse.ArgumentParser) -> None:
    command.add_argument("--out", required=True, help="the trace to write; the file must not exist")


def _add_span(command: argparse.ArgumentParser) -> None:
    command.add_argument(
        "--from", dest="first", type=float, default=-inf, help="first time, in s of the instance's clock"
    )
    command.add_argument(
        "--to", dest="last", type=float, default=inf, help="end time, in s; records at it are left out"
    )


def main(arguments: list[str] | None = None) -> int:
    """Run the command that the arguments name, by default those of the process; return the exit code."""
    args = argument_parser().parse_args(arguments)
    try:
        return args.run(args)
    except (CorruptTraceError, OSError) as error:
        print(f"{', '.join(args.files)}: {error}", file=sys.stderr)
        return commands.ExitCode.UNUSABLE


if __name__ == "__main__":
    sys.exit(main())
