"""Evaluates the operators' file in a separate process with limits on its resources.

A script can build a list of any length in a single step, which a limit on steps would not prevent.
In the broker such a script could exhaust the memory, and the broker would be killed with all
requests in flight. So a separate process with resource limits evaluates the file and prints the
result as JSON (see ``codec``). The broker never loads the Starlark interpreter.

The process exits with 0 and prints the JSON, or with 2 and prints the error in one line.
"""

from __future__ import annotations

import os
import re
import resource
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

from ..cells.model import CellMapError
from ..errors import QueryBrokerError
from .arguments import DirectiveError
from .codec import build_config, decode_config, encode_config
from .directives import DIRECTIVES_BY_NAME, MAX_DIRECTIVE_CALLS
from .draft import ConfigDraft
from .settings import OperatorConfig

#: Limit on the length of the file; a fleet with thousands of tenants needs less than a million.
MAX_FILE_CHARACTERS = 4 << 20
#: Limit on the address space of the evaluating process, small compared with a machine's memory.
MAX_MEMORY_BYTES = 512 << 20
#: Limit on the processor time of the evaluating process; the broker waits twice as long.
MAX_PROCESSOR_TIME_S = 5.0
#: The evaluation is cancelled this long before the limit on processor time kills the process.
CANCELLATION_MARGIN_S = 1
#: Limit on nested calls; Starlark has no recursion, so a valid script stays far below it.
MAX_CALL_DEPTH = 100
#: Exit code of the evaluating process for a rejected file.
EXIT_INVALID = 2
#: The line and the column in an error of the interpreter.
ERROR_LOCATION = re.compile(r" --> .*?:(\d+):\d+\n")
#: A text of the form ``key: problem`` or ``directive.key: problem``.
KEYED_PROBLEM = re.compile(r"[a-z_]+(\.[a-z_]+)?: ")
#: The counts of arguments in the text of a ``TypeError`` of Python.
ARGUMENT_COUNT = re.compile(r"(takes|from|to|but) (\d+)")


class OperatorFileError(QueryBrokerError):
    """A rejected file; the text is one line, ``FILE:LINE: key: problem``."""

    @classmethod
    def of(cls, path: str, key: str, problem: object) -> OperatorFileError:
        """Return an error of the file as a whole, without a line number."""
        return cls(f"{path}: {key}: {problem}")


class DeferredError(NamedTuple):
    """An error that is detected only at the end of a script.

    Attributes:
        call_number: Number of the faulty call, counted from 1.
        error: The error.
    """

    call_number: int
    error: DirectiveError


# Runs in the broker.


def evaluate(path: str) -> OperatorConfig:
    """Evaluate the file in a separate process.

    Blocks until that process has ended, so it must not be called on the event loop.

    Raises:
        OperatorFileError: The file cannot be read, evaluated or accepted.
    """
    process = _run_evaluator(path)
    if process.returncode == EXIT_INVALID:
        message = process.stdout.strip().replace("\n", " ")
        raise OperatorFileError(message or f"{path}: evaluation: failed")
    if process.returncode != 0:
        raise OperatorFileError.of(path, "evaluation", _describe_crash(process))
    try:
        return decode_config(process.stdout)
    except (ValueError, KeyError, TypeError, CellMapError) as error:
        raise OperatorFileError.of(path, "evaluation", error) from None


def _run_evaluator(path: str) -> subprocess.CompletedProcess[str]:
    search_path = [str(Path(__file__).parents[2])]
    if inherited := os.environ.get("PYTHONPATH"):
        search_path.append(inherited)
    timeout_s = 2 * MAX_PROCESSOR_TIME_S
    try:
        return subprocess.run(
            [sys.executable, "-m", "query_broker.operator_config.script", path],
            env={**os.environ, "PYTHONPATH": os.pathsep.join(search_path)},
            capture_output=True,
            text=True,
            timeout=timeout_s,
            check=False,
            stdin=subprocess.DEVNULL,
        )
    except subprocess.TimeoutExpired:
        raise OperatorFileError.of(
            path, "evaluation", f"took longer than {timeout_s:.0f} s"
        ) from None
    except OSError as error:
        raise OperatorFileError.of(path, "evaluation", error) from None


def _describe_crash(process: subprocess.CompletedProcess[str]) -> str:
    if process.returncode < 0:  # ended by a signal, as after exceeding a resource limit
        return "exceeded its resource limits"
    lines = process.stderr.strip().splitlines()
    return lines[-1] if lines else f"exited with code {process.returncode}"


# Runs in the evaluating process.


