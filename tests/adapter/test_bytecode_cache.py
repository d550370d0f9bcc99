"""Bytecode of the programs below `target/`."""

from __future__ import annotations

import shutil
import subprocess
import sys

import pytest

from hyssopway_standins.program_start import REPOSITORY

PREPARE = """
import sys
sys.dont_write_bytecode = True
sys.path[:0] = ["{folder}/src", "{folder}/platform"]
import bytecode_cache
compiled = []
original = bytecode_cache.CachedSourceLoader.source_to_code
def compile_source(loader, data, path, **options):
    compiled.append(loader.name)
    return original(loader, data, path, **options)
bytecode_cache.CachedSourceLoader.source_to_code = compile_source
bytecode_cache.use_cached_bytecode()
import hyssopway_platform.entry_program
"""


@pytest.fixture
def checkout(tmp_path):
    for name in ("src", "platform"):
        ignored = shutil.ignore_patterns("__pycache__", "hyssopway_standins", "*.egg-info")
        shutil.copytree(REPOSITORY / name, tmp_path / name, ignore=ignored)
    subprocess.run([sys.executable, "platform/bytecode_cache.py"], cwd=tmp_path, check=True)
    return tmp_path


def run(folder, code):
    command = [sys.executable, "-c", PREPARE.format(folder=folder) + code]
    result = subprocess.run(command, cwd=folder, capture_output=True, text=True, check=True)
    return result.stdout.split()


def test_programs_compile_nothing_after_the_build(checkout):
    """Guards against a start that compiles the modules again because `__pycache__` cannot be written."""
    assert run(checkout, "print(*compiled)") == []
    assert list((checkout / "src").rglob("*.pyc")) == []


def test_copied_checkout_uses_its_bytecode(checkout, tmp_path):
    """Guards against bytecode that is only valid in the folder, or at the file times, of the build."""
    copied = tmp_path / "copied"
    for name in ("src", "platform", "target"):
        shutil.copytree(checkout / name, copied / name, copy_function=shutil.copyfile)
    assert run(copied, "print(*compiled)") == []
    path = run(copied, "print(hyssopway_platform.entry_program.EntryProgram.start.__code__.co_filename)")
    assert path == [str(copied / "platform" / "hyssopway_platform" / "entry_program.py")]


def test_changed_source_is_compiled_again(checkout):
    """Guards against running an old program after its source has changed without a build."""
    source = checkout / "src" / "hyssopway" / "clock" / "__init__.py"
    source.write_text(source.read_text() + "\nCHANGED = 1\n")
    code = "import hyssopway.clock; print(*compiled, hyssopway.clock.CHANGED)"
    assert run(checkout, code) == ["hyssopway.clock", "1"]


@pytest.mark.parametrize("damage", ["missing", "cut", "empty", "zeros"])
def test_program_starts_without_valid_bytecode(checkout, damage):
    """Guards against a program that does not start because a file below `target/` is missing or damaged.

    A block of zeros, as a power loss may leave, can be valid for the decoder and is then executed.
    """
    for path in (checkout / "target" / "bytecode").rglob("clock/*.pyc"):
        data = path.read_bytes()
        if damage == "missing":
            path.unlink()
        elif damage == "zeros":
            # Code of the module: the first bytes object, which follows the header and five integers.
            path.write_bytes(data[:42] + bytes(32) + data[74:])
        else:
            path.write_bytes(data[:30] if damage == "cut" else b"")
    assert run(checkout, "print(*compiled)") == ["hyssopway.clock"]


def test_build_beside_another_leaves_complete_files(checkout):
    """Guards against two builds at the same time that write the same unfinished file."""
    command = [sys.executable, "platform/bytecode_cache.py"]
    builds = [subprocess.Popen(command, cwd=checkout, stdout=subprocess.DEVNULL) for _ in range(2)]
    assert [build.wait(timeout=60) for build in builds] == [0, 0]
    assert run(checkout, "print(*compiled)") == []
    files = [path for path in (checkout / "target" / "bytecode").rglob("*") if path.is_file()]
    assert {path.suffix for path in files} == {".pyc"}
