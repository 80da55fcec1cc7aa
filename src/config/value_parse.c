/* Parsers of the JSON values of items. */
#include <errno.h>
#include <string.h>

#include "config/config_internal.h"

#define FW_TOKENS_MAX 1000000000000LL /* of rates per second and of bursts */

static const char *const roles[] = {"prefill", "decode", "service", NULL};
static const char *const fencings[] = {"checked", "ignored", NULL};
static const char *const methods[] = {"GET",    "HEAD",  "POST", "PUT",
                                      "DELETE", "PATCH", NULL};

static int
parse_models(const struct fw_field_reader *r, struct fw_team *team)
{
    JsonArray *arr;
    unsigned n;

    if (Fw_Field_Array(r, "models", FW_TEAM_MODELS_MAX, &arr)) {
        return -EINVAL;
    }
    n = arr ? json_array_get_length(arr) : 0;
    for (unsigned i = 0; i < n; i++) {
        JsonNode *node = json_array_get_element(arr, i);
        const char *s =
            JSON_NODE_HOLDS_VALUE(node) ? json_node_get_string(node) : NULL;

        if (!s || !Fw_ModelName_IsValid(s)) {
            Fw_ConfigError_Set(r->err,
                               "%s: models: name %u is not a model's name",
                               r->where, i + 1);
            return -EINVAL;
        }
        team->models[team->n_models++] = g_ref_string_new_intern(s);
    }
    return 0;
}

struct fw_team *
Fw_Team_Parse(const char *name, JsonObject *value, struct fw_config_error *err)
{
    static const char *const known[] = {"rate", "burst", "priority", "models",
                                        NULL};
    struct fw_field_reader r = {.obj = value, .err = err, .where = name};
    struct fw_team *team = g_new0(struct fw_team, 1);
    int64_t priority = 0;

    g_strlcpy(team->name, name, sizeof(team->name));
    if (Fw_Field_RejectUnknown(&r, known) ||
        Fw_Field_Int(&r, "rate", 0, FW_TOKENS_MAX, -1, &team->rate) ||
        Fw_Field_Int(&r, "burst", 0, FW_TOKENS_MAX, -1, &team->burst) ||
        Fw_Field_Int(&r, "priority", 0, 9, 0, &priority) ||
        parse_models(&r, team)) {
        Fw_Team_Free(team);
        return NULL;
    }
    team->priority = (int)priority;
    return team;
}

struct fw_key *
Fw_Key_Parse(const char *name, JsonObject *value, struct fw_config_error *err)
{
    static const char *const known[] = {"team", "withdrawn", NULL};
    struct fw_field_reader r = {.obj = value, .err = err, .where = name};
    struct fw_key *key = g_new0(struct fw_key, 1);

    g_strlcpy(key->digest, name, sizeof(key->digest));
    if (Fw_Field_RejectUnknown(&r, known) ||
        Fw_Field_Name(&r, "team", NULL, key->team) ||
        Fw_Field_Bool(&r, "withdrawn", &key->withdrawn)) {
        g_free(key);
        return NULL;
    }
    return key;
}

static int
parse_links(const struct fw_field_reader *r, struct fw_upstream *up)
{
    static const char *const known[] = {"domain", "bytes_per_s", NULL};
    JsonArray *arr;
    unsigned n;

    if (Fw_Field_Array(r, "links", FW_UPSTREAM_LINKS_MAX, &arr)) {
        return -EINVAL;
    }
    n = arr ? json_array_get_length(arr) : 0;
    for (unsigned i = 0; i < n; i++) {
        struct fw_field_reader e = {.err = r->err, .where = r->where};
        struct fw_kv_link *link = &up->links[up->n_links++];

        e.obj = Fw_Field_Element(r, arr, i, "links");
        if (!e.obj || Fw_Field_RejectUnknown(&e, known) ||
            Fw_Field_Name(&e, "domain", NULL, link->domain) ||
            Fw_Field_Int(&e, "bytes_per_s", 1, INT64_MAX, -1,
                         &link->bytes_per_s)) {
            return -EINVAL;
        }
    }
    return 0;
}

struct fw_upstream *
Fw_Upstream_Parse(const char *name, JsonObject *value,
                  struct fw_config_error *err)
{
    static const char *const known[] = {
        "pool",  "url",          "domain",  "role",  "fencing",
        "slots", "prefill_rate", "drained", "links", NULL};
    struct fw_field_reader r = {.obj = value, .err = err, .where = name};
    struct fw_upstream *up = g_new0(struct fw_upstream, 1);
    int64_t slots = 0;
    int role = 0;
    int fencing = 0;

