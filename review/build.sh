#!/bin/bash
# Builds the stand-ins of the cases, which are Python modules of this folder alone.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 -m compileall -q review ringseam
