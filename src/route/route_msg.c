#include "route/route_msg.h"

#include <errno.h>

#include "core/pack.h"

static void
pack_hashes(msgpack_packer *pk, const uint64_t *hash, int n)
{
    msgpack_pack_array(pk, (size_t)n);
    for (int i = 0; i < n; i++) {
        msgpack_pack_uint64(pk, hash[i]);
    }
}

static void
pack_item(msgpack_packer *pk, const struct fw_reserve_item *it)
{
    msgpack_pack_array(pk, 9);
    msgpack_pack_uint64(pk, it->engine);
    msgpack_pack_int(pk, it->is_prefill);
    msgpack_pack_int(pk, it->exclusive);
    msgpack_pack_uint64(pk, it->serving);
    msgpack_pack_int64(pk, it->tokens);
    msgpack_pack_int64(pk, it->need_us);
    msgpack_pack_uint64(pk, it->from_domain);
    msgpack_pack_int64(pk, it->transfer_us);
    pack_hashes(pk, it->prefixes.hash, it->prefixes.n);
}

static void
pack_reserve(msgpack_packer *pk, const struct fw_route_reserve *w)
{
    msgpack_pack_array(pk, 4);
    msgpack_pack_int(pk, FW_ROUTE_RESERVE);
    msgpack_pack_uint64(pk, w->round_id);
    msgpack_pack_array(pk, (size_t)w->n);
    for (int i = 0; i < w->n; i++) {
        pack_item(pk, &w->item[i]);
    }
    pack_hashes(pk, w->leaving.engine, w->leaving.n);
}

static void
pack_reply(msgpack_packer *pk, const struct fw_route_reply *p)
{
    msgpack_pack_array(pk, 5);
    msgpack_pack_int(pk, FW_ROUTE_REPLY);
    msgpack_pack_uint64(pk, p->round_id);
    msgpack_pack_array(pk, (size_t)p->n);
    for (int i = 0; i < p->n; i++) {
        const struct fw_reserve_result *result = &p->result[i];

        msgpack_pack_array(pk, 5);
        msgpack_pack_uint64(pk, result->engine);
        msgpack_pack_int(pk, (int)result->status);
        msgpack_pack_int64(pk, result->wait_us);
        msgpack_pack_int64(pk, result->cached_tokens);
        msgpack_pack_int64(pk, result->free_slots);
    }
    msgpack_pack_array(pk, (size_t)p->n_loads);
    for (int i = 0; i < p->n_loads; i++) {
        msgpack_pack_array(pk, 3);
        msgpack_pack_uint64(pk, p->load[i].engine);
        msgpack_pack_int64(pk, p->load[i].wait_us);
        msgpack_pack_int64(pk, p->load[i].free_slots);
    }
    pack_hashes(pk, p->leaving.engine, p->leaving.n);
}

void
Fw_Route_PackMsg(msgpack_packer *pk, const struct fw_route_msg *msg)
{
    switch (msg->kind) {
    case FW_ROUTE_RESERVE:
        pack_reserve(pk, &msg->u.reserve);
        return;
    case FW_ROUTE_REPLY:
        pack_reply(pk, &msg->u.reply);
        return;
    case FW_ROUTE_RELEASE:
        msgpack_pack_array(pk, 4);
        msgpack_pack_int(pk, FW_ROUTE_RELEASE);
        msgpack_pack_uint64(pk, msg->u.release.round_id);
        msgpack_pack_uint64(pk, msg->u.release.engine);
        msgpack_pack_int64(pk, msg->u.release.cached_tokens);
        return;
    case FW_ROUTE_NONE:
        break;
    }
    msgpack_pack_array(pk, 1);
    msgpack_pack_int(pk, FW_ROUTE_NONE);
}

/* Returns the array at @i, or NULL if it has more than @max elements. */
static const msgpack_object *
unpack_bounded_array(const msgpack_object *obj, uint32_t i, int max)
{
    const msgpack_object *arr = Fw_Unpack_Array(obj, i);

    return arr && arr->via.array.size <= (uint32_t)max ? arr : NULL;
}

static int
unpack_hashes(const msgpack_object *obj, uint32_t i, uint64_t *hash, int max,
              int *n)
{
    const msgpack_object *arr = unpack_bounded_array(obj, i, max);

    if (!arr) {
        return -EBADMSG;
    }
    *n = (int)arr->via.array.size;
    for (int k = 0; k < *n; k++) {
        if (Fw_Unpack_U64(arr, (uint32_t)k, &hash[k])) {
            return -EBADMSG;
        }
    }
    return 0;
}

/* Unpacks a duration or count, bounded so that sums do not overflow. */
static int
unpack_non_negative(const msgpack_object *obj, uint32_t i, int64_t *out)
{
    if (Fw_Unpack_I64(obj, i, out) || *out < 0 || *out > (1LL << 40)) {
        return -EBADMSG;
    }
    return 0;
}

