/*
 * Which instances are hubs. Each ranks those that it knows by what they can
 * bear, so all agree but for those that one can't reach; an instance that
 * others report to is one all the same.
 */
#include <errno.h>
#include <string.h>

#include "base/hash.h"
#include "core/pack.h"
#include "relay/relay_internal.h"

#define FW_FORM_HUBS 10
/* Hubs of the fleet; more where each domain needs its least. */
#define FW_HUBS 10
/* So that one may fail without its domain. */
#define FW_HUBS_A_DOMAIN 2
/* A fleet that is little larger has hubs only. */
#define FW_HUBS_SLACK 2
#define FW_DOMAINS_MAX 64
/* One that sent no digest for so long has become a leaf, or failed. */
#define FW_ACTING_US (2 * FW_SEC)
/* Of a listed hub that was unreachable from here: until it is tried again. */
#define FW_RETRY_FAILED_US (300 * FW_MSEC)
/* Name, address, domain and processor. */
#define FW_HUB_WIDTH 4

/** struct domain - @hubs: the @n best of one, best first; NULL is @r itself */
struct domain {
    uint64_t hash;
    int n;
    struct fw_rl_member *hubs[FW_HUBS];
};

/** struct ranking - hubs by domain; @each: of one domain. */
struct ranking {
    const struct fw_relay *r;
    struct domain domains[FW_DOMAINS_MAX];
    int n_domains;
    int each;
};

static int64_t
cpu_of(const struct fw_relay *r, const struct fw_rl_member *m)
{
    return m ? m->cpu_ppm : r->opts.cpu_ppm;
}

static uint64_t
hash_of(const struct fw_relay *r, const struct fw_rl_member *m)
{
    return m ? m->hash : r->hash;
}

/* Is @a the better hub? */
static int
is_better(const struct fw_relay *r, const struct fw_rl_member *a,
          const struct fw_rl_member *b)
{
    if (cpu_of(r, a) != cpu_of(r, b)) {
        return cpu_of(r, a) > cpu_of(r, b);
    }
    return hash_of(r, a) < hash_of(r, b);
}

static struct domain *
domain_of(struct ranking *k, uint64_t hash)
{
    for (int i = 0; i < k->n_domains; i++) {
        if (k->domains[i].hash == hash) {
            return &k->domains[i];
        }
    }
    if (k->n_domains == FW_DOMAINS_MAX) {
        return NULL;
    }
    k->domains[k->n_domains] = (struct domain){.hash = hash};
    return &k->domains[k->n_domains++];
}

/* Among the @k->each best of its domain, in their order. */
static void
enter(struct ranking *k, struct fw_rl_member *m, uint64_t hash)
{
    struct domain *d = domain_of(k, hash);
    int at;

    if (!d) {
        return;
    }
    for (at = d->n; at > 0 && is_better(k->r, m, d->hubs[at - 1]); at--) {
        if (at < k->each) {
            d->hubs[at] = d->hubs[at - 1];
        }
    }
    if (at < k->each) {
        d->hubs[at] = m;
        d->n = MIN(d->n + 1, k->each);
    }
}

static uint64_t
own_domain(const struct fw_relay *r)
{
    return Fw_Hash_Str(r->opts.domain);
}

/*
 * Hubs of one domain; so many that all are where few are known. Unreachable
 * instances count: what one can't reach must not change its roles for all.
 */
static int
hubs_of_each(const struct fw_relay *r)
{
    struct ranking k = {.r = r, .each = 1};
    struct fw_list *pos;
    int n = 1;

    domain_of(&k, own_domain(r));
    FW_LIST_EACH (pos, &r->members) {
        const struct fw_rl_member *m =
            FW_LIST_ENTRY(pos, struct fw_rl_member, link);

        n++;
        domain_of(&k, m->domain);
    }
    return n <= FW_HUBS + FW_HUBS_SLACK
               ? n
               : MAX(FW_HUBS / k.n_domains, FW_HUBS_A_DOMAIN);
}

