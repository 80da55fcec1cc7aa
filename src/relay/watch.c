/*
 * Keeping up with the platform's store in a large fleet. Its rates are shared
 * by all instances, so only some read it; the others ask those how far they
 * are, and read once when there is something newer.
 *
 * How old one's knowledge is must not depend on how long a message was under
 * way: what an answer says counts from when the question was sent. An
 * instance that gets no answers reads the store itself.
 */
#include <errno.h>
#include <msgpack.h>
#include <string.h>

#include "base/fault.h"
#include "base/hash.h"
#include "core/pack.h"
#include "relay/relay_internal.h"

#define FW_FORM_QUESTION 2
#define FW_FORM_ANSWER 3

/* A fleet up to this size reads the store by itself, each instance. */
#define FW_READ_ALL 4
/* Of a larger one, one in so many, but no fewer than FW_READERS_MIN. */
#define FW_READERS_PART 16
#define FW_READERS_MIN 4
/* Questions come so often; one without an answer is given up by then. */
#define FW_ASK_US (700 * FW_MSEC)
/* Without news for so long an instance reads for itself. */
#define FW_LEFT_ALONE_US (3 * FW_SEC)
/*
 * One that reads for itself and learnt nothing for so long asks as well: the
 * store may turn some instances away while it serves others. Their keys would
 * stop counting after 4.8 s, and callers be sent away, with a good answer one
 * hop off. Its own reads take 1.5 s when nothing goes wrong.
 */
#define FW_ASK_TOO_US (2 * FW_SEC)
/* A member whose digests come is asked. */
#define FW_HEARD_US (2500 * FW_MSEC)
/* Instances up to which digests go out at the base interval. */
#define FW_DIGEST_BASE 48

static int
in_touch(const struct fw_rl_member *m, int64_t now_us)
{
    return m->heard_us && now_us - m->heard_us < FW_HEARD_US;
}

int
Fw_Relay_ReadsStore(const struct fw_relay *r, int64_t now_us)
{
    uint64_t mine = Fw_Hash_Str(r->opts.name);
    struct fw_list *pos;
    int before = 0;
    int n = 1;

    if (!r->rules || !r->list_known ||
        now_us - r->fresh_us > FW_LEFT_ALONE_US) {
        return 1;
    }
    FW_LIST_EACH (pos, &r->members) {
        const struct fw_rl_member *m =
            FW_LIST_ENTRY(pos, struct fw_rl_member, link);

        if (in_touch(m, now_us)) {
            n++;
            before += Fw_Hash_Str(m->name) < mine;
        }
    }
    return n <= FW_READ_ALL ||
           before < MAX(FW_READERS_MIN, n / FW_READERS_PART);
}

/*
 * What a reader knows is up to two waits old when it is asked about it; the
 * others' knowledge is older still by a question.
 */
int64_t
Fw_Relay_RulesWait(const struct fw_relay *r, int64_t base_us, int64_t now_us)
{
    return Fw_Members_Count(r, now_us, NULL) <= FW_READ_ALL ? base_us
                                                            : base_us / 2;
}

/* Order doesn't matter: the sum of what each entry amounts to. */
uint64_t
Fw_Watch_ListHash(const struct fw_relay *r)
{
    struct fw_list *pos;
    uint64_t sum = 0;

    FW_LIST_EACH (pos, &r->servers) {
        const struct fw_rl_server *s =
            FW_LIST_ENTRY(pos, struct fw_rl_server, link);
        uint64_t seed = (uint64_t)s->e.born_ms * 8 +
                        (uint64_t)s->e.draining * 4 + (uint64_t)s->e.stage;

        sum += Fw_Hash_Bytes(s->e.id, strlen(s->e.id), seed);
    }
    return sum;
}

void
Fw_Watch_Heard(struct fw_relay *r, const struct fw_rl_member *m)
{
    if (m->rules_offset > r->rules_offset) {
        r->watch.want_rules = 1;
    }
    if (m->list_offset > r->watch.list_offset &&
        m->list_hash != Fw_Watch_ListHash(r)) {
        r->watch.want_list = 1;
    }
}

int
Fw_Watch_IsBehind(const struct fw_relay *r, int64_t now_us)
{
    struct fw_list *pos;

    FW_LIST_EACH (pos, &r->members) {
        const struct fw_rl_member *m =
            FW_LIST_ENTRY(pos, struct fw_rl_member, link);

        if (in_touch(m, now_us) && m->rules_offset > r->rules_offset) {
            return 1;
        }
    }
    return 0;
}

