/* Records about crashes, in the topic of the registrations. */
#include <errno.h>
#include <string.h>

#include "io/json.h"
#include "relayd/store_internal.h"

/* Hexadecimal digits of a key's hash. */
#define FW_HASH_DIGITS 16
/* Times that lie further ahead are taken for damage: clocks are not so far. */
#define FW_AHEAD_MAX_MS (60 * 1000)

static const struct {
    const char *prefix;
    enum fw_rl_crash_record_kind kind;
} kinds[] = {{"quarantine/", FW_RL_RECORD_CRASH},
             {"released/", FW_RL_RECORD_RELEASE}};

static size_t
kind_of(const char *key)
{
    size_t i = 0;

    while (i < G_N_ELEMENTS(kinds) &&
           !g_str_has_prefix(key, kinds[i].prefix)) {
        i++;
    }
    return i;
}

int
Fw_CrashRecord_IsKey(const char *key)
{
    return kind_of(key) < G_N_ELEMENTS(kinds);
}

void
Fw_CrashRecord_Key(const struct fw_rl_crash_record *rec, char *key,
                   size_t size)
{
    size_t i = 0;

    while (kinds[i].kind != rec->kind) {
        i++;
    }
    g_snprintf(key, size, "%s%016" G_GINT64_MODIFIER "x", kinds[i].prefix,
               (guint64)rec->key);
}

char *
Fw_CrashRecord_Value(const struct fw_rl_crash_record *rec, int64_t now_us,
                     int64_t wall_us)
{
    JsonBuilder *b;

    if (rec->is_deleted) {
        return g_strdup("");
    }
    b = json_builder_new();
    json_builder_begin_object(b);
    Fw_Json_SetInt(b, "at_ms", (wall_us - (now_us - rec->at_us)) / FW_MSEC);
    if (rec->kind == FW_RL_RECORD_CRASH) {
        Fw_Json_SetInt(b, "crashes", rec->n_crashes);
    }
    json_builder_end_object(b);
    return Fw_Json_FinishBuilder(b);
}

static int
parse_key(const char *key, struct fw_rl_crash_record *out)
{
    size_t i = kind_of(key);
    const char *digits = key + strlen(kinds[i].prefix);

    out->kind = kinds[i].kind;
    return strlen(digits) == FW_HASH_DIGITS &&
                   strspn(digits, "0123456789abcdef") == FW_HASH_DIGITS &&
                   g_ascii_string_to_unsigned(digits, 16, 1, G_MAXUINT64,
                                              &out->key, NULL)
               ? 0
               : -EBADMSG;
}

static int
parse_value(JsonObject *obj, int64_t now_us, int64_t wall_us,
            struct fw_rl_crash_record *out)
{
    int64_t wall_ms = wall_us / FW_MSEC;
    int64_t at_ms = -1;
    int64_t n = 1;

    Fw_Json_Int(obj, "at_ms", &at_ms);
    if (out->kind == FW_RL_RECORD_CRASH) {
        n = 0;
        Fw_Json_Int(obj, "crashes", &n);
    }
    if (at_ms < 0 || at_ms > wall_ms + FW_AHEAD_MAX_MS || n < 1 ||
        n > G_MAXINT) {
        return -EBADMSG;
    }
    out->at_us = now_us - MAX(wall_ms - at_ms, 0) * FW_MSEC;
    out->n_crashes = (int)n;
    return 0;
}

int
Fw_CrashRecord_Parse(const struct fw_store_record *rec, int64_t now_us,
                     int64_t wall_us, struct fw_rl_crash_record *out)
{
    JsonNode *root;
    int rc;

    *out = (struct fw_rl_crash_record){0};
    if (parse_key(rec->key, out)) {
        return -EBADMSG;
    }
    root = Fw_Json_Parse(rec->value, rec->len);
    if (!root) {
        return -EBADMSG;
    }
    rc = parse_value(json_node_get_object(root), now_us, wall_us, out);
    json_node_unref(root);
    return rc;
}