def run_script(path: str, text: str, is_cancelled: Callable[[], bool]) -> ConfigDraft:
    """Evaluate the text of a file, and check that its directives are consistent.

    An error that is detected only at the end concerns an earlier directive, whose line is known
    only while that directive runs. Scripts are deterministic, so the script is run again, and the
    call of that directive raises the error.

    Args:
        path: Name of the file, for error texts.
        text: The script.
        is_cancelled: Called between steps; the evaluation ends once it returns True.

    Raises:
        OperatorFileError: The script is invalid; the error names file, line and key.
    """
    draft = _run_directives(path, text, is_cancelled, None)
    try:
        draft.build_cell_map()
        draft.build_quotas()
    except DirectiveError as error:
        deferred_error = DeferredError(error.call_number or draft.call_count, error)
        _run_directives(path, text, is_cancelled, deferred_error)
        without_line = f"{path}: {error}"
        raise OperatorFileError(without_line) from None
    return draft


def _run_directives(
    path: str, text: str, is_cancelled: Callable[[], bool], deferred_error: DeferredError | None
) -> ConfigDraft:
    # The interpreter is an optional dependency, which only the evaluating process needs.
    import starlark

    draft = ConfigDraft()
    module = starlark.Module()
    for name, directive in DIRECTIVES_BY_NAME.items():
        module.add_callable(name, _make_callable(draft, name, directive, deferred_error))
    dialect = starlark.Dialect.extended()
    dialect.enable_load = False
    try:
        tree = starlark.parse(path, text, dialect)
        starlark.eval_with(
            starlark.EvalOptions(check_cancelled=is_cancelled, max_callstack_size=MAX_CALL_DEPTH),
            module,
            tree,
            starlark.Globals.standard(),
        )
    except starlark.StarlarkError as error:
        raise OperatorFileError(_format_error(path, str(error))) from None
    return draft


def _make_callable(
    draft: ConfigDraft,
    name: str,
    directive: Callable[..., Any],
    deferred_error: DeferredError | None,
) -> Callable[..., Any]:
    def call(*arguments: Any, **named: Any) -> Any:
        draft.call_count += 1
        if draft.call_count > MAX_DIRECTIVE_CALLS:
            raise DirectiveError(name, f"more than {MAX_DIRECTIVE_CALLS} directive calls")
        if deferred_error is not None and draft.call_count == deferred_error.call_number:
            raise deferred_error.error
        try:
            return directive(draft, *arguments, **named)
        except TypeError as error:
            raise DirectiveError(name, f"{_without_draft_argument(str(error))}") from None

    return call


def _without_draft_argument(text: str) -> str:
    """Lower the argument counts in the text of a ``TypeError`` by one, for the draft."""

    def lower(count: re.Match[str]) -> str:
        return f"{count[1]} {max(0, int(count[2]) - 1)}"

    return ARGUMENT_COUNT.sub(lower, text)


def _format_error(path: str, text: str) -> str:
    """Return the interpreter's error, which has several lines, as one line."""
    lines = text.splitlines()
    error = next((line for line in lines if line.startswith("error: ")), lines[0])
    problem = error.removeprefix("error: ").removeprefix(f"{DirectiveError.__name__}: ")
    location = ERROR_LOCATION.search(text)
    where = f"{path}:{location[1]}" if location else path
    if KEYED_PROBLEM.match(problem):
        return f"{where}: {problem}"
    return f"{where}: script: {problem}"


def _read_text(path: str) -> str:
    with open(path, encoding="utf-8") as file:
        text = file.read(MAX_FILE_CHARACTERS + 1)
    if len(text) > MAX_FILE_CHARACTERS:
        raise OperatorFileError.of(path, "file", f"is longer than {MAX_FILE_CHARACTERS} characters")
    return text


def _limit_process() -> None:
    resource.setrlimit(resource.RLIMIT_AS, (MAX_MEMORY_BYTES, MAX_MEMORY_BYTES))
    seconds = int(MAX_PROCESSOR_TIME_S)
    resource.setrlimit(resource.RLIMIT_CPU, (seconds, seconds + 1))


def _main(path: str) -> int:
    _limit_process()
    deadline_s = time.monotonic() + MAX_PROCESSOR_TIME_S - CANCELLATION_MARGIN_S
    try:
        draft = run_script(path, _read_text(path), lambda: time.monotonic() > deadline_s)
        print(encode_config(build_config(draft)))
    except OperatorFileError as error:
        print(error)
    except (OSError, UnicodeDecodeError) as error:
        print(f"{path}: file: {error}")
    except ImportError:
        print(f"{path}: file: needs the extra 'operators' (starlark-pyo3), which is not installed")
    except MemoryError:
        print(f"{path}: evaluation: exceeded its memory limit")
    else:
        return 0
    return EXIT_INVALID


if __name__ == "__main__":
    sys.exit(_main(sys.argv[1]))
