"""Release notes and the catalog that results from them."""

from __future__ import annotations
