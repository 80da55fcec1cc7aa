/* The teams of a workload, written to the fleet's configuration log. */
#include <errno.h>
#include <unistd.h>

#include "base/hash.h"
#include "bench/load/load.h"
#include "io/json.h"

#define FW_TEAMS_TRIES 200
#define FW_TEAMS_PAUSE_US (100 * FW_MSEC)

static void
add_team(JsonBuilder *b, const struct fw_load_team *t)
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

/* The change as one record, inside the body of an append. */
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
    for (int i = 0; i < FW_LOAD_TEAMS; i++) {
        add_team(b, &e->team[i]);
        add_key(b, e->team[i].name, keys[i]);
    }
    json_builder_end_array(b);
    json_builder_end_object(b);
    record = Fw_Json_Take(b);
    b = json_builder_new();
    json_builder_begin_object(b);
    json_builder_set_member_name(b, "records");
    json_builder_begin_array(b);
    json_builder_add_string_value(b, record);
    json_builder_end_array(b);
    json_builder_end_object(b);
    body = Fw_Json_Take(b);
    g_free(record);
    g_free(at);
    g_date_time_unref(now);
    return body;
}

static int
known_everywhere(const struct fw_load_fleet *f, SoupSession *session,
                 const char *key)
{
    for (int i = 0; i < f->n_callers; i++) {
        char *url = g_strconcat(f->caller[i], "/v1/models", NULL);
        int status = Fw_LoadHttp_Call(session, "GET", url, NULL, key, NULL);

        g_free(url);
        if (status != 200) {
            return 0;
        }
    }
    return 1;
}

/* Nonzero when every instance knows all others; an older fleet than this
 * load is what is measured, not one that is still forming. */
static int
joined(const struct fw_load_fleet *f, SoupSession *session)
{
    char *want = g_strdup_printf("\nfw_fleet_members %d\n", f->n_callers);
    int all = 1;

    for (int i = 0; i < f->n_callers && all; i++) {
        char *url = g_strconcat(f->caller[i], "/metrics", NULL);
        GBytes *body = NULL;
        gsize len = 0;

        all =
            Fw_LoadHttp_Call(session, "GET", url, NULL, NULL, &body) == 200 &&
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
Fw_LoadTeams_Apply(const struct fw_experiment *e,
                   const struct fw_load_fleet *f, SoupSession *session,
                   char **keys)
{
    char *url = g_strconcat(g_hash_table_lookup(f->stands, "log"),
                            "/log/config", NULL);
    char *body;
    int status;

    for (int i = 0; i < FW_LOAD_TEAMS; i++) {
        char *uuid = g_uuid_string_random();

        keys[i] = g_strconcat("load-", uuid, NULL);
        g_free(uuid);
    }
    body = append_body(e, keys);
    status = Fw_LoadHttp_Call(session, "POST", url, body, NULL, NULL);
    g_free(body);
    g_free(url);
    if (status != 200) {
        return -EIO;
    }
    for (int i = 0; i < FW_TEAMS_TRIES; i++) {
        if (known_everywhere(f, session, keys[0]) && joined(f, session)) {
            return 0;
        }
        g_usleep(FW_TEAMS_PAUSE_US);
    }
    return -ETIMEDOUT;
}
