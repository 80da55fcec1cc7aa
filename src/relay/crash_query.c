/*
 * What an instance that starts asks others about crashes, as it knows nothing
 * of what is in quarantine. It is not ready until one that knows has answered,
 * or several that have just started as well and the store's records were read
 * (crash_store.c), or for a short time at most.
 */
#include <errno.h>

#include "base/fault.h"
#include "core/pack.h"
#include "relay/relay_internal.h"

#define FW_MSG_TYPE_ASK 20
#define FW_MSG_TYPE_KNOWN 21
#define FW_ASK_ELEMENTS 3
#define FW_KNOWN_ELEMENTS 5
/* Interval between questions, and instances that one goes to. */
#define FW_ASK_INTERVAL_US (100 * FW_MSEC)
#define FW_ASKED_MAX 8
/* Time for which answers are waited for, and for other instances to ask. */
#define FW_WAIT_MAX_US (1 * FW_SEC)
/*
 * Time after the start after which nothing is asked: what is in quarantine has
 * been repeated by then.
 */
#define FW_STARTED_US (10 * FW_SEC)

int
Fw_CrashQuery_IsAnswered(const struct fw_relay *r, int64_t now_us)
{
    int64_t age_us = now_us - r->start_us;

    if (r->crashes.is_answered || age_us >= FW_STARTED_US ||
        (r->crashes.nobody_knows && r->store_sync.members_known)) {
        return 1;
    }
    if (Fw_List_Empty(&r->members)) {
        return r->store_sync.members_known || age_us >= FW_WAIT_MAX_US;
    }
    return r->crashes.asking_since_us &&
           now_us - r->crashes.asking_since_us >= FW_WAIT_MAX_US;
}

static int
may_ask(const struct fw_rl_member *m)
{
    return m->addr[0] && !m->has_answered_crashes;
}

/*
 * Draws up to FW_ASKED_MAX instances that have not answered; a leaf's hub is
 * always among them. Return: their number.
 */
static int
draw_instances(struct fw_relay *r, struct fw_rl_member *drawn[FW_ASKED_MAX])
{
    struct fw_list *pos;
    int n = 0;

    FW_LIST_EACH (pos, &r->members) {
        struct fw_rl_member *m = FW_LIST_ENTRY(pos, struct fw_rl_member, link);
        int at;

        if (!may_ask(m)) {
            continue;
        }
        at = n < FW_ASKED_MAX ? n : g_rand_int_range(r->rand, 0, n + 1);
        n++;
        if (at < FW_ASKED_MAX) {
            drawn[at] = m;
        }
    }
    if (r->exchange.hub && may_ask(r->exchange.hub)) {
        drawn[0] = r->exchange.hub;
    }
    return MIN(n, FW_ASKED_MAX);
}

void
Fw_CrashQuery_SendDue(struct fw_relay *r, int64_t now_us,
                      struct fw_rl_outbox *out)
{
    struct fw_rl_member *drawn[FW_ASKED_MAX];
    GByteArray *msg;
    msgpack_packer pk;
    int n;

    if (Fw_CrashQuery_IsAnswered(r, now_us) ||
        now_us - r->crashes.asked_us < FW_ASK_INTERVAL_US) {
        return;
    }
    n = draw_instances(r, drawn);
    if (!n) {
        return;
    }
    r->crashes.asked_us = now_us;
    if (!r->crashes.asking_since_us) {
        r->crashes.asking_since_us = now_us;
    }
    msg = g_byte_array_new();
    Fw_Pack_Begin(&pk, msg);
    msgpack_pack_array(&pk, FW_ASK_ELEMENTS);
    msgpack_pack_int(&pk, FW_MSG_TYPE_ASK);
    Fw_Pack_Str(&pk, r->opts.name);
    msgpack_pack_uint64(&pk, r->opts.boot);
    for (int i = 0; i < n; i++) {
        Fw_Outbox_Add(out, drawn[i]->addr, msg);
    }
    g_byte_array_unref(msg);
}

static void
send_known(const struct fw_relay *r, uint64_t boot, const char *addr,
           int64_t now_us, struct fw_rl_outbox *out)
{
    const struct fw_blame *b = &r->crashes.blame;
    GByteArray *msg = g_byte_array_new();
    msgpack_packer pk;
    size_t n = 0;

    for (int i = 0; i < b->n_quarantines; i++) {
        n += (size_t)b->quarantines[i].is_active;
    }
    Fw_Pack_Begin(&pk, msg);
    msgpack_pack_array(&pk, FW_KNOWN_ELEMENTS);
    msgpack_pack_int(&pk, FW_MSG_TYPE_KNOWN);
    Fw_Pack_Str(&pk, r->opts.name);
    msgpack_pack_uint64(&pk, boot);
    msgpack_pack_int(&pk, Fw_CrashQuery_IsAnswered(r, now_us));
    msgpack_pack_array(&pk, n);
    for (int i = 0; i < b->n_quarantines; i++) {
        if (b->quarantines[i].is_active) {
            Fw_CrashMessage_PackQuarantine(&pk, &b->quarantines[i], now_us);
        }
    }
    Fw_Outbox_Add(out, addr, msg);
    g_byte_array_unref(msg);
}

/* Whether enough others have said that they have just started as well. */
static int
knows_nobody(const struct fw_relay *r)
{
    struct fw_list *pos;
    int answered = 0;
    int silent = 0;

    FW_LIST_EACH (pos, &r->members) {
        const struct fw_rl_member *m =
            FW_LIST_ENTRY(pos, struct fw_rl_member, link);

        answered += m->has_answered_crashes;
        silent += !m->has_answered_crashes;
    }
    return answered >= FW_ASKED_MAX || (answered && !silent);
}

static int
read_known(struct fw_relay *r, const msgpack_object *o, const char *name,
           uint64_t boot, int64_t now_us)
{
    struct fw_rl_member *m = Fw_Members_Find(r, name);
    const msgpack_object *rows = Fw_Unpack_Array(o, 4);
    int64_t knows;

    if (!rows || Fw_Unpack_I64(o, 3, &knows) ||
        Fw_CrashMessage_ReadQuarantines(r, rows, now_us)) {
        return -EBADMSG;
    }
    if (boot != r->opts.boot || !m) {
        return 0;
    }
    m->has_answered_crashes = 1;
    r->crashes.is_answered |= knows != 0;
    r->crashes.nobody_knows |= knows_nobody(r);
    return 0;
}

int
Fw_CrashQuery_Read(struct fw_relay *r, const msgpack_object *o,
                   const char *addr, int64_t now_us, struct fw_rl_outbox *out)
{
    char name[FW_NAME_MAX];
    uint64_t type;
    uint64_t boot;

    if (o->type != MSGPACK_OBJECT_ARRAY || Fw_Unpack_U64(o, 0, &type) ||
        Fw_Unpack_Str(o, 1, name, sizeof(name)) ||
        Fw_Unpack_U64(o, 2, &boot)) {
        return -EBADMSG;
    }
    if (type == FW_MSG_TYPE_ASK && o->via.array.size == FW_ASK_ELEMENTS) {
        if (!FW_FAULT("crashes-kept-alone")) {
            send_known(r, boot, addr, now_us, out);
        }
        return 0;
    }
    if (type == FW_MSG_TYPE_KNOWN && o->via.array.size == FW_KNOWN_ELEMENTS) {
        return read_known(r, o, name, boot, now_us);
    }
    return -EBADMSG;
}
