"""Starts an entry host from the folder that `build.sh` writes."""

import sys

from galenastall.node.early_signals import hold_signals

hold_signals()

from galenastall.platform.process import main  # noqa: E402 - signals are held before this import

sys.exit(main())
