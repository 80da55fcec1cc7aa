/*
 * Lists of hubs, sent to leaves and to instances that no hub has seen: an
 * instance doesn't learn by itself of those that start after it.
 */
#include <errno.h>
#include <string.h>

#include "base/hash.h"
#include "core/pack.h"
#include "relay/relay_internal.h"

#define FW_MSG_TYPE_HUB_LIST 10
/* Name, address, hash of the domain, CPU. */
#define FW_HUB_COLUMNS 4
#define FW_HUBS_LISTED_MAX 640
/* Time after which an unreachable hub that is listed is tried again. */
#define FW_UNREACHABLE_RETRY_US (300 * FW_MSEC)

static void
pack_hub(msgpack_packer *pk, const struct fw_rl_member *m)
{
    msgpack_pack_array(pk, FW_HUB_COLUMNS);
    Fw_Pack_Str(pk, m->name);
    Fw_Pack_Str(pk, m->addr);
    msgpack_pack_uint64(pk, m->domain);
    msgpack_pack_int64(pk, m->cpu_ppm);
}

static int
is_live_hub(const struct fw_relay *r, const struct fw_rl_member *m,
            int64_t now_us)
{
    return m->last_digest_us &&
           now_us - m->last_digest_us < Fw_Members_TimeoutUs(r);
}

void
Fw_HubList_Write(const struct fw_relay *r, int64_t now_us, GByteArray *out)
{
    struct fw_list *pos;
    msgpack_packer pk;
    size_t n = 0;

    FW_LIST_EACH (pos, &r->members) {
        const struct fw_rl_member *m =
            FW_LIST_ENTRY(pos, struct fw_rl_member, link);

        n += (size_t)is_live_hub(r, m, now_us);
    }
    Fw_Pack_Begin(&pk, out);
    msgpack_pack_array(&pk, 5);
    msgpack_pack_int(&pk, FW_MSG_TYPE_HUB_LIST);
    Fw_Pack_Str(&pk, r->opts.name);
    msgpack_pack_uint64(&pk, Fw_Hash_Str(r->opts.domain));
    msgpack_pack_int64(&pk, r->opts.cpu_ppm);
    msgpack_pack_array(&pk, n);
    FW_LIST_EACH (pos, &r->members) {
        const struct fw_rl_member *m =
            FW_LIST_ENTRY(pos, struct fw_rl_member, link);

        if (is_live_hub(r, m, now_us)) {
            pack_hub(&pk, m);
        }
    }
}

/** struct hub_entry - a hub in a list; @domain: hash of its domain. */
struct hub_entry {
    char name[FW_NAME_MAX];
    char addr[FW_URL_MAX];
    uint64_t domain;
    int64_t cpu_ppm;
};

static int
read_entry(const msgpack_object *o, struct hub_entry *out)
{
    return Fw_Unpack_Str(o, 0, out->name, sizeof(out->name)) ||
                   !out->name[0] ||
                   Fw_Unpack_Str(o, 1, out->addr, sizeof(out->addr)) ||
                   Fw_Unpack_U64(o, 2, &out->domain) ||
                   Fw_Unpack_I64(o, 3, &out->cpu_ppm)
               ? -EBADMSG
               : 0;
}

static void
apply_entry(struct fw_relay *r, const struct hub_entry *entry, int64_t now_us)
{
    struct fw_rl_member *m;

    if (strcmp(entry->name, r->opts.name) == 0) {
        return;
    }
    m = Fw_Members_Find(r, entry->name);
    if (!m) {
        m = Fw_Members_Add(r, entry->name, now_us);
    }
    g_strlcpy(m->addr, entry->addr, sizeof(m->addr));
    m->domain = entry->domain;
    m->cpu_ppm = entry->cpu_ppm;
    if (m->unreachable_since_us &&
        now_us - m->unreachable_since_us >= FW_UNREACHABLE_RETRY_US) {
        m->unreachable_since_us = 0;
        m->awaiting_since_us = 0;
    }
}

int
Fw_HubList_Read(struct fw_relay *r, const msgpack_object *o, const char *addr,
                int64_t now_us)
{
    const msgpack_object *rows;
    struct hub_entry from;
    struct hub_entry entry;
    uint64_t type;

    if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size != 5 ||
        Fw_Unpack_U64(o, 0, &type) || type != FW_MSG_TYPE_HUB_LIST ||
        Fw_Unpack_Str(o, 1, from.name, sizeof(from.name)) || !from.name[0] ||
        Fw_Unpack_U64(o, 2, &from.domain) ||
        Fw_Unpack_I64(o, 3, &from.cpu_ppm) ||
        !(rows = Fw_Unpack_Array(o, 4)) ||
        rows->via.array.size > FW_HUBS_LISTED_MAX) {
        return -EBADMSG;
    }
    for (uint32_t i = 0; i < rows->via.array.size; i++) {
        const msgpack_object *row = Fw_Unpack_Array(rows, i);

        if (!row || read_entry(row, &entry)) {
            return -EBADMSG;
        }
    }
    g_strlcpy(from.addr, addr, sizeof(from.addr));
    apply_entry(r, &from, now_us);
    for (uint32_t i = 0; i < rows->via.array.size; i++) {
        read_entry(Fw_Unpack_Array(rows, i), &entry);
        apply_entry(r, &entry, now_us);
    }
    return 0;
}