/* Marks the hubs. Return: is this instance among them? */
static int
rank(struct fw_relay *r, int with_failed)
{
    struct ranking k = {.r = r, .each = MIN(hubs_of_each(r), FW_HUBS)};
    struct fw_list *pos;
    int is_hub = 0;

    enter(&k, NULL, own_domain(r));
    FW_LIST_EACH (pos, &r->members) {
        struct fw_rl_member *m = FW_LIST_ENTRY(pos, struct fw_rl_member, link);

        *(with_failed ? &m->was_ranked : &m->is_ranked) = 0;
        if (with_failed || !m->failed_us) {
            enter(&k, m, m->domain);
        }
    }
    for (int i = 0; i < k.n_domains; i++) {
        for (int h = 0; h < k.domains[i].n; h++) {
            struct fw_rl_member *m = k.domains[i].hubs[h];

            if (!m) {
                is_hub = 1;
            }
            else {
                *(with_failed ? &m->was_ranked : &m->is_ranked) = 1;
            }
        }
    }
    return is_hub;
}

int
Fw_Hubs_IsLeaf(const struct fw_relay *r, const struct fw_rl_member *m,
               int64_t now_us)
{
    return m->report_us && now_us - m->report_us < Fw_Members_Touch(r);
}

int
Fw_Hubs_IsActing(const struct fw_relay *r, const struct fw_rl_member *m,
                 int64_t now_us)
{
    return (m->is_ranked && !Fw_Hubs_IsLeaf(r, m, now_us)) ||
           (m->digest_us && now_us - m->digest_us < FW_ACTING_US);
}

static int
has_leaves(const struct fw_relay *r, int64_t now_us)
{
    struct fw_list *pos;

    FW_LIST_EACH (pos, &r->members) {
        if (Fw_Hubs_IsLeaf(r, FW_LIST_ENTRY(pos, struct fw_rl_member, link),
                           now_us)) {
            return 1;
        }
    }
    return 0;
}

/*
 * What a hub said of all others would be counted beside what they say
 * themselves. Who owed an answer in the other role owes none in this one.
 */
static void
change_role(struct fw_relay *r)
{
    struct fw_list *pos;

    if (r->x.hub) {
        Fw_Load_Drop(r, r->x.hub);
    }
    r->x.hub = NULL;
    r->x.recount = 1;
    FW_LIST_EACH (pos, &r->members) {
        FW_LIST_ENTRY(pos, struct fw_rl_member, link)->asked_us = 0;
    }
}

void
Fw_Hubs_Rank(struct fw_relay *r, int64_t now_us)
{
    int was_hub = r->x.is_hub;

    rank(r, 1);
    r->x.is_hub = rank(r, 0) || has_leaves(r, now_us);
    if (r->draining && Fw_Hubs_Choose(r)) {
        r->x.is_hub = 0;
    }
    if (r->x.is_hub != was_hub) {
        change_role(r);
    }
}

/*
 * Of the hubs that all agree on; of those that take their places only where
 * none of them can be reached.
 */
static int
may_choose(const struct fw_relay *r, const struct fw_rl_member *m, int agreed)
{
    return m->domain == own_domain(r) && m->is_ranked &&
           (m->was_ranked || !agreed);
}

static struct fw_rl_member *
choose(const struct fw_relay *r, int agreed)
{
    struct fw_rl_member *found[FW_HUBS];
    struct fw_list *pos;
    int n = 0;

    FW_LIST_EACH (pos, &r->members) {
        struct fw_rl_member *m = FW_LIST_ENTRY(pos, struct fw_rl_member, link);
        int at = n;

        if (!may_choose(r, m, agreed) || n == FW_HUBS) {
            continue;
        }
        for (; at > 0 && is_better(r, m, found[at - 1]); at--) {
            found[at] = found[at - 1];
        }
        found[at] = m;
        n++;
    }
    return n ? found[r->hash % (uint64_t)n] : NULL;
}

struct fw_rl_member *
Fw_Hubs_Choose(const struct fw_relay *r)
{
    struct fw_rl_member *m = choose(r, 1);

    return m ? m : choose(r, 0);
}

