"""Start a host on the users' platform: ``python3 -S deploy/host.py``.

Same as ``python -m citronspring.platform``, without the standard module `runpy`, whose
imports would take a fifth of the time of a start.
"""

import sys

# Python would import from this script's directory, which does not hold the package.
sys.path[0] = sys.path[0].rpartition("/")[0]

from citronspring.bundles import install_bundle  # noqa: E402

install_bundle(sys.path[0])

from citronspring.platform.__main__ import main  # noqa: E402

sys.exit(main())
