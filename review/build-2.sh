#!/bin/sh
# After the deploy file's `build`: what the nodes of a hierarchy and the discovery settings need beside the router (the
# project's own list), and the stand-ins of the cases 6 to 10, which need nothing more.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -c "import click, dns, google.protobuf, lark, msgpack, structlog" 2>/dev/null ||
    .venv/bin/pip -q install -r requirements-lab.txt
.venv/bin/python -m compileall -q review/second
