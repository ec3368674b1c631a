"""The pages in docs/ must agree with the code."""

import ast
import configparser
import re
from fnmatch import fnmatchcase
from pathlib import Path

from wheatslipd.telemetry.metrics import Metrics

ROOT = Path(__file__).parent.parent
DOCS = ROOT / "docs"
LIBRARY = ROOT / "packages/wheatslip/wheatslip"
DAEMON = ROOT / "packages/wheatslipd/wheatslipd"


def test_the_embedding_example_runs():
    text = (DOCS / "EMBEDDING.md").read_text()
    (code,) = re.findall(r"```python\n(.*?)```", text, re.DOTALL)
    printed = []
    exec(code, {"print": printed.append})
    assert "Answered(status=200)" in str(printed)


def test_every_metric_is_in_the_operations_page():
    text = (DOCS / "OPERATIONS.md").read_text()
    metrics = Metrics("papers-1", "wien-a")
    for name in metrics.registry.collectors:
        short = name.removeprefix("wheatslip")
        assert name in text or short in text, name


def logged_events():
    """The names of all events that the daemon and the adapter log."""
    events = set()
    for folder in (DAEMON, ROOT / "platform"):
        for path in folder.rglob("*.py"):
            for node in ast.walk(ast.parse(path.read_text())):
                if isinstance(node, ast.Call) and ast.unparse(node.func).startswith("logs."):
                    events |= {a.value for a in node.args[:1] if isinstance(a, ast.Constant)}
    return events


def first_column(text, header):
    """The first cells of the table whose header row starts with `header`."""
    table = text[text.index(f"| {header} |") :].split("\n\n")[0]
    return [line.split("|")[1] for line in table.splitlines()[2:]]


def test_every_event_of_the_operations_page_is_logged():
    text = (DOCS / "OPERATIONS.md").read_text()
    named = {
        name
        for cell in first_column(text, "event")
        for name in re.findall(r"`([a-z-]+)`", cell)
    }
    assert named
    assert named <= logged_events(), named - logged_events()


def test_every_logged_event_is_in_the_operations_page():
    text = (DOCS / "OPERATIONS.md").read_text()
    for event in logged_events() - {"older-bundle-ignored", "older-zone-drains-ignored"}:
        assert f"`{event}`" in text, event


def test_every_metric_of_the_operations_page_exists():
    text = (DOCS / "OPERATIONS.md").read_text()
    existing = set(Metrics("papers-1", "wien-a").registry.collectors)
    assert set(re.findall(r"`(wheatslip_[a-z_]+)`", text)) <= existing


def test_every_module_of_the_architecture_page_exists():
    text = (DOCS / "ARCHITECTURE.md").read_text()
    named = set(re.findall(r"`([a-z]+/[a-z]*)`", text))
    assert named
    for name in named:
        paths = [folder / name for folder in (LIBRARY, DAEMON, ROOT)]
        assert any(p.is_dir() or p.with_suffix(".py").is_file() for p in paths), name


def test_every_setting_of_the_operations_page_exists():
    text = (DOCS / "OPERATIONS.md").read_text()
    defaults = configparser.ConfigParser(interpolation=None)
    defaults.read(DAEMON / "default.ini")
    named = re.findall(r"`\[([a-z]+)\]\s([a-z-]+)(?: = [^`]*)?`", text)
    assert named
    for section, key in named:
        assert defaults.has_option(section, key), (section, key)


def test_every_module_of_the_embedding_page_exists():
    text = (DOCS / "EMBEDDING.md").read_text()
    for cell in re.findall(r"^\| [a-z ]+ \| (`[^|]*`) \|", text, re.MULTILINE):
        for name in re.findall(r"`([a-z.]+)`", cell):
            path = LIBRARY / name.replace(".", "/")
            assert path.is_dir() or path.with_suffix(".py").is_file(), name


def test_every_test_that_the_pages_name_exists():
    files = list((ROOT / "test").glob("test_*.py"))
    existing = {path.name for path in files}
    for path in files:
        existing |= set(re.findall(r"def (test_\w+)\(", path.read_text()))
    for page in ("INVARIANTS.md", "PLATFORM.md"):
        named = set(re.findall(r"`(?:test/)?(test_[\w.]+\*?)`", (DOCS / page).read_text()))
        assert named, page
        for name in named:
            matches = [test for test in existing if fnmatchcase(test, name)]
            assert matches, (page, name)
