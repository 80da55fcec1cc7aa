/*
 * Messages about limits that servers name: from a leaf to its hub, from a hub
 * to other hubs and, with their shares, to its leaves. They are sent at once
 * when a limit changes, and repeated while it is in force.
 */
#include <errno.h>
#include <string.h>

#include "core/pack.h"
#include "relay/relay_internal.h"

#define FW_MSG_TYPE_LIMITS 11
/* Hash of the server's id, its start, version, limit, share. */
#define FW_LIMIT_COLUMNS 5
/* Limit of a row that says that the server names none. */
#define FW_ROW_NO_LIMIT (-1)
/* Share of a row for an instance that computes its own. */
#define FW_ROW_NO_SHARE (-1)
/* Time for which the end of a limit is sent. */
#define FW_ENDED_SEND_US (10 * FW_SEC)
/* Interval between messages: base, and more with each server in them. */
#define FW_INTERVAL_US (1 * FW_SEC)
#define FW_INTERVAL_PER_ROW_US (50 * FW_MSEC)
/* Minimum interval when a limit has changed. */
#define FW_CHANGED_INTERVAL_US (50 * FW_MSEC)

/* Packs a row for each server; @to: the leaf that it is for, NULL for none. */
static void
write_message(const struct fw_relay *r, const struct fw_rl_member *to, int n,
              GByteArray *out)
{
    struct fw_list *pos;
    msgpack_packer pk;

    Fw_Pack_Begin(&pk, out);
    msgpack_pack_array(&pk, 3);
    msgpack_pack_int(&pk, FW_MSG_TYPE_LIMITS);
    Fw_Pack_Str(&pk, r->opts.name);
    msgpack_pack_array(&pk, (size_t)n);
    FW_LIST_EACH (pos, &r->limited_servers) {
        const struct fw_rl_server *s =
            FW_LIST_ENTRY(pos, struct fw_rl_server, limit_link);
        int limited = s->limit.milli != FW_NO_LIMIT;

        msgpack_pack_array(&pk, FW_LIMIT_COLUMNS);
        msgpack_pack_uint64(&pk, s->hash);
        msgpack_pack_int64(&pk, s->entry.born_ms);
        msgpack_pack_int64(&pk, s->limit.version);
        msgpack_pack_int64(&pk, limited ? s->limit.milli : FW_ROW_NO_LIMIT);
        msgpack_pack_int64(&pk, to && limited
                                    ? Fw_ServerLimits_ShareOf(r, s, to->hash)
                                    : FW_ROW_NO_SHARE);
    }
}

static void
send_to(const struct fw_relay *r, const struct fw_rl_member *to, int as_leaf,
        int n, struct fw_rl_outbox *out)
{
    GByteArray *msg = g_byte_array_new();

    write_message(r, as_leaf ? to : NULL, n, msg);
    Fw_Outbox_Add(out, to->addr, msg);
    g_byte_array_unref(msg);
}

static void
send_as_hub(struct fw_relay *r, int n, int64_t now_us,
            struct fw_rl_outbox *out)
{
    struct fw_list *pos;

    FW_LIST_EACH (pos, &r->members) {
        struct fw_rl_member *m = FW_LIST_ENTRY(pos, struct fw_rl_member, link);
        int is_leaf = Fw_Hubs_IsLeaf(r, m, now_us);

        if (is_leaf ||
            (Fw_Hubs_IsActing(r, m, now_us) && !m->unreachable_since_us)) {
            send_to(r, m, is_leaf, n, out);
        }
    }
}

/* Forgets limits that have ended. Return: number of servers to be sent. */
static int
prune(struct fw_relay *r, int64_t now_us)
{
    struct fw_list *pos;
    struct fw_list *tmp;
    int n = 0;

    FW_LIST_EACH_SAFE (pos, tmp, &r->limited_servers) {
        struct fw_rl_server *s =
            FW_LIST_ENTRY(pos, struct fw_rl_server, limit_link);

        if (s->limit.milli == FW_NO_LIMIT &&
            now_us - s->limit_changed_us >= FW_ENDED_SEND_US) {
            Fw_ServerLimits_Remove(s);
        }
        else {
            n++;
        }
    }
    return n;
}

void
Fw_LimitMessage_SendDue(struct fw_relay *r, int64_t now_us,
                        struct fw_rl_outbox *out)
{
    int64_t elapsed_us = now_us - r->limits_sent_us;
    int n;

    if (Fw_List_Empty(&r->limited_servers) ||
        elapsed_us < FW_CHANGED_INTERVAL_US) {
        return;
    }
    n = prune(r, now_us);
    if (!n || (!r->limits_changed &&
               elapsed_us < FW_INTERVAL_US + n * FW_INTERVAL_PER_ROW_US)) {
        return;
    }
    r->limits_changed = 0;
    r->limits_sent_us = now_us;
    if (r->exchange.is_hub) {
        send_as_hub(r, n, now_us, out);
    }
    else if (r->exchange.hub) {
        send_to(r, r->exchange.hub, 0, n, out);
    }
}

/* A server that was started anew is another one; 0 is an unknown start. */
static int
is_same_start(int64_t a, int64_t b)
{
    return a == b || !a || !b;
}

static void
apply_row(struct fw_relay *r, const msgpack_object_array *rows, uint32_t i,
          int is_from_hub, int64_t now_us)
{
    struct fw_rl_server *s =
        Fw_Servers_FindByHash(r, (uint64_t)Fw_Rows_Cell(rows, i, 0));
    int64_t version = Fw_Rows_Cell(rows, i, 2);
    int64_t milli = Fw_Rows_Cell(rows, i, 3);
    int64_t share = Fw_Rows_Cell(rows, i, 4);

    if (!s || !is_same_start(s->entry.born_ms, Fw_Rows_Cell(rows, i, 1))) {
        return;
    }
    if (milli < 0) {
        milli = FW_NO_LIMIT;
    }
    Fw_ServerLimits_Merge(r, s, milli, version, now_us);
    if (is_from_hub && share >= 0 && s->limit.milli == milli) {
        Fw_ServerLimits_SetShare(s, (int)MIN(share, G_MAXUINT16), now_us);
    }
}

int
Fw_LimitMessage_Read(struct fw_relay *r, const msgpack_object *o,
                     int64_t now_us)
{
    const struct fw_rl_member *hub = r->exchange.hub;
    const msgpack_object_array *rows;
    char name[FW_NAME_MAX];
    uint64_t type;
    int is_from_hub;

    if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size != 3 ||
        Fw_Unpack_U64(o, 0, &type) || type != FW_MSG_TYPE_LIMITS ||
        Fw_Unpack_Str(o, 1, name, sizeof(name))) {
        return -EBADMSG;
    }
    rows = Fw_Rows_Unpack(o, 2, FW_LIMIT_COLUMNS);
    if (!rows) {
        return -EBADMSG;
    }
    is_from_hub = !r->exchange.is_hub && hub && strcmp(hub->name, name) == 0;
    for (uint32_t i = 0; i < rows->size; i++) {
        apply_row(r, rows, i, is_from_hub, now_us);
    }
    return 0;
}
