"""Entry point of ``python -m radishshunt`` and of the binary."""

from __future__ import annotations

from radishshunt.cmd.main import main

if __name__ == "__main__":
    main()
