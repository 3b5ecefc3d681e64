"""Evaluates the operators' file: in a process of its own, bounded in time, memory, steps and words.

Danger: a script can build a list of any length in one step, which no count of steps sees: the
daemon would be killed for memory with all that it had taken. So another process reads it, under a
limit of its own, and tells what it says as JSON. The daemon never loads the interpreter.
"""

from __future__ import annotations

import json
import os
import re
import resource
import subprocess
import sys
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from ..cells.model import BadMap, CellMap, from_plain
from ..deadlines.retry_budget import RetryBudgetSettings as FurtherTerms
from ..deadlines.settings import DeadlineSettings, Logs, MarginTerms
from ..membership.settings import MembershipSettings
from ..outlier_consensus.settings import OutlierConsensusSettings
from ..quotas.settings import LimitSettings, QuotaSettings
from ..startup.settings import StartupSettings
from .directives import MOST_CALLS, WORDS, BadWord, Draft

MOST_FILE = 4 << 20  # bytes of the file
MOST_MEMORY = 512 << 20  # bytes of address space of the process that reads it
MOST_SECONDS = 5.0  # of processor time there, and of waiting here
MOST_DEPTH = 100  # calls within calls
AT = re.compile(r" --> .*?:(\d+):\d+\n")


class OperatorFileError(Exception):
    """One line: ``FILE:LINE: key: problem``."""


@dataclass(frozen=True, slots=True)
class OperatorConfig:
    """What the operators' file says. A part of which it says nothing is None."""

    map: CellMap | None = None
    deadlines: DeadlineSettings | None = None
    logs: Logs | None = None
    start: StartupSettings | None = None
    members: MembershipSettings | None = None
    shares: QuotaSettings | None = None
    verdicts: OutlierConsensusSettings | None = None


def evaluate(path: str) -> OperatorConfig:
    """Read the file in another process; OperatorFileError says what is wrong with it, and where."""
    environ = {
        **os.environ,
        "PYTHONPATH": os.pathsep.join(
            [str(Path(__file__).parents[2]), *filter(None, [os.environ.get("PYTHONPATH")])]
        ),
    }
    try:
        done = subprocess.run(
            [sys.executable, "-m", "query_broker.operator_config.script", path],
            env=environ,
            capture_output=True,
            text=True,
            timeout=2 * MOST_SECONDS,
            check=False,
            stdin=subprocess.DEVNULL,
        )
    except subprocess.TimeoutExpired:
        raise OperatorFileError(
            f"{path}: evaluation: took longer than {2 * MOST_SECONDS:.0f} s"
        ) from None
    except OSError as error:
        raise OperatorFileError(f"{path}: evaluation: {error}") from None
    if done.returncode == 2:
        raise OperatorFileError(
            done.stdout.strip().replace("\n", " ") or f"{path}: evaluation: failed"
        )
    if done.returncode != 0:
        last = (done.stderr.strip().splitlines() or [f"ended with {done.returncode}"])[-1]
        raise OperatorFileError(
            f"{path}: evaluation: {'out of its bounds' if done.returncode < 0 else last}"
        )
    try:
        said = json.loads(done.stdout)
        return OperatorConfig(
            None if said["map"] is None else from_plain(said["map"]),
            None if said["deadlines"] is None else _deadlines(said["deadlines"]),
            None if said["logs"] is None else Logs(**said["logs"]),
            None if said["start"] is None else StartupSettings(**said["start"]),
            None if said["members"] is None else _members(said["members"]),
            None if said["shares"] is None else _shares(said["shares"]),
            None if said["verdicts"] is None else OutlierConsensusSettings(**said["verdicts"]),
        )
    except (ValueError, KeyError, TypeError, BadMap) as error:
        raise OperatorFileError(f"{path}: evaluation: {error}") from None


def _members(raw: dict[str, Any]) -> MembershipSettings:
    return MembershipSettings(**{**raw, "seeds": tuple(raw["seeds"])})


def _shares(raw: dict[str, Any]) -> QuotaSettings:
    return QuotaSettings(
        **{**raw, "limits": tuple(LimitSettings(**limit) for limit in raw["limits"])}
    )


def _deadlines(raw: dict[str, Any]) -> DeadlineSettings:
    further = raw["further"]
    if further is not None:
        further = FurtherTerms(**{**further, "classes": tuple(map(tuple, further["classes"]))})
    return DeadlineSettings(**{**raw, "margin": MarginTerms(**raw["margin"]), "further": further})


