"""Names of headers, paths and tables on the users' platform."""

from __future__ import annotations

# Headers of callers' requests and targets' responses, in lower case.
ATTEMPT_ID_HEADER = "x-radishshunt-attempt-id"
DEADLINE_MS_HEADER = "x-radishshunt-deadline-ms"
KEY_HEADER = "x-radishshunt-shard-key"
# API key of the caller, and the name of its workspace, which only hosts set.
API_KEY_HEADER = "x-radishshunt-key"
WORKSPACE_HEADER = "x-radishshunt-tenant"
EXPECTED_TARGET_HEADER = "x-radishshunt-target-instance"
SIGNATURE_HEADER = "x-radishshunt-server-signature"
LOAD_HEADER = "x-radishshunt-server-load"
NOT_RUN_HEADER = "x-radishshunt-not-executed"
INSTANCE_HEADER = "x-radishshunt-instance-id"
HANDOVER_HEADER = "x-radishshunt-handover"
# Requests per second that a target takes from all hosts together; this name has no prefix.
REQUEST_LIMIT_HEADER = "server-limit"
# Set to 1 in all responses of a target that is leaving; this name has no prefix.
LEAVING_HEADER = "server-leaving"
# Milliseconds for which a target stays cold, in the responses of its health path.
COLD_MS_HEADER = "x-radishshunt-warmup-ms"

# Header of the store's answers; its number rises whenever the store was restored from a copy.
STORE_ERA_HEADER = "store-era"

READY_PATH = "/radishshunt/readyz"
GRANT_PATH = "/radishshunt/grant"
RELEASE_PATH = "/radishshunt/release"
TRANSACTION_PATH = "/radishshunt/rows-tx"
ROWS_PATH = "/radishshunt/rows-get"
CHANGES_PATH = "/radishshunt/rows-feed"

# Tables that the platform writes, and the table of this router.
OPERATOR_TABLE = "op"
TARGETS_TABLE = "servers"
OWN_TABLE = "radishshunt"
CONFIGURATION_KEY = "config"
EVACUATION_PREFIX = "evacuate/"
