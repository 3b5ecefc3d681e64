"""The on-call page names log lines, metrics and modules that are in the code."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

import pytest

ROOT = Path(__file__).parents[1]
PACKAGE = ROOT / "query_broker"
PAGE = (ROOT / "docs" / "ON-CALL.md").read_text(encoding="utf-8")

LOG_METHODS = ("log", "_log")
# What the page writes in place of a number, a name or an address, and what it leaves out.
PLACEHOLDERS = re.compile(r"\bN\b|\bX\b|\bUID\b|\bADDRESS\b|\bNAME\b|\bTENANT\b|\bCELL\b|\.\.\.|'")
MIN_FRAGMENT_LENGTH = 4
KINDS_HEADING = "### Kinds of log lines"
SYMPTOMS_HEADING = "## From a symptom to the code"
METRIC_PREFIXES = ("edge_proxy_", "larchhall_")


class Row(NamedTuple):
    """A row of a table of the page, by its cells."""

    cells: tuple[str, ...]

    def quoted(self, cell: int) -> list[str]:
        """Return what stands in backticks in a cell."""
        return re.findall(r"`([^`]+)`", self.cells[cell])


def table_after(heading: str) -> list[Row]:
    """Return the rows of the first table after a heading, without its head."""
    lines = PAGE[PAGE.index(heading) :].splitlines()
    begin = next(number for number, line in enumerate(lines) if line.startswith("|"))
    rows = []
    for line in lines[begin + 2 :]:
        if not line.startswith("|"):
            break
        rows.append(Row(tuple(cell.strip() for cell in line.strip("|").split("|"))))
    return rows


def module_texts(path: Path) -> str:
    """Return all literal texts of a module, also those within f-strings."""
    tree = ast.parse(path.read_text(encoding="utf-8"))
    nodes = [node for node in ast.walk(tree) if isinstance(node, ast.Constant)]
    return "\n".join(str(node.value) for node in nodes if isinstance(node.value, str))


def logged_kinds() -> Iterator[tuple[str, str]]:
    """Return each kind that a module writes as a literal, with the module."""
    for path in sorted(PACKAGE.rglob("*.py")):
        module = path.relative_to(PACKAGE).as_posix()
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if not isinstance(node, ast.Call) or len(node.args) != 2:
                continue
            name = getattr(node.func, "attr", getattr(node.func, "id", ""))
            kind = node.args[0]
            if name in LOG_METHODS and isinstance(kind, ast.Constant):
                yield str(kind.value), module


NAMED_MODULES = set(re.findall(r"`([a-z_/]+(?:\.py|/))`", PAGE)) - {"query_broker/"}
ALL_TEXTS = {text for path in PACKAGE.rglob("*.py") for text in module_texts(path).splitlines()}
SYMPTOM_ROWS = table_after(SYMPTOMS_HEADING)
KIND_ROWS = table_after(KINDS_HEADING)


@pytest.mark.parametrize("module", sorted(NAMED_MODULES))
def test_each_module_of_the_page_exists(module: str) -> None:
    assert (PACKAGE / module).exists()


@pytest.mark.parametrize("row", SYMPTOM_ROWS, ids=lambda row: row.cells[0])
def test_each_log_line_of_a_symptom_is_written_in_the_module_beside_it(row: Row) -> None:
    modules = [PACKAGE / name for name in row.quoted(3) if name.endswith(".py")]
    texts = "\n".join(module_texts(module) for module in modules)
    for line in row.quoted(2):
        _, _, text = line.partition(": ")
        for fragment in PLACEHOLDERS.split(text):
            wanted = fragment.strip(" :();,")
            if len(wanted) >= MIN_FRAGMENT_LENGTH:
                assert wanted in texts, line


def is_metric(name: str) -> bool:
    """Return whether a metric's name is a text of the code, or joined of two of its texts."""
    if any(name in text for text in ALL_TEXTS):
        return True
    words = name.split("_")
    for at in range(2, len(words)):
        prefix = "_".join(words[:at])
        rest = "_".join(words[at:])
        has_prefix = not ALL_TEXTS.isdisjoint({prefix, f"{prefix}_"})
        has_rest = not ALL_TEXTS.isdisjoint({rest, f"_{rest}", rest.removesuffix("_total")})
        if has_prefix and (has_rest or any(text.startswith(f"_{rest}") for text in ALL_TEXTS)):
            return True
    return False


@pytest.mark.parametrize("row", SYMPTOM_ROWS, ids=lambda row: row.cells[0])
def test_each_metric_of_a_symptom_is_in_the_code(row: Row) -> None:
    for quoted in row.quoted(1):
        name = re.sub(r"\{.*|\*$", "", quoted)
        is_complete = name.startswith(METRIC_PREFIXES)
        assert is_metric(name if is_complete else f"edge_proxy_{name}"), name


def test_the_table_of_kinds_names_each_kind_and_the_modules_that_write_it() -> None:
    listed = {
        (kind, module)
        for row in KIND_ROWS
        for kind in row.quoted(0)
        for module in row.quoted(1)
        if module.endswith(".py")
    }
    missing = {pair for pair in logged_kinds() if pair not in listed}
    assert missing == set()


def test_no_kind_of_the_table_is_unknown_to_its_modules() -> None:
    for row in KIND_ROWS:
        for module in row.quoted(1):
            if module.endswith(".py"):
                texts = module_texts(PACKAGE / module).splitlines()
                for kind in row.quoted(0):
                    assert kind in texts, f"{kind} in {module}"
