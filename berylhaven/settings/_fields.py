"""Sections and keys of the settings file."""

from berylhaven.ini import Field

MEGABYTE_BYTES = 1_000_000

INSTANCE_FIELDS = (
    Field("host", "ip_number"),
    Field("callers_port", "port"),
    Field("peers_port", "port"),
    Field("operators_port", "port"),
    Field("data_centre", "name"),
    Field("firm", "name"),
    Field("seed_peers", "addresses", default=()),
)

PLATFORM_FIELDS = (
    Field("configuration_service", "address"),
    Field("instance_list", "address"),
    Field("catalogue_key", "text", default="berylhaven/catalogue"),
    Field("timeout_s", "number", default=2.0, minimum=0.05, maximum=30),
)

LOG_FIELDS = (
    Field(
        "level",
        "name",
        default="info",
        choices=("debug", "info", "warning", "error"),
    ),
    Field("decision_format", "name", default="text", choices=("text", "json")),
    Field("decision_lines_per_s", "integer", default=100, minimum=0, maximum=100_000),
)

PROXY_FIELDS = (
    Field("concurrency_limit", "integer", default=512, minimum=1, maximum=100_000),
    Field(
        "header_limit_bytes",
        "integer",
        default=32_768,
        minimum=1_024,
        maximum=MEGABYTE_BYTES,
    ),
    Field(
        "chunk_bytes", "integer", default=65_536, minimum=1_024, maximum=MEGABYTE_BYTES
    ),
    Field("sender_timeout_s", "number", default=15.0, minimum=0.1, maximum=600),
    Field("locate_time_to_live_s", "number", default=5.0, minimum=0.5, maximum=300),
    Field("call_id_lifetime_s", "number", default=60.0, minimum=1, maximum=3_600),
    Field("drain_limit_s", "number", default=900.0, minimum=1, maximum=7_200),
)

CALLS_FIELDS = (
    Field(
        "remembered_calls_limit",
        "integer",
        default=150_000,
        minimum=1,
        maximum=100_000_000,
    ),
    Field(
        "kept_answer_limit_bytes",
        "integer",
        default=4_096,
        minimum=0,
        maximum=MEGABYTE_BYTES,
    ),
    Field(
        "kept_answers_limit_bytes",
        "integer",
        default=16 * MEGABYTE_BYTES,
        minimum=0,
        maximum=1_000 * MEGABYTE_BYTES,
    ),
)

SECTION_FIELDS = {
    "instance": INSTANCE_FIELDS,
    "platform": PLATFORM_FIELDS,
    "log": LOG_FIELDS,
    "proxy": PROXY_FIELDS,
    "calls": CALLS_FIELDS,
}

# Every key of these sections has a default, so the section may be omitted.
OPTIONAL_SECTIONS = ("log", "proxy", "calls")
