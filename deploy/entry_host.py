"""Starts an entry host from the folder that `build.sh` writes."""

import sys

from galenastall.platform.process import main

sys.exit(main())
