"""Start of the programs: what they load, when they listen, and what that costs."""

from __future__ import annotations

import importlib
import statistics
import subprocess
import sys

import pytest
from pydantic import TypeAdapter

from hyssopway.agreement import Configuration
from hyssopway.agreement.vote import Vote
from hyssopway.lazy_adapter import LazyAdapter
from hyssopway_standins.program_start import REPOSITORY, measure_bare_import, measure_start

STARTS = 5
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
    assert not {"pydantic", "loguru", "hdrh", "aiohttp.client", "aiohttp.connector"} & modules
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


@pytest.mark.parametrize(("role", "most"), [("entry", 1.5), ("control", 2.0)])
def test_program_accepts_a_connection_soon_after_its_start(role, most, tmp_path):
    """Guards against a slow start, in which callers find no entry after all processes have been killed.

    No other node runs, so this also guards against a program that listens only once it knows a leader. The bounds
    are those of `docs/design/hard-load.md`, in CPU time of a bare import of aiohttp.web in the same minute.
    """
    starts, imports = [], []
    for number in range(STARTS):
        folder = tmp_path / str(number)
        folder.mkdir()
        imports.append(measure_bare_import())
        starts.append(measure_start(role, folder=folder, settle_s=0).cpu_s)
    ratio = statistics.median(starts) / statistics.median(imports)
    assert ratio <= most, (starts, imports)


def test_deferred_loading_covers_what_a_leader_uses():
    """Guards against a leader that imports modules or builds codecs in the middle of its first decisions."""
    code = (
        f"import sys; sys.path[:0] = {PATHS}\n"
        "import hyssopway_platform.control_program\n"
        "from hyssopway_platform.deferred_loading import load_deferred\n"
        "import asyncio; asyncio.run(load_deferred())\n"
        "from hyssopway.dispatch import MachineCallError\n"
        "from hyssopway_platform.machine_client import MachineClient\n"
        "async def call():\n"
        "    client = MachineClient(address='127.0.0.1:1', holder='node-1')\n"
        "    client.open()\n"
        "    try: await client.list_machines()\n"
        "    except MachineCallError: pass\n"
        "    else: raise AssertionError\n"
        "loaded = set(sys.modules)\n"
        "asyncio.run(call())\n"
        "print(*set(sys.modules) - loaded)\n"
        "from hyssopway.lazy_adapter import LazyAdapter\n"
        "import gc\n"
        "print(*(one.kind for one in gc.get_objects() if type(one) is LazyAdapter and one.adapter is None))\n"
    )
    result = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert result.stdout.split() == []


@pytest.mark.parametrize("package", ["hyssopway.peer", "hyssopway.http", "hyssopway.dispatch"])
def test_every_export_of_a_lazy_package_can_be_imported(package):
    """Guards against an exported name that fails only when a program first uses it."""
    module = importlib.import_module(package)
    assert all(getattr(module, name) is not None for name in module.__all__)
    with pytest.raises(AttributeError, match="no_such_name"):
        _ = module.no_such_name


@pytest.mark.parametrize(
    "value",
    [
        Configuration(),
        Configuration(voters=("10.0.0.1/ab", "é/1"), learners=('"/\\n',)),
        Vote(member_id="a/1"),
        Vote(member_id="a/1", term=2**40, voted_for="b/é", initial=Configuration(voters=("a/1",)).encode()),
    ],
)
def test_small_durable_values_keep_the_encoding_of_earlier_releases(value):
    """Guards against a member that cannot read the vote or the configuration that another release wrote."""
    adapter = TypeAdapter(type(value))
    assert value.encode() == adapter.dump_json(value)
    assert type(value).decode(adapter.dump_json(value)) == value


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"[]",
        b"null",
        b"\xff",
        b"[" * 100_000,
        b'{"voters":"a"}',
        b'{"voters":[1]}',
        b'{"member_id":1}',
        b"{",
    ],
)
def test_invalid_durable_value_is_a_value_error(data):
    """Guards against an unexpected exception for a damaged configuration or vote of a peer."""
    for kind in (Configuration, Vote):
        if kind is Configuration and b"member_id" in data:
            continue  # fields that a configuration does not have are ignored
        with pytest.raises(ValueError):
            kind.decode(data)


def test_adapter_is_built_once_and_on_first_use():
    """Guards against building an adapter at import, or again for every message."""
    adapter: LazyAdapter[list[int]] = LazyAdapter(list[int])
    assert adapter.adapter is None
    assert adapter.get() is adapter.get()
    assert adapter.get().validate_json(b"[1]") == [1]
