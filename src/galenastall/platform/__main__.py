"""Run an entry host on the operations platform: `python -m galenastall.platform`."""

import sys

from galenastall.platform.process import main

sys.exit(main())