int
Fw_Relay_TakeWantRules(struct fw_relay *r)
{
    int want = r->watch.want_rules;

    r->watch.want_rules = 0;
    return want;
}

int
Fw_Relay_TakeWantList(struct fw_relay *r)
{
    int want = r->watch.want_list;

    r->watch.want_list = 0;
    return want;
}

void
Fw_Relay_ListOffset(struct fw_relay *r, uint64_t offset)
{
    r->watch.list_offset = offset;
}

int64_t
Fw_Relay_DigestEvery(const struct fw_relay *r, int64_t base_us, int64_t now_us)
{
    int n = Fw_Members_Count(r, now_us, NULL);

    return base_us * MAX(n, FW_DIGEST_BASE) / FW_DIGEST_BASE;
}

/* One that reads the store itself, drawn at random, or NULL. */
static struct fw_rl_member *
pick_reader(struct fw_relay *r, int64_t now_us)
{
    struct fw_rl_member *picked = NULL;
    struct fw_list *pos;
    int n = 0;

    FW_LIST_EACH (pos, &r->members) {
        struct fw_rl_member *m = FW_LIST_ENTRY(pos, struct fw_rl_member, link);

        if (m->reads && in_touch(m, now_us) &&
            g_rand_int_range(r->rand, 0, ++n) == 0) {
            picked = m;
        }
    }
    return picked;
}

int
Fw_Relay_WriteQuestion(struct fw_relay *r, int64_t now_us, GByteArray *out,
                       const char **addr)
{
    struct fw_rl_member *m;
    msgpack_packer pk;

    if (now_us - r->watch.asked_us < FW_ASK_US ||
        (Fw_Relay_ReadsStore(r, now_us) &&
         now_us - r->fresh_us < FW_ASK_TOO_US)) {
        return 0;
    }
    m = pick_reader(r, now_us);
    if (!m) {
        return 0;
    }
    r->watch.asked_us = now_us;
    r->watch.nonce = ++r->watch.last_nonce;
    Fw_Pack_Begin(&pk, out);
    msgpack_pack_array(&pk, 3);
    msgpack_pack_int(&pk, FW_FORM_QUESTION);
    msgpack_pack_uint64(&pk, r->opts.boot);
    msgpack_pack_uint64(&pk, r->watch.nonce);
    *addr = m->addr;
    return 1;
}

static void
write_answer(struct fw_relay *r, const msgpack_object *f, int64_t now_us,
             GByteArray *reply)
{
    msgpack_packer pk;

    if (!r->rules) {
        return;
    }
    Fw_Pack_Begin(&pk, reply);
    msgpack_pack_array(&pk, 5);
    msgpack_pack_int(&pk, FW_FORM_ANSWER);
    msgpack_pack_uint64(&pk, f[1].via.u64);
    msgpack_pack_uint64(&pk, f[2].via.u64);
    msgpack_pack_uint64(&pk, r->rules_offset);
    msgpack_pack_uint64(&pk, (uint64_t)MAX(now_us - r->fresh_us, 0));
}

static void
take_answer(struct fw_relay *r, const msgpack_object *f, int64_t now_us)
{
    int64_t from_us = r->watch.asked_us;

    if (f[1].via.u64 != r->opts.boot || f[2].via.u64 != r->watch.nonce) {
        return; /* to a question that was given up */
    }
    r->watch.nonce = 0;
    if (f[3].via.u64 > r->rules_offset) {
        r->watch.want_rules = 1;
    }
    else if (f[3].via.u64 == r->rules_offset) {
        if (FW_FAULT("fresh-from-arrival")) {
            from_us = now_us;
        }
        Fw_Relay_Fresh(r, from_us - (int64_t)f[4].via.u64);
    }
}

static int
all_numbers(const msgpack_object_array *a)
{
    for (uint32_t i = 0; i < a->size; i++) {
        if (a->ptr[i].type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
            return 0;
        }
    }
    return 1;
}

int
Fw_Watch_Read(struct fw_relay *r, const msgpack_object *o, int64_t now_us,
              GByteArray *reply)
{
    const msgpack_object_array *a = &o->via.array;

    if (o->type != MSGPACK_OBJECT_ARRAY || !all_numbers(a)) {
        return -EBADMSG;
    }
    if (a->size == 3 && a->ptr[0].via.u64 == FW_FORM_QUESTION) {
        write_answer(r, a->ptr, now_us, reply);
        return 0;
    }
    if (a->size == 5 && a->ptr[0].via.u64 == FW_FORM_ANSWER) {
        take_answer(r, a->ptr, now_us);
        return 0;
    }
    return -EBADMSG;
}
