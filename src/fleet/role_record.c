/* Format of the role records, and their effect on the roles. */
#include <errno.h>
#include <inttypes.h>
#include <json-glib/json-glib.h>
#include <string.h>
#include <syslog.h>

#include "base/fault.h"
#include "fleet/role_internal.h"

char *
Fw_Role_Format(const struct fw_role_record *rec)
{
    JsonObject *o = json_object_new();
    JsonNode *node = json_node_new(JSON_NODE_OBJECT);
    char *text;

    json_object_set_int_member(o, "k", (gint64)rec->kind);
    json_object_set_int_member(o, "p", rec->partition);
    json_object_set_string_member(o, "i", rec->holder);
    json_object_set_int_member(o, "b", (gint64)rec->boot);
    json_object_set_int_member(o, "was", rec->replaces);
    if (rec->wait_us >= 0) {
        json_object_set_int_member(o, "wait_us", rec->wait_us);
    }
    json_node_take_object(node, o);
    text = json_to_string(node, FALSE);
    json_node_unref(node);
    return text;
}

static int
get_int(JsonObject *o, const char *name, int64_t min, int64_t *out)
{
    JsonNode *n = json_object_get_member(o, name);

    if (!n || !JSON_NODE_HOLDS_VALUE(n) ||
        json_node_get_value_type(n) != G_TYPE_INT64) {
        return -EBADMSG;
    }
    *out = json_node_get_int(n);
    return *out >= min ? 0 : -EBADMSG;
}

static int
parse_object(JsonObject *o, int n_partitions, struct fw_role_record *rec)
{
    JsonNode *holder = json_object_get_member(o, "i");
    int64_t kind;
    int64_t partition;
    int64_t boot;

    if (get_int(o, "k", 0, &kind) || kind >= FW_ROLE_KINDS ||
        get_int(o, "p", 0, &partition) || partition >= n_partitions ||
        get_int(o, "b", 0, &boot) ||
        get_int(o, "was", FW_ROLE_REPLACES_ANY, &rec->replaces) || !holder ||
        !JSON_NODE_HOLDS_VALUE(holder) ||
        json_node_get_value_type(holder) != G_TYPE_STRING) {
        return -EBADMSG;
    }
    if (g_strlcpy(rec->holder, json_node_get_string(holder),
                  sizeof(rec->holder)) >= sizeof(rec->holder)) {
        return -EBADMSG;
    }
    rec->kind = (enum fw_role_kind)kind;
    rec->partition = (int)partition;
    rec->boot = (uint64_t)boot;
    rec->wait_us = -1;
    if (json_object_has_member(o, "wait_us")) {
        return get_int(o, "wait_us", 0, &rec->wait_us);
    }
    return 0;
}

int
Fw_Role_Parse(const char *text, int n_partitions, struct fw_role_record *rec)
{
    JsonNode *node = json_from_string(text, NULL);
    int err = -EBADMSG;

    memset(rec, 0, sizeof(*rec));
    if (node && JSON_NODE_HOLDS_OBJECT(node)) {
        err = parse_object(json_node_get_object(node), n_partitions, rec);
    }
    if (node) {
        json_node_unref(node);
    }
    return err;
}

/*
 * Earliest time to act under a record. The last holder may act for up to
 * FW_ROLE_VIEW_MAX_AGE_US after the record took effect, and what it grants
 * lives for wait_us more, both by its own clock.
 */
static int64_t
acts_from(const struct fw_roles *r, const struct fw_role_slot *slot,
          const struct fw_role_record *rec, int64_t now_us)
{
    if (FW_FAULT("role-no-wait")) {
        return now_us;
    }
    if (rec->replaces == 0) {
        return now_us; /* there is no last holder */
    }
    if (Fw_Role_IsHeldHere(r, slot)) {
        return slot->acts_from_us;
    }
    if (rec->wait_us >= 0) {
        return now_us + Fw_Role_WithDrift(rec->wait_us);
    }
    return now_us +
           Fw_Role_WithDrift(FW_ROLE_VIEW_MAX_AGE_US + r->wait_us[rec->kind]);
}

void
Fw_Role_Apply(struct fw_roles *r, const struct fw_role_record *rec,
              uint64_t offset, int64_t now_us, struct fw_actions *out)
{
    struct fw_role_slot *slot = Fw_Role_Slot(r, rec->kind, rec->partition);
    int was_held = Fw_Role_IsHeldHere(r, slot);
    int same_holder;
    char role[24];

    if (rec->replaces != FW_ROLE_REPLACES_ANY &&
        (!slot->known || rec->replaces != (int64_t)slot->offset)) {
        return;
    }
    slot->acts_from_us = acts_from(r, slot, rec, now_us);
    same_holder =
        slot->boot == rec->boot && strcmp(slot->holder, rec->holder) == 0;
    if (!same_holder || !slot->tenure) {
        slot->predecessor_tenure = rec->wait_us >= 0 ? slot->tenure : 0;
        slot->tenure = offset;
    }
    slot->known = 1;
    slot->is_first = rec->replaces == 0;
    slot->offset = offset;
    g_strlcpy(slot->holder, rec->holder, sizeof(slot->holder));
    slot->boot = rec->boot;
    slot->applied_us = now_us;
    slot->vacant_since_us = 0;
    slot->stopped = r->draining && Fw_Role_IsHeldHere(r, slot);
    if (was_held != Fw_Role_IsHeldHere(r, slot)) {
        g_snprintf(role, sizeof(role), "%d/%d", (int)rec->kind,
                   rec->partition);
        Fw_Actions_Note(out, LOG_INFO, was_held ? "role_lost" : "role_taken",
                        "role", role, "holder", rec->holder, NULL);
    }
}
