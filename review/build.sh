#!/bin/sh
# The stand-ins of the cases are Python without dependencies; this compiles them.
cd "$(dirname "$0")/.." && python3 -m compileall -q review