static void
pack_hub(msgpack_packer *pk, const struct fw_rl_member *m)
{
    msgpack_pack_array(pk, FW_HUB_WIDTH);
    Fw_Pack_Str(pk, m->name);
    Fw_Pack_Str(pk, m->addr);
    msgpack_pack_uint64(pk, m->domain);
    msgpack_pack_int64(pk, m->cpu_ppm);
}

/* Hubs that are in touch, for who may not know them. */
void
Fw_Hubs_Write(const struct fw_relay *r, int64_t now_us, GByteArray *out)
{
    int64_t touch_us = Fw_Members_Touch(r);
    struct fw_list *pos;
    msgpack_packer pk;
    size_t n = 0;

    FW_LIST_EACH (pos, &r->members) {
        const struct fw_rl_member *m =
            FW_LIST_ENTRY(pos, struct fw_rl_member, link);

        n += m->digest_us && now_us - m->digest_us < touch_us;
    }
    Fw_Pack_Begin(&pk, out);
    msgpack_pack_array(&pk, 5);
    msgpack_pack_int(&pk, FW_FORM_HUBS);
    Fw_Pack_Str(&pk, r->opts.name);
    msgpack_pack_uint64(&pk, own_domain(r));
    msgpack_pack_int64(&pk, r->opts.cpu_ppm);
    msgpack_pack_array(&pk, n);
    FW_LIST_EACH (pos, &r->members) {
        const struct fw_rl_member *m =
            FW_LIST_ENTRY(pos, struct fw_rl_member, link);

        if (m->digest_us && now_us - m->digest_us < touch_us) {
            pack_hub(&pk, m);
        }
    }
}

/** struct listed - a hub as a message names it. */
struct listed {
    char name[FW_NAME_MAX];
    char addr[FW_URL_MAX];
    uint64_t domain;
    int64_t cpu_ppm;
};

static int
read_listed(const msgpack_object *o, struct listed *out)
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
take_listed(struct fw_relay *r, const struct listed *l, int64_t now_us)
{
    struct fw_rl_member *m;

    if (strcmp(l->name, r->opts.name) == 0) {
        return;
    }
    m = Fw_Members_Find(r, l->name);
    if (!m) {
        m = Fw_Members_Add(r, l->name, now_us);
    }
    g_strlcpy(m->addr, l->addr, sizeof(m->addr));
    m->domain = l->domain;
    m->cpu_ppm = l->cpu_ppm;
    if (m->failed_us && now_us - m->failed_us >= FW_RETRY_FAILED_US) {
        m->failed_us = 0;
        m->asked_us = 0;
    }
}

int
Fw_Hubs_Read(struct fw_relay *r, const msgpack_object *o, const char *addr,
             int64_t now_us)
{
    const msgpack_object *rows;
    struct listed from;
    struct listed l;
    uint64_t form;

    if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size != 5 ||
        Fw_Unpack_U64(o, 0, &form) || form != FW_FORM_HUBS ||
        Fw_Unpack_Str(o, 1, from.name, sizeof(from.name)) || !from.name[0] ||
        Fw_Unpack_U64(o, 2, &from.domain) ||
        Fw_Unpack_I64(o, 3, &from.cpu_ppm) ||
        !(rows = Fw_Unpack_Array(o, 4)) ||
        rows->via.array.size > FW_DOMAINS_MAX * FW_HUBS) {
        return -EBADMSG;
    }
    for (uint32_t i = 0; i < rows->via.array.size; i++) {
        const msgpack_object *row = Fw_Unpack_Array(rows, i);

        if (!row || read_listed(row, &l)) {
            return -EBADMSG;
        }
    }
    g_strlcpy(from.addr, addr, sizeof(from.addr));
    take_listed(r, &from, now_us);
    for (uint32_t i = 0; i < rows->via.array.size; i++) {
        read_listed(Fw_Unpack_Array(rows, i), &l);
        take_listed(r, &l, now_us);
    }
    return 0;
}
