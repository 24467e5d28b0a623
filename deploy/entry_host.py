"""Start an entry host from the folder that the build fills."""

import sys

from galenastall.platform.process import main

sys.exit(main())
