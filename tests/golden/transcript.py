"""Transcript of a session, compared with a golden file."""

from __future__ import annotations

import re
from pathlib import Path

GOLDEN_FOLDER = Path(__file__).parent

# Replacements of values that differ between runs. Order matters: longer patterns first.
_REPLACEMENTS = (
    (r"hk_[0-9a-f]{12}_[0-9a-f]{48}", "<key>"),
    (r"\b[0-9a-f]{64}\b", "<digest>"),
    (r"\b[0-9a-f]{24,32}\b", "<id>"),
    (r"\b[0-9a-f]{12}\b", "<short>"),
    (r"\d{4}-\d\d-\d\d \d\d:\d\d:\d\dZ", "<time>         "),
    (r"\b1\d{12}\b", "<ms>"),
    (r"http://127\.\d+\.\d+\.\d+:\d+", "<url>"),
    (r"after \d+\.\d s", "after <s> s"),
    (r"\bwave-\d+\b", "<wave>"),
    (r"\bindex: \d+", "index: <n>"),
    (r'("at_ms": )\d+', r"\1<ms>"),
    (r'("boot_id": ")[0-9a-f]+', r"\1<boot>"),
    (r"(pause by ana +\d+ +)\d+ +(.*-) +\d+", r"\1<ms>  \2  <ms>"),
    # The leader and the replication progress of the members differ between runs.
    (r"\b(?:leader|follower) {2,}", "<role>  "),
    (r"^((?:\w+-\d/\w+) .*(?:True|False)) .*", r"\1 <progress>"),
    # The other fields of a job depend on how soon it is scheduled.
    (r'("accepted_index":) ?\d+.*', r"\1<n>..."),
    (r"run (\d+) on [\w-]+-vm-\d+[^\"]*", r"run \1 on <vm>"),
)


class Transcript:
    """Steps of a session and their results, with varying values replaced by placeholders."""

    def __init__(self) -> None:
        self.lines: list[str] = []

    def add(self, step: str, *results: str) -> None:
        """Appends one step and its results."""
        self.lines.append(f"$ {_normalise(step)}")
        for result in results:
            self.lines += [f"  {line}".rstrip() for line in _normalise(result).splitlines()]

    def compare(self, name: str, *, rewrite: bool) -> None:
        """Compares the transcript with a golden file; rewrites the file first if asked to."""
        path = GOLDEN_FOLDER / f"{name}.golden"
        text = "\n".join(self.lines) + "\n"
        if rewrite:
            path.write_text(text)
        assert text == path.read_text(), f"rewrite {path.name} by --rewrite-golden if the change is wanted"


def _normalise(text: str) -> str:
    for pattern, replacement in _REPLACEMENTS:
        text = re.sub(pattern, replacement, text, flags=re.MULTILINE)
    return text
