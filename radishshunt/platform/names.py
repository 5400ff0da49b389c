"""Names that the users' platform gives to headers, calls and tables."""

from __future__ import annotations

# Headers of callers' requests and of targets' answers, in lower case.
ATTEMPT_ID = "x-radishshunt-attempt-id"
DEADLINE_MS = "x-radishshunt-deadline-ms"
KEY = "x-radishshunt-shard-key"
EXPECTED_TARGET = "x-radishshunt-target-instance"
SIGNATURE = "x-radishshunt-server-signature"
LOAD = "x-radishshunt-server-load"
NOT_RUN = "x-radishshunt-not-executed"
INSTANCE = "x-radishshunt-instance-id"
HANDOVER = "x-radishshunt-handover"

READY_PATH = "/radishshunt/readyz"
GRANT_PATH = "/radishshunt/grant"
RELEASE_PATH = "/radishshunt/release"
TRANSACTION_PATH = "/radishshunt/rows-tx"
ROWS_PATH = "/radishshunt/rows-get"
CHANGES_PATH = "/radishshunt/rows-feed"

# Tables that the platform writes, and the one of this system.
OPERATOR_TABLE = "op"
TARGETS_TABLE = "servers"
OWN_TABLE = "radishshunt"
CONFIGURATION_KEY = "config"
EVACUATION_PREFIX = "evacuate/"