static int
unpack_item(const msgpack_object *o, struct fw_reserve_item *it)
{
    int64_t prefill;
    int64_t alone;

    if (Fw_Unpack_U64(o, 0, &it->engine) || Fw_Unpack_I64(o, 1, &prefill) ||
        Fw_Unpack_I64(o, 2, &alone) || Fw_Unpack_U64(o, 3, &it->serving) ||
        unpack_non_negative(o, 4, &it->tokens) ||
        unpack_non_negative(o, 5, &it->need_us) ||
        Fw_Unpack_U64(o, 6, &it->from_domain) ||
        unpack_non_negative(o, 7, &it->transfer_us)) {
        return -EBADMSG;
    }
    it->is_prefill = prefill != 0;
    it->exclusive = alone != 0;
    return unpack_hashes(o, 8, it->prefixes.hash, FW_PREFIX_LEVELS,
                         &it->prefixes.n);
}

static int
unpack_reserve(const msgpack_object *o, struct fw_route_reserve *w)
{
    const msgpack_object *arr = unpack_bounded_array(o, 2, FW_ROUTE_ITEMS_MAX);

    if (!arr || Fw_Unpack_U64(o, 1, &w->round_id)) {
        return -EBADMSG;
    }
    w->n = (int)arr->via.array.size;
    for (int i = 0; i < w->n; i++) {
        if (unpack_item(&arr->via.array.ptr[i], &w->item[i])) {
            return -EBADMSG;
        }
    }
    return unpack_hashes(o, 3, w->leaving.engine, FW_ROUTE_LEAVING_MAX,
                         &w->leaving.n);
}

static int
unpack_result(const msgpack_object *o, struct fw_reserve_result *result)
{
    int64_t grant;

    if (Fw_Unpack_U64(o, 0, &result->engine) || Fw_Unpack_I64(o, 1, &grant) ||
        grant < 0 || grant >= FW_RESERVE_STATUSES ||
        unpack_non_negative(o, 2, &result->wait_us) ||
        unpack_non_negative(o, 3, &result->cached_tokens) ||
        unpack_non_negative(o, 4, &result->free_slots)) {
        return -EBADMSG;
    }
    result->status = (enum fw_reserve_status)grant;
    return 0;
}

static int
unpack_reply(const msgpack_object *o, struct fw_route_reply *p)
{
    const msgpack_object *results =
        unpack_bounded_array(o, 2, FW_ROUTE_ITEMS_MAX);
    const msgpack_object *loads =
        unpack_bounded_array(o, 3, FW_ROUTE_LOADS_MAX);

    if (!results || !loads || Fw_Unpack_U64(o, 1, &p->round_id)) {
        return -EBADMSG;
    }
    p->n = (int)results->via.array.size;
    for (int i = 0; i < p->n; i++) {
        if (unpack_result(&results->via.array.ptr[i], &p->result[i])) {
            return -EBADMSG;
        }
    }
    p->n_loads = (int)loads->via.array.size;
    for (int i = 0; i < p->n_loads; i++) {
        const msgpack_object *l = &loads->via.array.ptr[i];

        if (Fw_Unpack_U64(l, 0, &p->load[i].engine) ||
            unpack_non_negative(l, 1, &p->load[i].wait_us) ||
            unpack_non_negative(l, 2, &p->load[i].free_slots)) {
            return -EBADMSG;
        }
    }
    return unpack_hashes(o, 4, p->leaving.engine, FW_ROUTE_LEAVING_MAX,
                         &p->leaving.n);
}

int
Fw_Route_UnpackMsg(const msgpack_object *obj, struct fw_route_msg *msg)
{
    int64_t kind;

    if (Fw_Unpack_I64(obj, 0, &kind)) {
        return -EBADMSG;
    }
    msg->kind = (enum fw_route_msg_kind)kind;
    switch (kind) {
    case FW_ROUTE_NONE:
        return 0;
    case FW_ROUTE_RESERVE:
        return unpack_reserve(obj, &msg->u.reserve);
    case FW_ROUTE_REPLY:
        return unpack_reply(obj, &msg->u.reply);
    case FW_ROUTE_RELEASE:
        if (Fw_Unpack_U64(obj, 1, &msg->u.release.round_id) ||
            Fw_Unpack_U64(obj, 2, &msg->u.release.engine) ||
            Fw_Unpack_I64(obj, 3, &msg->u.release.cached_tokens)) {
            return -EBADMSG;
        }
        return 0;
    default:
        return -EBADMSG;
    }
}

void
Fw_Route_ClearMsg(struct fw_route_msg *msg)
{
    msg->kind = FW_ROUTE_NONE;
}
