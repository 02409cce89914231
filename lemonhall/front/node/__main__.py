"""`python -m lemonhall.front.node`: runs a front node, configured by the file that `PROXY_CONFIG` names."""

import sys

from lemonhall.front.node.process import main

sys.exit(main())