    g_strlcpy(up->name, name, sizeof(up->name));
    /* Without a setting, an upstream is assumed to ignore fencing tokens. */
    if (Fw_Field_RejectUnknown(&r, known) ||
        Fw_Field_Name(&r, "pool", NULL, up->pool) ||
        Fw_Field_Text(&r, "url", up->url, sizeof(up->url)) ||
        Fw_Field_Name(&r, "domain", "", up->domain) ||
        Fw_Field_Enum(&r, "role", roles, -1, &role) ||
        Fw_Field_Enum(&r, "fencing", fencings, FW_FENCING_IGNORED, &fencing) ||
        Fw_Field_Int(&r, "slots", 0, 100000, 0, &slots) ||
        Fw_Field_Int(&r, "prefill_rate", 0, FW_TOKENS_MAX, 0,
                     &up->prefill_rate) ||
        Fw_Field_Bool(&r, "drained", &up->drained) || parse_links(&r, up)) {
        g_free(up);
        return NULL;
    }
    if (!g_str_has_prefix(up->url, "http://") &&
        !g_str_has_prefix(up->url, "https://")) {
        Fw_ConfigError_Set(err,
                           "%s: url is %.60s, allowed: http:// or https://",
                           name, up->url);
        g_free(up);
        return NULL;
    }
    up->slots = (int)slots;
    up->role = (enum fw_upstream_role)role;
    up->fencing = (enum fw_fencing)fencing;
    return up;
}

static int
parse_serves(const struct fw_field_reader *r, struct fw_pool *pool)
{
    static const char *const known[] = {"model", "version", "adapter", NULL};
    JsonArray *arr;
    unsigned n;

    if (Fw_Field_Array(r, "serves", FW_POOL_SERVES_MAX, &arr)) {
        return -EINVAL;
    }
    n = arr ? json_array_get_length(arr) : 0;
    for (unsigned i = 0; i < n; i++) {
        struct fw_field_reader e = {.err = r->err, .where = r->where};
        struct fw_served_model *s = &pool->serves[pool->n_serves++];

        e.obj = Fw_Field_Element(r, arr, i, "serves");
        if (!e.obj || Fw_Field_RejectUnknown(&e, known) ||
            Fw_Field_Name(&e, "model", NULL, s->model) ||
            Fw_Field_Name(&e, "version", NULL, s->version) ||
            Fw_Field_Name(&e, "adapter", "", s->adapter)) {
            return -EINVAL;
        }
    }
    return 0;
}

struct fw_pool *
Fw_Pool_Parse(const char *name, JsonObject *value, struct fw_config_error *err)
{
    static const char *const known[] = {"kv_bytes_per_token", "prefill_min",
                                        "decode_min", "serves", NULL};
    struct fw_field_reader r = {.obj = value, .err = err, .where = name};
    struct fw_pool *pool = g_new0(struct fw_pool, 1);
    int64_t prefill = 0;
    int64_t decode = 0;

    g_strlcpy(pool->name, name, sizeof(pool->name));
    if (Fw_Field_RejectUnknown(&r, known) ||
        Fw_Field_Int(&r, "kv_bytes_per_token", 0, INT32_MAX, 0,
                     &pool->kv_bytes_per_token) ||
        Fw_Field_Int(&r, "prefill_min", 0, 10000, 1, &prefill) ||
        Fw_Field_Int(&r, "decode_min", 0, 10000, 1, &decode) ||
        parse_serves(&r, pool)) {
        g_free(pool);
        return NULL;
    }
    pool->prefill_min = (int)prefill;
    pool->decode_min = (int)decode;
    return pool;
}

struct fw_service *
Fw_Service_Parse(const char *name, JsonObject *value,
                 struct fw_config_error *err)
{
    static const char *const known[] = {"calls", NULL};
    static const char *const call[] = {"method", "path", "idempotent", NULL};
    struct fw_field_reader r = {.obj = value, .err = err, .where = name};
    struct fw_service *svc = g_new0(struct fw_service, 1);
    JsonArray *arr;
    unsigned n;

    g_strlcpy(svc->name, name, sizeof(svc->name));
    if (Fw_Field_RejectUnknown(&r, known) ||
        Fw_Field_Array(&r, "calls", FW_SERVICE_CALLS_MAX, &arr)) {
        g_free(svc);
        return NULL;
    }
    n = arr ? json_array_get_length(arr) : 0;
    for (unsigned i = 0; i < n; i++) {
        struct fw_field_reader e = {.err = err, .where = name};
        struct fw_service_call *c = &svc->calls[svc->n_calls++];
        int method = 0;

        e.obj = Fw_Field_Element(&r, arr, i, "calls");
        if (!e.obj || Fw_Field_RejectUnknown(&e, call) ||
            Fw_Field_Enum(&e, "method", methods, -1, &method) ||
            Fw_Field_Text(&e, "path", c->path, sizeof(c->path)) ||
            Fw_Field_Bool(&e, "idempotent", &c->idempotent)) {
            g_free(svc);
            return NULL;
        }
        g_strlcpy(c->method, methods[method], sizeof(c->method));
    }
    return svc;
}

struct fw_operator *
Fw_Operator_Parse(const char *name, JsonObject *value,
                  struct fw_config_error *err)
{
    static const char *const known[] = {"digest", "withdrawn", NULL};
    struct fw_field_reader r = {.obj = value, .err = err, .where = name};
    struct fw_operator *op = g_new0(struct fw_operator, 1);

    g_strlcpy(op->name, name, sizeof(op->name));
    if (Fw_Field_RejectUnknown(&r, known) ||
        Fw_Field_Digest(&r, "digest", op->digest) ||
        Fw_Field_Bool(&r, "withdrawn", &op->withdrawn)) {
        g_free(op);
        return NULL;
    }
    return op;
}
