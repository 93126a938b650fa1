#!/bin/sh
# Run one case with the libraries that the build command of the deploy file
# installs, or else with those of the development environment.
# Usage: run.sh FOLDER
root=$(cd "$(dirname "$0")/.." && pwd)
deps="$root/target/deps"
[ -d "$deps/aiohttp" ] || deps=$(ls -d "$root"/.venv/lib/python3*/site-packages 2>/dev/null | head -n 1)
if [ -z "$deps" ]; then
    echo "the libraries are missing: run the build command of deploy/system.toml" >&2
    exit 2
fi
REVIEW_DEPS=$deps PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="$deps:$root/review" \
    exec python3 "$1/case.py"
