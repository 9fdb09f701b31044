"""Sphinx settings of the documentation."""

from citronspring import __version__

project = "citronspring"
release = __version__
extensions = ["myst_parser"]
source_suffix = {".md": "markdown"}
html_theme = "alabaster"
myst_heading_anchors = 3
