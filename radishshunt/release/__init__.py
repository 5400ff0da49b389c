"""Release notes and the catalog that follows from them."""

from __future__ import annotations
