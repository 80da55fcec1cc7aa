#include "limit/limit_msg.h"

#include <errno.h>
#include <glib.h>
#include <string.h>

#include "core/pack.h"

#define FW_LIMIT_MSG_FIELDS 12
#define FW_LIMIT_COMPACT_FIELDS 4
#define FW_LIMIT_ENTRY_FIELDS 5
#define FW_LIMIT_GRANT_FIELDS 6
#define FW_LIMIT_HOLDER_FIELDS 6

static void
pack_entry(msgpack_packer *pk, const struct fw_limit_entry *e)
{
    msgpack_pack_array(pk, FW_LIMIT_ENTRY_FIELDS);
    Fw_Pack_Str(pk, e->team);
    msgpack_pack_int64(pk, e->rate);
    msgpack_pack_int64(pk, e->burst);
    msgpack_pack_int64(pk, e->level);
    msgpack_pack_array(pk, (size_t)e->n_grants);
    for (int i = 0; i < e->n_grants; i++) {
        const struct fw_limit_grant *g = &e->grants[i];
        msgpack_pack_array(pk, FW_LIMIT_GRANT_FIELDS);
        msgpack_pack_int(pk, g->holder);
        msgpack_pack_int64(pk, g->rate);
        msgpack_pack_int64(pk, g->burst);
        msgpack_pack_int64(pk, g->offered_rate);
        msgpack_pack_int64(pk, g->offered_burst);
        msgpack_pack_int64(pk, g->offered_level);
    }
}

static void
pack_holder(msgpack_packer *pk, const struct fw_limit_holder *h)
{
    msgpack_pack_array(pk, FW_LIMIT_HOLDER_FIELDS);
    Fw_Pack_Str(pk, h->name);
    msgpack_pack_uint64(pk, h->boot);
    msgpack_pack_uint64(pk, h->last_seq);
    msgpack_pack_uint64(pk, h->confirmed_seq);
    msgpack_pack_uint64(pk, h->offered_seq);
    msgpack_pack_int64(pk, h->expires_in_us);
}

/* Token requests and grants are frequent, so they omit unused fields. */
static int
is_compact(enum fw_limit_msg_kind kind)
{
    return kind == FW_LIMIT_TOKEN_REQUEST || kind == FW_LIMIT_TOKEN_GRANT;
}

static void
pack_compact(msgpack_packer *pk, const struct fw_limit_msg *msg)
{
    msgpack_pack_array(pk, FW_LIMIT_COMPACT_FIELDS);
    msgpack_pack_int(pk, (int)msg->kind);
    msgpack_pack_uint64(pk, msg->seq);
    msgpack_pack_int64(pk, msg->tokens);
    Fw_Pack_Str(pk, msg->team);
}

void
Fw_Limit_PackMsg(msgpack_packer *pk, const struct fw_limit_msg *msg)
{
    if (is_compact(msg->kind)) {
        pack_compact(pk, msg);
        return;
    }
    msgpack_pack_array(pk, FW_LIMIT_MSG_FIELDS);
    msgpack_pack_int(pk, (int)msg->kind);
    msgpack_pack_uint64(pk, msg->seq);
    msgpack_pack_int(pk, msg->partition);
    msgpack_pack_uint64(pk, msg->boot);
    msgpack_pack_uint64(pk, msg->acked_seq);
    msgpack_pack_uint64(pk, msg->fence);
    msgpack_pack_int64(pk, msg->tokens);
    msgpack_pack_int(pk, msg->is_follower);
    msgpack_pack_int64(pk, msg->expires_in_us);
    Fw_Pack_Str(pk, msg->team);
    msgpack_pack_array(pk, (size_t)msg->n_entries);
    for (int i = 0; i < msg->n_entries; i++) {
        pack_entry(pk, &msg->entries[i]);
    }
    msgpack_pack_array(pk, (size_t)msg->n_holders);
    for (int i = 0; i < msg->n_holders; i++) {
        pack_holder(pk, &msg->holders[i]);
    }
}

/* Negative amounts are rejected, else they would be subtracted. */
static int
unpack_nonnegative(const msgpack_object *o, uint32_t i, int64_t *out)
{
    return Fw_Unpack_I64(o, i, out) || *out < 0 ? -EBADMSG : 0;
}

static int
unpack_grant(const msgpack_object *o, struct fw_limit_grant *g)
{
    int64_t holder;

    if (unpack_nonnegative(o, 0, &holder) || holder >= FW_LIMIT_HOLDERS_MAX ||
        unpack_nonnegative(o, 1, &g->rate) ||
        unpack_nonnegative(o, 2, &g->burst) ||
        unpack_nonnegative(o, 3, &g->offered_rate) ||
        unpack_nonnegative(o, 4, &g->offered_burst) ||
        unpack_nonnegative(o, 5, &g->offered_level)) {
        return -EBADMSG;
    }
    g->holder = (int)holder;
    return 0;
}

