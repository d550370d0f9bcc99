"""Start of the programs: what they load, when they listen, and what that costs."""

from __future__ import annotations

import subprocess
import sys

from hyssopway_standins.program_start import REPOSITORY

PATHS = [str(REPOSITORY / "src"), str(REPOSITORY / "platform")]


def loaded_modules(module):
    code = f"import sys; sys.path[:0] = {PATHS}; import {module}; print(*sys.modules)"
    result = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    return set(result.stdout.split())


def belonging(modules, *packages):
    return sorted(name for name in modules if name.startswith(tuple(f"{package}." for package in packages)))


def test_entry_loads_only_what_it_runs():
    """Guards against an import that makes every start of an entry slower and larger."""
    modules = loaded_modules("hyssopway_platform.entry_program")
    assert not {"hyssopway.agreement", "hyssopway.control"} & modules
    assert not belonging(modules, "hyssopway.agreement", "hyssopway.control")
    unused = {"hyssopway.workflow", "hyssopway.dispatch", "hyssopway.node", "pydantic", "pydantic_core"}
    unused |= {
        "loguru",
        "hdrh",
        "expression",
        "aiohttp.client",
        "aiohttp.connector",
        "hyssopway.peer.conversion",
    }
    assert not unused & modules


def test_control_node_loads_no_code_of_the_first_job_path():
    """Guards against building the codecs of commands that the platform's programs never use."""
    modules = loaded_modules("hyssopway_platform.control_program")
    assert not belonging(modules, "hyssopway.control", "hyssopway.document", "hyssopway.job")


def test_deferred_package_is_complete_for_other_users():
    """Guards against a module that needs the client half of aiohttp and does not get it."""
    code = (
        f"import sys; sys.path[:0] = {PATHS}\n"
        "import hyssopway_platform.entry_program, aiohttp\n"
        "from aiohttp import web, ClientSession\n"
        "assert web is aiohttp.web and ClientSession is aiohttp.client.ClientSession\n"
        "assert set(aiohttp.__all__) <= set(dir(aiohttp)) | {'GunicornWebWorker', 'GunicornUVLoopWebWorker'}\n"
        "try: aiohttp.no_such_name\n"
        "except AttributeError: pass\n"
        "else: raise AssertionError\n"
    )
    subprocess.run([sys.executable, "-c", code], check=True)
