"""TLS on the HTTP ports and between daemons."""

from __future__ import annotations

import asyncio
import json
import shutil
import subprocess
import sys
import time

import pytest

from hyssopway_standins.processes import Deployment

OPENSSL = shutil.which("openssl")


def make_certificates(folder, hosts: list[str]) -> dict[str, str]:
    """Creates a certificate authority and one certificate for all hosts."""
    names = ",".join(f"IP:{host}" for host in hosts)
    (folder / "extensions").write_text(f"subjectAltName={names}\n")
    commands = [
        "req -x509 -newkey rsa:2048 -nodes -days 2 -subj /CN=authority -keyout ca.key -out ca.pem",
        "req -newkey rsa:2048 -nodes -subj /CN=daemon -keyout own.key -out own.csr",
        "x509 -req -in own.csr -CA ca.pem -CAkey ca.key -CAcreateserial -days 2 -extfile extensions -out own.pem",
    ]
    for command in commands:
        subprocess.run([OPENSSL, *command.split()], cwd=folder, check=True, capture_output=True)
    paths = {"certificate": "own.pem", "private_key": "own.key", "authority": "ca.pem"}
    return {name: str(folder / path) for name, path in paths.items()}


def run_status(urls: list[str], *options: str) -> subprocess.CompletedProcess[str]:
    entries = [part for url in urls for part in ("--entry", url)]
    command = [sys.executable, "-m", "hyssopway.cli.run", *entries, *options]
    return subprocess.run([*command, "status", "--json"], capture_output=True, text=True, check=False)


@pytest.mark.skipif(OPENSSL is None, reason="the openssl command is not installed")
async def test_daemons_replicate_and_serve_over_tls(tmp_path):
    """Guards against TLS settings that are read but not applied."""
    overrides = {"tls": dict.fromkeys(("certificate", "private_key", "authority"), "x")}
    deployment = Deployment.prepare(name="pantry", folder=tmp_path, overrides=overrides)
    daemons = list(deployment.daemons.values())
    tls = make_certificates(tmp_path, [daemon.own["host"] for daemon in daemons])
    for daemon in daemons:
        daemon.settings_path.write_text(json.dumps(daemon.settings | {"tls": tls}))
    options = ["--token", deployment.operator_token, "--authority", tls["authority"]]
    urls = [daemon.url for daemon in daemons]
    deployment.start()
    try:
        deadline = time.monotonic() + 20
        while True:
            found = await asyncio.to_thread(run_status, urls, *options)
            states = json.loads(found.stdout)["daemons"] if found.returncode == 0 else []
            if states and all(state.get("confirmed") for state in states):
                break
            assert time.monotonic() < deadline, found
        plain_urls = [url.replace("https", "http") for url in urls]
        assert run_status(plain_urls, *options).returncode == 5
        assert run_status(urls, *options[:2]).returncode == 5
    finally:
        deployment.stop()
