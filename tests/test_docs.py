"""Documentation: relative links resolve, and the tests named in the failure tables exist."""

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PAGES = sorted([*ROOT.glob("*.md"), *(ROOT / "docs").rglob("*.md")])
LINK = re.compile(r"\]\(([^)\s]+)\)")
NAMED_TEST = re.compile(r"`(test_\w+)::(\w+)(?:::(\w+))?`")


def heading_ids(page: Path) -> set[str]:
    headings = re.findall(r"^#+ (.+)$", page.read_text(), re.MULTILINE)
    return {re.sub(r"[^\w\- ]", "", each.lower()).replace(" ", "-") for each in headings}


def broken_links(page: Path) -> list[str]:
    broken = []
    for link in LINK.findall(page.read_text()):
        if "://" in link or link.startswith("mailto:"):
            continue
        name, _, anchor = link.partition("#")
        target = page.parent / name if name else page
        if not target.exists() or (anchor and anchor not in heading_ids(target)):
            broken.append(link)
    return broken


def names_in(file: Path) -> set[str]:
    """Return classes, functions and `class::function` of a test file."""
    names = set()
    for node in ast.parse(file.read_text()).body:
        match node:
            case ast.ClassDef(name=name, body=body):
                names.add(name)
                names |= {f"{name}::{each}" for each in functions_of(body)}
    return names | functions_of(ast.parse(file.read_text()).body)


def functions_of(body: list[ast.stmt]) -> set[str]:
    return {each.name for each in body if isinstance(each, ast.FunctionDef | ast.AsyncFunctionDef)}


class TestPages:
    @pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))
    def test_relative_links_lead_somewhere(self, page: Path) -> None:
        assert broken_links(page) == []

    def test_a_broken_link_is_noticed(self, tmp_path: Path) -> None:
        page = tmp_path / "page.md"
        page.write_text("# One\n[a](page.md#one) [b](gone.md) [c](#two) [d](https://x.invalid/)")
        assert broken_links(page) == ["gone.md", "#two"]


class TestFailureTable:
    @pytest.mark.parametrize(("page", "least"), [("guide/failures.md", 50), ("FAULTS.md", 20)])
    def test_names_only_tests_that_exist(self, page: str, least: int) -> None:
        text = (ROOT / "docs" / page).read_text()
        named = NAMED_TEST.findall(text)
        assert len(named) > least
        missing = []
        for file, *parts in named:
            path = ROOT / "tests" / f"{file}.py"
            name = "::".join(filter(None, parts))
            if not path.exists() or name not in names_in(path):
                missing.append(f"{file}::{name}")
        assert missing == []

    def test_every_row_names_a_test_or_says_that_there_is_none(self) -> None:
        text = (ROOT / "docs" / "guide" / "failures.md").read_text()
        rows = [line for line in text.splitlines() if line.startswith("| ")]
        headings = ("| what fails", "| what always holds")
        bare = [
            row
            for row in rows
            if not row.startswith(headings) and not NAMED_TEST.search(row) and "no test" not in row
        ]
        assert bare == []
