#!/bin/sh
# Prepares what the cases need after the build of the deploy file: the libraries that the project lists for its tier,
# and the bytecode of the stand-ins, which use the standard library alone.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -c "import click, google.protobuf, numpy, structlog" 2>/dev/null ||
    .venv/bin/pip -q install --disable-pip-version-check -r requirements-lab.txt
.venv/bin/python -m compileall -q --invalidation-mode checked-hash paddlequay review
