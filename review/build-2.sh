#!/bin/sh
# Checks the stand-ins of the cases 4 to 8, which need no compiler, after the
# build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=target/deps python3 -c 'import aiohttp' || exit 1
PYTHONPATH=target/deps python3 -m py_compile review/standin_2.py review/4/case.py \
    review/5/case.py review/6/case.py review/7/case.py review/8/case.py
