"""Which modules may know each other, and that none knows a customer."""

from __future__ import annotations

import ast
import re
import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent


NETWORK_CODE = ("protocols", "discovery", "dispatch", "endpoints", "server")


def imported(path: Path) -> set[str]:
    """Absolute names of the modules, and of what it takes from them, that a module imports."""
    package = path.relative_to(ROOT).parent.parts
    found: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            parents = package[: len(package) - node.level + 1] if node.level else ()
            module = ".".join([*parents, *filter(None, [node.module])])
            found |= {module, *(f"{module}.{alias.name}" for alias in node.names)}
    return found


def test_network_code_sees_the_decisions_through_the_facade_alone() -> None:
    """A decision that slips into network code is one that the simulator never plays."""
    decisions, facade = "query_broker.decisions", "query_broker.decisions.facade"
    seen = 0
    for folder in NETWORK_CODE:
        for path in (ROOT / "query_broker" / folder).glob("*.py"):
            names = {name for name in imported(path) if name.startswith(decisions)}
            seen += facade in names
            assert {name for name in names if not name.startswith(facade)} <= {decisions}, path.name
            assert decisions not in names or facade in names, path.name
    assert seen > 3


def imports() -> dict[str, set[str]]:
    """What each module of the package imports, also for its types alone."""
    found: dict[str, set[str]] = {}
    for path in (ROOT / "query_broker").rglob("*.py"):
        name = ".".join(path.relative_to(ROOT).with_suffix("").parts).removesuffix(".__init__")
        found[name] = imported(path)
    return {name: of & found.keys() - {name} for name, of in found.items()}


def test_modules_form_no_circle() -> None:
    """Parts that know each other can't be tested, or used, alone."""
    graph = {name: of - {"query_broker"} for name, of in imports().items()}
    assert len(graph) > 70
    assert "query_broker.protocols.resp" in graph["query_broker.protocols.engine_connection"]
    while graph:
        leaves = [name for name, of in graph.items() if not of & graph.keys()]
        assert leaves, f"a circle among {sorted(graph)}"
        for name in leaves:
            del graph[name]


#: Of the deployments that the project is run at, and of the made-up ones under `deploy/sites`.
SITES = {"mombasa", "pwani", "ferry", "atlanta", "piedmont", "warehouse", "marietta"}
TENANTS = {
    "likoni-crossings",
    "lamu-island-boats",
    "kilifi-creek-ferries",
    "vanga-coast-boats",
    "likoni",
    "kilifi",
}
CLASSES = {"lookup", "report", "till-load", "load"}
#: Words of the settings, of cells, of the command line and of the interface of `config` (the
#: function that reads the file) that are spelled like a class.
OTHER_WORDS = {
    "query_broker/config/__init__.py": {"load"},
    "query_broker/config/schema.py": {"report"},
    "query_broker/simulator_adapter.py": {"report"},
    "query_broker/cli/cells.py": {"load"},
    "query_broker/cells/admin.py": {"load"},
    "query_broker/cells/planner.py": {"load"},
}


def named(path: Path) -> set[str]:
    """Names of customers in a file: of sites and tenants anywhere, of classes as whole texts."""
    text = path.read_text(encoding="utf-8")
    sites = (ROOT / "deploy" / "sites").glob("*-?.toml")
    made_up = [tomllib.loads(p.read_text(encoding="utf-8")) for p in sites]
    assert len(made_up) == 2
    anywhere = SITES | TENANTS | {site["name"] for site in made_up}
    whole = CLASSES | {
        part["name"] for site in made_up for key in ("class", "tenant") for part in site[key]
    }
    found = {word for word in anywhere if re.search(rf"\b{word}\b", text, re.I)}
    return found | (whole & set(re.findall(r"""["']([\w-]+)["']""", text)))


def test_no_name_of_a_customer_stands_in_the_program() -> None:
    """Danger: what goes by the name of a class, a tenant or a site serves one deployment alone."""
    for path in [ROOT / "deploy" / "balancer.toml", *(ROOT / "query_broker").rglob("*.py")]:
        name = path.relative_to(ROOT).as_posix()
        assert named(path) <= OTHER_WORDS.get(name, set()), f"{name}: {named(path)}"


def test_the_search_for_names_finds_them(tmp_path: Path) -> None:
    for text in (
        "if route == 'till-load':",
        'x = "weigh-in"',
        "# as at Pwani",
        'T = "north-basin"',
    ):
        (tmp_path / "x.py").write_text(text)
        assert named(tmp_path / "x.py"), text
