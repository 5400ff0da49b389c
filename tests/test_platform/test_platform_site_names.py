"""Names of single deployments in the product."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

import radishshunt

PACKAGE = Path(radishshunt.__file__).parent
# Services, failure domains and deployments of the users.
SITE_NAMES = re.compile(
    r"painter-reg|event-archive|statusdesk|photodock|paintarchive|munich|nuremberg|augsburg"
    r"|regensburg|wuerzburg|\bakl-|\bjyl-|faelg|lsgb|totara",
    re.IGNORECASE,
)


@pytest.mark.parametrize("folder", ["gateway", "placement", "platform", "policy", "util", "wire"])
def test_no_name_of_a_deployment_stands_in_the_product(folder: str) -> None:
    """Guards against a product that serves only the deployments that it was measured on."""
    found = [
        f"{path.relative_to(PACKAGE)}: {match[0]}"
        for path in sorted((PACKAGE / folder).rglob("*.py"))
        for match in SITE_NAMES.finditer(path.read_text("utf-8"))
    ]
    assert found == []
