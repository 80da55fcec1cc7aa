/* Writes a workload's teams and their keys to the configuration log. */
#include <errno.h>
#include <unistd.h>

#include "base/hash.h"
#include "bench/load/load.h"
#include "io/json.h"

#define FW_POLLS_MAX 200
#define FW_POLL_INTERVAL_US (100 * FW_MSEC)

static void
add_team(JsonBuilder *b, const struct fw_loadgen_team *t)
{
    json_builder_begin_object(b);
    Fw_Json_SetStr(b, "kind", "team");
    Fw_Json_SetStr(b, "name", t->name);
    Fw_Json_SetInt(b, "was", 0);
    json_builder_set_member_name(b, "value");
    json_builder_begin_object(b);
    Fw_Json_SetInt(b, "rate", t->rate);
    Fw_Json_SetInt(b, "burst", t->burst);
    Fw_Json_SetInt(b, "priority", 5);
    json_builder_set_member_name(b, "models");
    json_builder_begin_array(b);
    json_builder_end_array(b);
    json_builder_end_object(b);
    json_builder_end_object(b);
}

static void
add_key(JsonBuilder *b, const char *team, const char *key)
{
    char digest[FW_DIGEST_HEX_SIZE];

    Fw_Hash_KeyDigest(key, digest);
    json_builder_begin_object(b);
    Fw_Json_SetStr(b, "kind", "key");
    Fw_Json_SetStr(b, "name", digest);
    Fw_Json_SetInt(b, "was", 0);
    json_builder_set_member_name(b, "value");
    json_builder_begin_object(b);
    Fw_Json_SetStr(b, "team", team);
    json_builder_end_object(b);
    json_builder_end_object(b);
}

/* Returns the body of an append whose only record adds teams and keys. */
static char *
append_body(const struct fw_experiment *e, char **keys)
{
    JsonBuilder *b = json_builder_new();
    GDateTime *now = g_date_time_new_now_utc();
    char *at = g_date_time_format(now, "%Y-%m-%dT%H:%M:%SZ");
    char *record;
    char *body;

    json_builder_begin_object(b);
    Fw_Json_SetInt(b, "v", 1);
    Fw_Json_SetStr(b, "id", "load-teams");
    Fw_Json_SetStr(b, "who", "fwload");
    Fw_Json_SetStr(b, "at", at);
    json_builder_set_member_name(b, "items");
    json_builder_begin_array(b);
    for (int i = 0; i < FW_LOADGEN_TEAMS; i++) {
        add_team(b, &e->team[i]);
        add_key(b, e->team[i].name, keys[i]);
    }
    json_builder_end_array(b);
    json_builder_end_object(b);
    record = Fw_Json_FinishBuilder(b);
    b = json_builder_new();
    json_builder_begin_object(b);
    json_builder_set_member_name(b, "records");
    json_builder_begin_array(b);
    json_builder_add_string_value(b, record);
    json_builder_end_array(b);
    json_builder_end_object(b);
    body = Fw_Json_FinishBuilder(b);
    g_free(record);
    g_free(at);
    g_date_time_unref(now);
    return body;
}

static int
all_know_key(const struct fw_loadgen_fleet *f, SoupSession *session,
             const char *key)
{
    for (int i = 0; i < f->n_instances; i++) {
        char *url = g_strconcat(f->caller_urls[i], "/v1/models", NULL);
        int status = Fw_LoadgenHttp_Call(session, "GET", url, NULL, key, NULL);

        g_free(url);
        if (status != 200) {
            return 0;
        }
    }
    return 1;
}

/*
 * Returns nonzero when every instance knows all others, so that a fleet that
 * is still forming isn't measured.
 */
static int
fleet_is_formed(const struct fw_loadgen_fleet *f, SoupSession *session)
{
    char *want = g_strdup_printf("\nfw_fleet_members %d\n", f->n_instances);
    int all = 1;

    for (int i = 0; i < f->n_instances && all; i++) {
        char *url = g_strconcat(f->caller_urls[i], "/metrics", NULL);
        GBytes *body = NULL;
        gsize len = 0;

        all = Fw_LoadgenHttp_Call(session, "GET", url, NULL, NULL, &body) ==
                  200 &&
              body;
        if (all) {
            const char *text = g_bytes_get_data(body, &len);

            all = g_strstr_len(text, (gssize)len, want) != NULL;
        }
        if (body) {
            g_bytes_unref(body);
        }
        g_free(url);
    }
    g_free(want);
    return all;
}

int
Fw_LoadgenTeams_Apply(const struct fw_experiment *e,
                      const struct fw_loadgen_fleet *f, SoupSession *session,
                      char **keys)
{
    char *url = g_strconcat(g_hash_table_lookup(f->stand_urls, "log"),
                            "/log/config", NULL);
    char *body;
    int status;

    for (int i = 0; i < FW_LOADGEN_TEAMS; i++) {
        char *uuid = g_uuid_string_random();

        keys[i] = g_strconcat("load-", uuid, NULL);
        g_free(uuid);
    }
    body = append_body(e, keys);
    status = Fw_LoadgenHttp_Call(session, "POST", url, body, NULL, NULL);
    g_free(body);
    g_free(url);
    if (status != 200) {
        return -EIO;
    }
    for (int i = 0; i < FW_POLLS_MAX; i++) {
        if (all_know_key(f, session, keys[0]) && fleet_is_formed(f, session)) {
            return 0;
        }
        g_usleep(FW_POLL_INTERVAL_US);
    }
    return -ETIMEDOUT;
}
