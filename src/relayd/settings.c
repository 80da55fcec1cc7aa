#include <string.h>
#include <syslog.h>

#include "base/hash.h"
#include "daemon/ini.h"
#include "io/machine_limits.h"
#include "relayd/relayd.h"

/**
 * struct parsed_settings - settings as parsed.
 * @out: texts, and numbers that the file has in the units of the options
 *
 * The other fields are converted to the units of the options afterwards.
 */
struct parsed_settings {
    struct fw_relayd_opts out;
    struct fw_ini_pairs regions;
    int64_t revocation_ms;
    int64_t lease_ms;
    int64_t config_wait_ms;
    int64_t servers_interval_ms;
    int64_t digest_every_ms;
    int64_t queue_ms;
    int64_t reserve_permille;
    int64_t read_here_ms;
    int64_t prefill_permille;
    int64_t policy;
    int64_t precedence;
    int64_t admission;
    int64_t start_wait_ms;
    int64_t patience;
    int64_t log_level;
    int64_t log_sample;
    int64_t log_buffer_kb;
    int64_t budget_mb;
    int64_t limit_mb;
    int64_t descriptors;
    int64_t server_request_mb;
};

/*
 * Keys stay valid for this part of the revocation time after the latest
 * successful read of the configuration was sent. The rest allows for clock
 * drift.
 */
#define FW_KEY_STALE_PERMILLE 960

#define FW_MB (1024 * 1024)
/* With less, not even a few requests fit. */
#define FW_BUDGET_MIN_BYTES (4 * FW_MB)

#define FW_AT(field) offsetof(struct parsed_settings, field)
#define FW_INT(group, key, fallback, min, max, field)                         \
    FW_INI_NUMBER(group, key, fallback, min, max, FW_AT(field))
/* Numbers that are rounded down to an integer. */
#define FW_FLOOR(group, key, fallback, min, max, field)                       \
    {                                                                         \
        group, key, FW_INI_FLOOR, fallback, min, max, FW_AT(field), NULL      \
    }
/* Seconds with up to six decimals, stored as microseconds. */
#define FW_SECONDS(group, key, fallback, min, max, field)                     \
    {                                                                         \
        group, key, FW_INI_DECIMAL, fallback, (min)*FW_SEC, (max)*FW_SEC,     \
            FW_AT(field), NULL                                                \
    }
#define FW_TEXT(group, key, kind, fallback, field)                            \
    FW_INI_TEXT(group, key, kind, fallback, FW_AT(field))

static const char *const levels[] = {"emerg", "alert",   "crit",
                                     "err",   "warning", "notice",
                                     "info",  "debug",   NULL};

/* In the order of enum fw_rl_policy. */
static const char *const policies[] = {"full", "least-loaded", "random", NULL};

/* Whether plain requests are admitted by a forecast. */
static const char *const admissions[] = {"queue", "forecast", NULL};

/* In the order of enum fw_rl_precedence. */
static const char *const precedences[] = {"off", "on", "routes", NULL};

