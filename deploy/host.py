"""Starts the host program from a checkout, without installing it."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent / 'src'))

if sys.argv[1:]:
    from curranthill.commands.host import main
else:
    from curranthill.platform.program import main

main()
