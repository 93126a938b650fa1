#!/bin/sh
# Checks that what the cases 9 to 13 start is there and compiles. The stand-ins
# use the libraries that the build of the deploy file has put into target/deps.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=target/deps PYTHONDONTWRITEBYTECODE=1 exec python3 - <<'PYTHON'
import pathlib

import aiohttp

for name in ('standin_3', 'harness_3', *(f'{n}/case' for n in range(9, 14))):
    path = pathlib.Path('review') / f'{name}.py'
    if path.exists():
        compile(path.read_text(), str(path), 'exec')
        print(path)
print('aiohttp', aiohttp.__version__)
PYTHON
