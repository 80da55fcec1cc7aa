/* Records of the platform's store, decoded and handed to the core. */
#include <string.h>

#include "http/conn.h"
#include "io/json.h"
#include "io/note.h"
#include "relayd/store_internal.h"

static void
take_rules(struct fw_relayd *d, const struct fw_record *rec,
           struct fw_rl_actions *acts)
{
    const char *why = "dropped";
    struct fw_rl_rules *rules = NULL;

    if (!Fw_Platform_IsRulesKey(rec->key)) {
        return;
    }
    if (rec->value) {
        rules = Fw_Platform_ReadRules(rec->value, rec->len, &why);
    }
    if (!rules) {
        Fw_Note_Log(LOG_ERR, "configuration_rejected", "why", why, NULL);
    }
    Fw_Relay_SetRules(d->relay, rules, rec->offset, Fw_Conn_Now(), acts);
    Fw_Rules_Unref(rules);
}

static void
take_server(struct fw_relayd *d, const struct fw_record *rec,
            struct fw_rl_actions *acts)
{
    struct fw_rl_server_entry e;
    int64_t now = Fw_Conn_Now();

    if (!rec->value) {
        Fw_Relay_UpdateServer(d->relay, rec->key, NULL, now, acts);
    }
    else if (Fw_Platform_ReadServer(rec->key, rec->value, rec->len, &e) == 0) {
        Fw_Relay_UpdateServer(d->relay, rec->key, &e, now, acts);
    }
    else {
        Fw_Note_Log(LOG_WARNING, "entry_unreadable", "server", rec->key, NULL);
    }
}

static void
take_member(struct fw_relayd *d, const struct fw_record *rec)
{
    JsonNode *root = rec->value ? Fw_Json_Parse(rec->value, rec->len) : NULL;
    JsonObject *obj = root ? json_node_get_object(root) : NULL;
    struct fw_rl_peer peer = {0};

    g_strlcpy(peer.name, rec->key, sizeof(peer.name));
    if (obj &&
        Fw_Json_CopyStr(obj, "addr", peer.addr, sizeof(peer.addr)) == 0) {
        /* An older version names neither of these. */
        Fw_Json_CopyStr(obj, "domain", peer.domain, sizeof(peer.domain));
        Fw_Json_Int(obj, "cpu_ppm", &peer.cpu_ppm);
        Fw_Relay_AddMember(d->relay, &peer, Fw_Conn_Now());
    }
    if (root) {
        json_node_unref(root);
    }
}

void
Fw_Store_Take(struct fw_relayd *d, enum fw_topic topic, GHashTable *newest,
              const struct fw_records *got, struct fw_rl_actions *acts)
{
    for (guint i = 0; i < got->all->len; i++) {
        const struct fw_record *rec =
            &g_array_index(got->all, struct fw_record, i);

        if (newest) {
            Fw_Handover_Keep(newest, rec);
        }
        switch (topic) {
        case FW_TOPIC_RULES:
            take_rules(d, rec, acts);
            break;
        case FW_TOPIC_SERVERS:
            take_server(d, rec, acts);
            break;
        case FW_TOPIC_MEMBERS:
            take_member(d, rec);
            break;
        case FW_TOPIC_LEAD:
            break;
        }
    }
}
