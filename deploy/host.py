"""Starts a host on the users' platform: ``python3 -S deploy/host.py``.

The same as ``python -m citronspring.platform``, without the standard library's module
that runs modules: its imports would be a fifth of all that a start costs.
"""

import sys

# The folder of this script, from which Python would import, is not the package's.
sys.path[0] = sys.path[0].rpartition("/")[0]

from citronspring.bundles import install_bundle  # noqa: E402

install_bundle(sys.path[0])

from citronspring.platform.__main__ import main  # noqa: E402

sys.exit(main())