static int
unpack_entry(const msgpack_object *o, struct fw_limit_entry *e)
{
    const msgpack_object *list = Fw_Unpack_Array(o, 4);

    if (Fw_Unpack_Str(o, 0, e->team, sizeof(e->team)) ||
        unpack_nonnegative(o, 1, &e->rate) ||
        unpack_nonnegative(o, 2, &e->burst) ||
        unpack_nonnegative(o, 3, &e->level) || !list ||
        list->via.array.size > FW_LIMIT_HOLDERS_MAX) {
        return -EBADMSG;
    }
    e->n_grants = (int)list->via.array.size;
    e->grants = g_new0(struct fw_limit_grant, list->via.array.size);
    for (uint32_t i = 0; i < list->via.array.size; i++) {
        if (unpack_grant(&list->via.array.ptr[i], &e->grants[i])) {
            return -EBADMSG;
        }
    }
    return 0;
}

static int
unpack_holder(const msgpack_object *o, struct fw_limit_holder *h)
{
    if (Fw_Unpack_Str(o, 0, h->name, sizeof(h->name)) ||
        Fw_Unpack_U64(o, 1, &h->boot) || Fw_Unpack_U64(o, 2, &h->last_seq) ||
        Fw_Unpack_U64(o, 3, &h->confirmed_seq) ||
        Fw_Unpack_U64(o, 4, &h->offered_seq) ||
        unpack_nonnegative(o, 5, &h->expires_in_us)) {
        return -EBADMSG;
    }
    return 0;
}

static int
unpack_lists(const msgpack_object *obj, struct fw_limit_msg *msg)
{
    const msgpack_object *entries = Fw_Unpack_Array(obj, 10);
    const msgpack_object *holders = Fw_Unpack_Array(obj, 11);

    if (!entries || entries->via.array.size > FW_LIMIT_ENTRIES_MAX ||
        !holders || holders->via.array.size > FW_LIMIT_HOLDERS_MAX) {
        return -EBADMSG;
    }
    msg->n_holders = (int)holders->via.array.size;
    msg->holders = g_new0(struct fw_limit_holder, holders->via.array.size);
    for (int i = 0; i < msg->n_holders; i++) {
        if (unpack_holder(&holders->via.array.ptr[i], &msg->holders[i])) {
            return -EBADMSG;
        }
    }
    msg->n_entries = (int)entries->via.array.size;
    msg->entries = g_new0(struct fw_limit_entry, entries->via.array.size);
    for (int i = 0; i < msg->n_entries; i++) {
        struct fw_limit_entry *e = &msg->entries[i];
        if (unpack_entry(&entries->via.array.ptr[i], e)) {
            return -EBADMSG;
        }
        for (int g = 0; g < e->n_grants; g++) {
            if (e->grants[g].holder >= msg->n_holders) {
                return -EBADMSG;
            }
        }
    }
    return 0;
}

static int
unpack_compact(const msgpack_object *obj, struct fw_limit_msg *msg)
{
    return Fw_Unpack_U64(obj, 1, &msg->seq) ||
                   unpack_nonnegative(obj, 2, &msg->tokens) ||
                   Fw_Unpack_Str(obj, 3, msg->team, sizeof(msg->team))
               ? -EBADMSG
               : 0;
}

int
Fw_Limit_UnpackMsg(const msgpack_object *obj, struct fw_limit_msg *msg)
{
    int64_t kind;
    int64_t partition;
    int64_t flag;

    memset(msg, 0, sizeof(*msg));
    if (unpack_nonnegative(obj, 0, &kind)) {
        return -EBADMSG;
    }
    if (is_compact((enum fw_limit_msg_kind)kind)) {
        msg->kind = (enum fw_limit_msg_kind)kind;
        return unpack_compact(obj, msg);
    }
    if (kind <= FW_LIMIT_NONE || kind > FW_LIMIT_HANDOVER ||
        Fw_Unpack_U64(obj, 1, &msg->seq) ||
        unpack_nonnegative(obj, 2, &partition) || partition > INT32_MAX ||
        Fw_Unpack_U64(obj, 3, &msg->boot) ||
        Fw_Unpack_U64(obj, 4, &msg->acked_seq) ||
        Fw_Unpack_U64(obj, 5, &msg->fence) ||
        unpack_nonnegative(obj, 6, &msg->tokens) ||
        unpack_nonnegative(obj, 7, &flag) || flag > 1 ||
        unpack_nonnegative(obj, 8, &msg->expires_in_us) ||
        Fw_Unpack_Str(obj, 9, msg->team, sizeof(msg->team))) {
        return -EBADMSG;
    }
    msg->kind = (enum fw_limit_msg_kind)kind;
    msg->partition = (int)partition;
    msg->is_follower = (int)flag;
    if (unpack_lists(obj, msg)) {
        Fw_Limit_ClearMsg(msg);
        return -EBADMSG;
    }
    return 0;
}

void
Fw_Limit_ClearMsg(struct fw_limit_msg *msg)
{
    for (int i = 0; i < msg->n_entries && msg->entries; i++) {
        g_free(msg->entries[i].grants);
    }
    g_clear_pointer(&msg->entries, g_free);
    g_clear_pointer(&msg->holders, g_free);
    msg->n_entries = 0;
    msg->n_holders = 0;
}
