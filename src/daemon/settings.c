#include "daemon/settings.h"

#include <errno.h>
#include <string.h>

#include "daemon/ini.h"

/**
 * struct raw_values - values in the units of the settings file.
 * @out: holds the values that need no conversion; convert_values derives its
 *       other members from the members below
 */
struct raw_values {
    struct fw_settings out;
    int64_t body_max;
    int64_t header_max;
    int64_t prompt_tokens_max;
    int64_t max_tokens_default;
    int64_t read_timeout_s;
    int64_t policy;
    int64_t ttft_ms;
    int64_t itl_ms;
    int64_t queue_max_ms;
    int64_t retry_permille;
    int64_t partitions;
    int64_t regions;
    int64_t key_staleness_s;
    int64_t drain_max_s;
    int64_t max_conns;
    int64_t max_conns_per_host;
};

#define FW_OFFSET(field) offsetof(struct raw_values, field)
#define FW_INT(group, key, fallback, min, max, field)                         \
    FW_INI_NUMBER(group, key, fallback, min, max, FW_OFFSET(field))
#define FW_TEXT(group, key, kind, fallback, field)                            \
    FW_INI_TEXT(group, key, kind, fallback, FW_OFFSET(field))

/* Indexed by enum fw_policy. */
static const char *const policies[] = {"random", "least-loaded", "full", NULL};

static const struct fw_ini_key keys[] = {
    FW_TEXT("instance", "name", FW_INI_NAME, NULL, out.node.self.name),
    FW_TEXT("instance", "domain", FW_INI_NAME, NULL, out.node.self.domain),
    FW_TEXT("instance", "region", FW_INI_NAME, NULL, out.node.self.region),
    FW_TEXT("listen", "callers", FW_INI_ADDR, "127.0.0.1:0",
            out.shell.callers),
    FW_TEXT("listen", "operators", FW_INI_ADDR, "127.0.0.1:0",
            out.shell.operators),
    FW_TEXT("listen", "peers", FW_INI_REACHABLE_ADDR, "127.0.0.1:0",
            out.shell.peers),
    FW_TEXT("platform", "log", FW_INI_URL, NULL, out.shell.log_url),
    FW_TEXT("platform", "list", FW_INI_URL, NULL, out.shell.list_url),
    FW_TEXT("peers", "secret", FW_INI_SECRET, NULL, out.shell.secret),
    FW_INT("limits", "body-max", "4194304", 1024, 64 << 20, body_max),
    FW_INT("limits", "header-max", "16384", 1024, 65536, header_max),
    FW_INT("limits", "prompt-tokens-max", "200000", 1, 16 << 20,
           prompt_tokens_max),
    FW_INT("limits", "max-tokens-default", "256", 1, 1 << 20,
           max_tokens_default),
    FW_INT("limits", "read-timeout-s", "30", 1, 3600, read_timeout_s),
    {"policy", "policy", FW_INI_CHOICE, "full", 0, 0, FW_OFFSET(policy),
     policies},
    FW_INT("policy", "ttft-ms", "850", 1, 3600000, ttft_ms),
    FW_INT("policy", "itl-ms", "43", 1, 60000, itl_ms),
    FW_INT("policy", "queue-max-ms", "5000", 0, 3600000, queue_max_ms),
    FW_INT("policy", "retry-permille", "100", 0, 1000, retry_permille),
    FW_INT("fleet", "partitions", "16", 1, 1024, partitions),
    FW_INT("fleet", "regions", "1", 1, 64, regions),
    FW_INT("fleet", "key-staleness-s", "30", 1, 86400, key_staleness_s),
    FW_INT("fleet", "drain-max-s", "300", 1, 86400, drain_max_s),
    FW_INT("upstreams", "max-conns", "1024", 1, 65536, max_conns),
    FW_INT("upstreams", "max-conns-per-host", "128", 1, 65536,
           max_conns_per_host),
};

static void
convert_values(const struct raw_values *v, struct fw_settings *out)
{
    struct fw_shell_opts *sh = &out->shell;
    struct fw_node_opts *node = &out->node;

    *out = v->out;
    node->partitions = (int)v->partitions;
    node->self.regions = (int)v->regions;
    node->prompt_tokens_max = v->prompt_tokens_max;
    node->max_tokens_default = v->max_tokens_default;
    node->key_stale_us = v->key_staleness_s * FW_SEC;
    node->drain_max_us = v->drain_max_s * FW_SEC;
    node->route.policy = (enum fw_policy)v->policy;
    node->route.ttft_us = v->ttft_ms * FW_MSEC;
    node->route.itl_us = v->itl_ms * FW_MSEC;
    node->route.queue_max_us = v->queue_max_ms * FW_MSEC;
    node->route.retry_permille = (int)v->retry_permille;
    sh->api.prompt_tokens_max = v->prompt_tokens_max;
    sh->api.max_tokens_default = v->max_tokens_default;
    sh->body_max = (size_t)v->body_max;
    sh->header_max = (size_t)v->header_max;
    sh->read_timeout_us = v->read_timeout_s * FW_SEC;
    sh->max_conns = (int)v->max_conns;
    sh->max_conns_per_host = (int)v->max_conns_per_host;
}

int
Fw_Settings_Load(const char *path, struct fw_settings *out, char **error)
{
    struct raw_values v = {0};
    int rc;

    memset(out, 0, sizeof(*out));
    rc = Fw_Ini_Load(path, keys, G_N_ELEMENTS(keys), &v, error);
    if (rc) {
        g_bytes_unref(v.out.shell.secret);
        return rc;
    }
    convert_values(&v, out);
    return 0;
}

void
Fw_Settings_Clear(struct fw_settings *s)
{
    g_bytes_unref(s->shell.secret);
    s->shell.secret = NULL;
}