static const struct fw_ini_key keys[] = {
    FW_TEXT("relay", "name", FW_INI_NAME, NULL, out.relay.name),
    FW_TEXT("relay", "domain", FW_INI_NAME, NULL, out.relay.domain),
    FW_TEXT("relay", "regions", FW_INI_PAIRS, "", regions),
    {"relay", "cpu-share", FW_INI_DECIMAL, "1", 0, 1000000000,
     FW_AT(out.relay.cpu_ppm), NULL},
    FW_TEXT("listen", "callers", FW_INI_ADDR, NULL, out.callers_addr),
    FW_TEXT("listen", "ready", FW_INI_ADDR, NULL, out.ready_addr),
    FW_TEXT("listen", "ready-path", FW_INI_PATH, "/readyz", out.ready_path),
    FW_TEXT("listen", "metrics", FW_INI_ADDR, NULL, out.metrics_addr),
    FW_TEXT("listen", "peers", FW_INI_REACHABLE_ADDR, NULL, out.peers_addr),
    FW_TEXT("store", "address", FW_INI_ADDR, NULL, out.store_addr),
    FW_INT("store", "rules-wait-ms", "1500", 0, 30000, config_wait_ms),
    FW_INT("store", "servers-every-ms", "700", 50, 60000, servers_interval_ms),
    FW_FLOOR("limits", "revocation-ms", "5000", 100, 600000, revocation_ms),
    {"limits", "retry-ratio", FW_INI_DECIMAL, "0.2", 0, 10000000,
     FW_AT(out.relay.retry_ratio_ppm), NULL},
    FW_FLOOR("limits", "retry-extra", "10", 0, 1000000, out.relay.retry_extra),
    FW_SECONDS("limits", "retry-window-s", "10", 1, 3600,
               out.relay.retry_window_us),
    {"limits", "overage", FW_INI_DECIMAL, "0", 0, 1000000,
     FW_AT(out.relay.overage_ppm), NULL},
    FW_FLOOR("limits", "tolerance", "0", 0, 1000000000,
             out.relay.tolerance_tokens),
    {"limits", "cold-overage", FW_INI_DECIMAL, "1", 0, 1000000000,
     FW_AT(out.relay.cold_overage_ppm), NULL},
    FW_FLOOR("limits", "cold-tolerance", "0", 0, 1000000,
             out.relay.cold_tolerance),
    FW_FLOOR("limits", "lease-ms", "3000", 100, 600000, lease_ms),
    FW_SECONDS("limits", "grace-s", "8", 1, 3600, out.relay.grace_us),
    FW_INT("peers", "digest-every-ms", "150", 10, 10000, digest_every_ms),
    {"policy", "routing", FW_INI_CHOICE, "full", 0, 0, FW_AT(policy),
     policies},
    {"policy", "precedence", FW_INI_CHOICE, "routes", 0, 0, FW_AT(precedence),
     precedences},
    {"policy", "admission", FW_INI_CHOICE, "forecast", 0, 0, FW_AT(admission),
     admissions},
    FW_INT("policy", "queue-ms", "0", 0, 600000, queue_ms),
    FW_INT("policy", "reserve-permille", "100", 0, 1000, reserve_permille),
    FW_INT("policy", "read-here-ms", "600", 0, 60000, read_here_ms),
    {"policy", "speed-spread", FW_INI_DECIMAL, "1.5", 0, 1000000000,
     FW_AT(out.relay.speed_spread_ppm), NULL},
    FW_INT("policy", "prefill-permille", "100", 1, 999, prefill_permille),
    FW_INT("policy", "patience", "4", 0, 1000, patience),
    FW_INT("policy", "start-wait-ms", "400", 0, 10000, start_wait_ms),
    FW_INT("memory", "budget-mb", "0", 0, 1048576, budget_mb),
    FW_FLOOR("memory", "limit-mb", "0", 0, 1048576, limit_mb),
    FW_FLOOR("memory", "descriptors", "0", 0, 100000000, descriptors),
    FW_INT("memory", "server-request-mb", "0", 0, 1048576, server_request_mb),
    {"log", "level", FW_INI_CHOICE, "info", 0, 0, FW_AT(log_level), levels},
    FW_INT("log", "sample", "1", 1, 1000000, log_sample),
    FW_INT("log", "buffer-kb", "256", 16, 65536, log_buffer_kb),
};

static void
convert_regions(const struct fw_ini_pairs *from,
                struct fw_rl_domain_regions *to)
{
    G_STATIC_ASSERT(FW_RL_DOMAINS_MAX >= FW_INI_PAIRS_MAX);

    to->n = from->n;
    for (int i = 0; i < from->n; i++) {
        to->domain[i] = Fw_Hash_Str(from->pairs[i].name);
        to->region[i] = Fw_Hash_Str(from->pairs[i].value);
    }
}

/* The budget in bytes: half of the memory limit unless it is set. */
static int64_t
memory_bytes(const struct parsed_settings *v)
{
    int64_t limit =
        v->limit_mb ? v->limit_mb * FW_MB : Fw_MachineLimits_Memory("");

    return v->budget_mb ? v->budget_mb * FW_MB
                        : MAX(limit / 2, limit ? FW_BUDGET_MIN_BYTES : 0);
}

static void
convert(const struct parsed_settings *v, struct fw_relayd_opts *out)
{
    struct fw_relay_opts *r = &out->relay;

    *out = v->out;
    convert_regions(&v->regions, &r->regions);
    r->key_stale_us = v->revocation_ms * FW_KEY_STALE_PERMILLE;
    r->policy = (enum fw_rl_policy)v->policy;
    r->patience_objectives = (int)v->patience;
    r->precedence = (enum fw_rl_precedence)v->precedence;
    r->admission_forecast = (int)v->admission;
    r->queue_limit_us = v->queue_ms * FW_MSEC;
    r->reserve_permille = (int)v->reserve_permille;
    r->local_prefill_us = v->read_here_ms * FW_MSEC;
    r->prefill_permille = (int)v->prefill_permille;
    r->start_wait_us = v->start_wait_ms * FW_MSEC;
    r->lease_us = v->lease_ms * FW_MSEC;
    r->log_level = (int)v->log_level;
    r->log_sample = (int)v->log_sample;
    out->config_wait_us = v->config_wait_ms * FW_MSEC;
    out->servers_interval_us = v->servers_interval_ms * FW_MSEC;
    r->digest_period_us = v->digest_every_ms * FW_MSEC;
    out->memory_bytes = memory_bytes(v);
    out->server_request_bytes = v->server_request_mb * FW_MB;
    out->descriptors =
        v->descriptors ? v->descriptors : Fw_MachineLimits_Files();
    out->log_buffer_bytes = v->log_buffer_kb * 1024;
}

int
Fw_Relayd_LoadSettings(const char *path, struct fw_relayd_opts *out,
                       char **error)
{
    struct parsed_settings v = {0};
    int rc;

    memset(out, 0, sizeof(*out));
    rc = Fw_Ini_Load(path, keys, G_N_ELEMENTS(keys), &v, error);
    if (rc == 0) {
        convert(&v, out);
    }
    return rc;
}
