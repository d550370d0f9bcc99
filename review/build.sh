#!/bin/sh
# Builds the stand-ins of the cases: they are Python, so this compiles them and checks that their libraries, which the
# build of the deploy file has installed, are there.
set -e
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:review/lib python3 -c 'import cluster, standins, run'