def run(path: str, text: str, stop: Callable[[], bool]) -> Draft:
    """All words of the text, in their order; OperatorFileError with file, line and key.

    A fault that shows only at the end is about an earlier word, whose place the interpreter tells
    only while it runs: the text, which does the same each time, is run again up to that word, which
    then fails.
    """
    draft = _run(path, text, stop, None)
    try:
        draft.finish()
        draft.shared()
    except BadWord as error:
        _run(path, text, stop, (error.call or draft.calls, str(error)))
        raise OperatorFileError(f"{path}: {error}") from None
    return draft


def _run(path: str, text: str, stop: Callable[[], bool], fail_at: tuple[int, str] | None) -> Draft:
    import starlark

    draft, module = Draft(), starlark.Module()

    def word(name: str, does: Callable[..., Any]) -> Callable[..., Any]:
        def call(*args: Any, **named: Any) -> Any:
            draft.calls += 1
            if draft.calls > MOST_CALLS:
                raise BadWord(f"{name}: more than {MOST_CALLS} words")
            if fail_at is not None and draft.calls == fail_at[0]:
                raise BadWord(fail_at[1])
            try:
                return does(draft, *args, **named)
            except TypeError as error:
                raise BadWord(f"{name}: {_without_draft(str(error))}") from None

        return call

    for name, does in WORDS.items():
        module.add_callable(name, word(name, does))
    dialect = starlark.Dialect.extended()
    dialect.enable_load = False
    try:
        tree = starlark.parse(path, text, dialect)
        starlark.eval_with(
            starlark.EvalOptions(check_cancelled=stop, max_callstack_size=MOST_DEPTH),
            module,
            tree,
            starlark.Globals.standard(),
        )
    except starlark.StarlarkError as error:
        raise OperatorFileError(_told(path, str(error))) from None
    return draft


def _without_draft(text: str) -> str:
    """Python's own words on arguments, which count the draft as well."""
    return re.sub(r"(takes|from|to|but) (\d+)", lambda m: f"{m[1]} {max(0, int(m[2]) - 1)}", text)


def _told(path: str, text: str) -> str:
    """One line of the interpreter's several."""
    error = next(
        (line for line in text.splitlines() if line.startswith("error: ")), text.splitlines()[0]
    )
    problem = error.removeprefix("error: ").removeprefix("BadWord: ")
    place = AT.search(text)
    where = f"{path}:{place[1]}" if place else path
    if re.match(r"[a-z_]+(\.[a-z_]+)?: ", problem):
        return f"{where}: {problem}"
    return f"{where}: script: {problem}"


def _main(path: str) -> int:
    resource.setrlimit(resource.RLIMIT_AS, (MOST_MEMORY, MOST_MEMORY))
    seconds = int(MOST_SECONDS)
    resource.setrlimit(resource.RLIMIT_CPU, (seconds, seconds + 1))
    end = time.monotonic() + MOST_SECONDS - 1
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read(MOST_FILE + 1)
        if len(text) > MOST_FILE:
            raise OperatorFileError(f"{path}: file: is longer than {MOST_FILE} characters")
        draft = run(path, text, lambda: time.monotonic() > end)
        map, deadlines, shares = draft.finish(), draft.deadline_terms(), draft.shared()
        print(
            json.dumps(
                {
                    "map": None if map is None else map.plain(),
                    "deadlines": None if deadlines is None else asdict(deadlines),
                    "logs": None if draft.logs is None else asdict(draft.logs),
                    "start": None if draft.start is None else asdict(draft.start),
                    "members": None if draft.members is None else asdict(draft.members),
                    "shares": None if shares is None else asdict(shares),
                    "verdicts": None if draft.verdicts is None else asdict(draft.verdicts),
                }
            )
        )
        return 0
    except OperatorFileError as error:
        print(error)
    except (OSError, UnicodeDecodeError) as error:
        print(f"{path}: file: {error}")
    except ImportError:
        print(f"{path}: file: needs the extra 'operators' (starlark-pyo3), which is not installed")
    except MemoryError:
        print(f"{path}: evaluation: takes more memory than it may")
    return 2


if __name__ == "__main__":
    sys.exit(_main(sys.argv[1]))
