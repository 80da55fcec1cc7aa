/* Decodes records of the platform's store and applies them to the core. */
#include <string.h>

#include "http/conn.h"
#include "io/json.h"
#include "io/logger.h"
#include "relayd/store_internal.h"

static void
log_skipped_parts(const struct fw_rl_rules *config)
{
    char n[16];

    g_snprintf(n, sizeof(n), "%d", config->n_skipped);
    Fw_Logger_Log(LOG_ERR, "configuration_skipped", "parts", n, "first",
                  config->first_skipped, NULL);
}

static void
apply_config(struct fw_relayd *d, const struct fw_store_record *rec,
             struct fw_rl_actions *acts)
{
    const char *why = "record deleted";
    struct fw_rl_rules *config = NULL;

    if (rec->value) {
        config = Fw_Platform_ParseConfig(rec->value, rec->len, &why);
    }
    if (!config) {
        Fw_Logger_Log(LOG_ERR, "configuration_rejected", "why", why, NULL);
    }
    else if (config->n_skipped) {
        log_skipped_parts(config);
    }
    Fw_Relay_SetRules(d->relay, config, rec->offset, Fw_Conn_NowUs(), acts);
    Fw_Rules_Unref(config);
}

static void
apply_evacuation(struct fw_relayd *d, const struct fw_store_record *rec,
                 const char *domain, struct fw_rl_actions *acts)
{
    int active;

    if (Fw_Platform_ParseEvacuation(rec, &active)) {
        Fw_Logger_Log(LOG_ERR, "evacuation_unreadable", "key", rec->key, NULL);
        return;
    }
    Fw_Relay_SetEvacuation(d->relay, domain, active, rec->offset,
                           Fw_Conn_NowUs(), acts);
}

static void
apply_operator_record(struct fw_relayd *d, const struct fw_store_record *rec,
                      struct fw_rl_actions *acts)
{
    const char *domain = Fw_Platform_EvacuatedDomain(rec->key);

    if (Fw_Platform_IsConfigKey(rec->key)) {
        apply_config(d, rec, acts);
    }
    else if (domain) {
        apply_evacuation(d, rec, domain, acts);
    }
}

/*
 * An entry that can't be read names no server: one that it named before is
 * handled as unlisted. Return: zero if the record says nothing new about the
 * server.
 */
static int
apply_server(struct fw_relayd *d, const struct fw_store_record *rec,
             struct fw_rl_actions *acts)
{
    struct fw_rl_server_entry e;
    int64_t now = Fw_Conn_NowUs();
    int is_new;

    if (!rec->value) {
        return Fw_Relay_UpdateServer(d->relay, rec->key, NULL, now, acts);
    }
    if (Fw_Platform_ParseServer(rec->key, rec->value, rec->len, &e)) {
        Fw_Logger_Log(LOG_WARNING, "entry_unreadable", "server", rec->key,
                      NULL);
        Fw_ServerEntry_Clear(&e);
        return Fw_Relay_HasServer(d->relay, rec->key) &&
               Fw_Relay_UpdateServer(d->relay, rec->key, NULL, now, acts);
    }
    is_new = Fw_Relay_UpdateServer(d->relay, rec->key, &e, now, acts);
    Fw_ServerEntry_Clear(&e);
    return is_new;
}

static void
apply_presence(struct fw_relayd *d, const struct fw_store_record *rec,
               const char *publisher)
{
    GArray *seen = rec->value ? Fw_Presence_Parse(rec->value, rec->len) : NULL;

    if (!seen) {
        Fw_Logger_Log(LOG_WARNING, "presence_unreadable", "key", rec->key,
                      NULL);
        return;
    }
    Fw_Relay_NotePresence(d->relay, publisher, rec->offset, seen,
                          Fw_Conn_NowUs());
    g_array_unref(seen);
}

/* A deleted record says nothing; one that can't be read is left out. */
static void
apply_crash(struct fw_relayd *d, const struct fw_store_record *rec)
{
    struct fw_rl_crash_record crash;

    if (!rec->value) {
        return;
    }
    if (Fw_CrashRecord_Parse(rec, Fw_Conn_NowUs(), g_get_real_time(),
                             &crash)) {
        Fw_Logger_Log(LOG_WARNING, "quarantine_unreadable", "key", rec->key,
                      NULL);
        return;
    }
    Fw_Relay_NoteCrashRecord(d->relay, &crash);
}

static int
is_own_registration(const struct fw_relayd *d, const struct fw_rl_peer *peer)
{
    return strcmp(peer->name, d->opts.relay.name) == 0 &&
           strcmp(peer->addr, d->opts.peers_addr) == 0 &&
           strcmp(peer->domain, d->opts.relay.domain) == 0 &&
           peer->cpu_ppm == d->opts.relay.cpu_ppm;
}

static void
apply_instance(struct fw_relayd *d, const struct fw_store_record *rec)
{
    JsonNode *root = rec->value ? Fw_Json_Parse(rec->value, rec->len) : NULL;
    JsonObject *obj = root ? json_node_get_object(root) : NULL;
    struct fw_rl_peer peer = {0};

    if (obj &&
        g_strlcpy(peer.name, rec->key, sizeof(peer.name)) <
            sizeof(peer.name) &&
        Fw_Json_CopyStr(obj, "addr", peer.addr, sizeof(peer.addr)) == 0) {
        /* Absent from registrations of older versions. */
        Fw_Json_CopyStr(obj, "domain", peer.domain, sizeof(peer.domain));
        Fw_Json_Int(obj, "cpu_ppm", &peer.cpu_ppm);
        Fw_Relay_AddMember(d->relay, &peer, Fw_Conn_NowUs());
        d->store->is_registered |= is_own_registration(d, &peer);
    }
    if (root) {
        json_node_unref(root);
    }
}

/* Return: zero if the record says nothing new. */
static int
apply_record(struct fw_relayd *d, enum fw_store_topic topic,
             const struct fw_store_record *rec, struct fw_rl_actions *acts)
{
    switch (topic) {
    case FW_TOPIC_CONFIG:
        apply_operator_record(d, rec, acts);
        break;
    case FW_TOPIC_SERVERS:
        return apply_server(d, rec, acts);
    case FW_TOPIC_INSTANCES:
        if (Fw_Presence_Publisher(rec->key)) {
            apply_presence(d, rec, Fw_Presence_Publisher(rec->key));
        }
        else if (Fw_CrashRecord_IsKey(rec->key)) {
            apply_crash(d, rec);
        }
        else {
            apply_instance(d, rec);
        }
        break;
    case FW_TOPIC_LEADER:
        break;
    }
    return 1;
}

/*
 * Heartbeats that change nothing stay out of the snapshot, so that its records
 * since an offset are few.
 */
void
Fw_StoreClient_ApplyRecords(struct fw_relayd *d, enum fw_store_topic topic,
                            struct fw_peer_snapshot *snapshot,
                            const struct fw_store_response *response,
                            struct fw_rl_actions *acts)
{
    for (guint i = 0; i < response->records->len; i++) {
        const struct fw_store_record *rec =
            &g_array_index(response->records, struct fw_store_record, i);
        int is_new = apply_record(d, topic, rec, acts);

        if (snapshot &&
            (is_new || !Fw_PeerSnapshot_Contains(snapshot, rec->key))) {
            Fw_PeerSnapshot_Update(snapshot, rec);
        }
    }
}
