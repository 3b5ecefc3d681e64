"""Docstrings name attributes, parameters and exceptions that are there."""

from __future__ import annotations

import ast
import builtins
import importlib
import re
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

import pytest

ROOT = Path(__file__).parents[1]
PACKAGE = ROOT / "query_broker"
SECTION = re.compile(r"^(Args|Attributes|Raises|Returns|Yields):$")
ENTRY = re.compile(r"^    (\*{0,2}[A-Za-z_][\w., ]*)(?: \([^)]*\))?: ")
FunctionNode = ast.FunctionDef | ast.AsyncFunctionDef


class Module(NamedTuple):
    """A module's path below the package, and its syntax tree."""

    name: str
    tree: ast.Module


MODULES = [
    Module(path.relative_to(PACKAGE).as_posix(), ast.parse(path.read_text(encoding="utf-8")))
    for path in sorted(PACKAGE.rglob("*.py"))
]
CLASSES = {
    node.name: node
    for module in MODULES
    for node in ast.walk(module.tree)
    if isinstance(node, ast.ClassDef)
}


def entries(docstring: str | None, wanted_section: str) -> Iterator[str]:
    """Return the names that a section of a docstring lists."""
    section = ""
    for line in (docstring or "").splitlines():
        heading = SECTION.match(line)
        if heading is not None:
            section = heading.group(1)
            continue
        entry = ENTRY.match(line)
        if section == wanted_section and entry is not None:
            for name in re.split(r",? and |, ", entry.group(1)):
                yield name.lstrip("*")


def inline_entries(docstring: str | None) -> Iterator[str]:
    """Return the names that stand as `name`: with an explanation behind the colon."""
    yield from re.findall(r"`([a-z_]+)`{1,2}:", docstring or "")


def attribute_names(node: ast.ClassDef) -> set[str]:
    """Return all that instances of a class have: fields, methods, what methods assign, bases'."""
    names: set[str] = set()
    for child in ast.walk(node):
        match child:
            case ast.Attribute(value=ast.Name(id="self"), attr=name):
                names.add(name)
            case ast.AnnAssign(target=ast.Name(id=name)):
                names.add(name)
            case ast.Assign(targets=[ast.Name(id=name)]):
                names.add(name)
            case ast.FunctionDef(name=name):
                names.add(name)
    for base in node.bases:
        base_name = base.id if isinstance(base, ast.Name) else getattr(base, "attr", "")
        if base_name in CLASSES and CLASSES[base_name] is not node:
            names |= attribute_names(CLASSES[base_name])
    return names


def is_class(name: str) -> bool:
    """Return whether a name is a class of the package, a builtin, or one of a standard module."""
    module, _, class_name = name.rpartition(".")
    if module:
        return hasattr(importlib.import_module(module), class_name)
    return name in CLASSES or name in dir(builtins)


def parameter_names(node: FunctionNode) -> set[str]:
    """Return the parameters of a function."""
    arguments = node.args
    ordinary = [*arguments.posonlyargs, *arguments.args, *arguments.kwonlyargs]
    variadic = [argument for argument in (arguments.vararg, arguments.kwarg) if argument]
    return {argument.arg for argument in [*ordinary, *variadic]}


@pytest.mark.parametrize("module", MODULES, ids=lambda module: module.name)
def test_each_attribute_that_a_class_lists_is_one_of_it(module: Module) -> None:
    for node in ast.walk(module.tree):
        if isinstance(node, ast.ClassDef):
            docstring = ast.get_docstring(node)
            listed = {*entries(docstring, "Attributes"), *inline_entries(docstring)}
            assert listed - attribute_names(node) == set(), f"{node.name}, line {node.lineno}"


@pytest.mark.parametrize("module", MODULES, ids=lambda module: module.name)
def test_each_argument_that_a_function_lists_is_a_parameter(module: Module) -> None:
    for node in ast.walk(module.tree):
        if isinstance(node, FunctionNode):
            listed = set(entries(ast.get_docstring(node), "Args"))
            assert listed - parameter_names(node) == set(), f"{node.name}, line {node.lineno}"


@pytest.mark.parametrize("module", MODULES, ids=lambda module: module.name)
def test_each_argument_that_a_class_lists_is_a_parameter_of_its_constructor(
    module: Module,
) -> None:
    for node in ast.walk(module.tree):
        if not isinstance(node, ast.ClassDef):
            continue
        parameters = attribute_names(node)  # those of a dataclass are its fields
        for child in node.body:
            if isinstance(child, ast.FunctionDef) and child.name == "__init__":
                parameters = parameter_names(child)
        listed = set(entries(ast.get_docstring(node), "Args"))
        assert listed - parameters == set(), f"{node.name}, line {node.lineno}"


@pytest.mark.parametrize("module", MODULES, ids=lambda module: module.name)
def test_each_exception_that_a_docstring_lists_is_a_class(module: Module) -> None:
    for node in ast.walk(module.tree):
        if isinstance(node, FunctionNode | ast.ClassDef):
            listed = set(entries(ast.get_docstring(node), "Raises"))
            unknown = {name for name in listed if not is_class(name)}
            assert unknown == set(), f"{node.name}, line {node.lineno}"
