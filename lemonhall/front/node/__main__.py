"""`python -m lemonhall.front.node`: a front node by `PROXY_CONFIG` alone."""

import sys

from lemonhall.front.node.process import main

sys.exit(main())
