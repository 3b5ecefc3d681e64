"""Options that the command lines of the benchmarks share."""

from __future__ import annotations

import argparse


def benchmark_parser(description: str | None) -> argparse.ArgumentParser:
    """Return a parser with `--quick`.

    Args:
        description: The docstring of the benchmark.
    """
    parser = argparse.ArgumentParser(
        description=description, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--quick", action="store_true", help="a small run, for a first look")
    return parser


def add_base_option(parser: argparse.ArgumentParser, default: str) -> None:
    """Add `--base`, the commit of this project that is compared with."""
    parser.add_argument("--base", default=default, metavar="REV", help="commit to compare with")


def add_only_option(parser: argparse.ArgumentParser) -> None:
    """Add `--only`, the parts of the benchmark that run."""
    parser.add_argument("--only", default="", metavar="PART,...", help="run these parts alone")


def is_selected(part: str, only: str) -> bool:
    """Return whether a part runs, given the value of `--only`."""
    return not only or part in only.split(",")
