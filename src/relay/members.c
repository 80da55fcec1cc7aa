/* Other instances that this one knows, and how many count. */
#include <string.h>

#include "base/hash.h"
#include "relay/relay_internal.h"

/*
 * One that was silent for so long has left for good. Until then its part of
 * the allowances stays unused: it may only be cut off.
 */
#define FW_MEMBER_LIFE_US (20 * FW_SEC)
/* The count is worked out again after so long. */
#define FW_CENSUS_US (10 * FW_MSEC)
/* What a member has at servers counts for so long after its last message. */
#define FW_LOAD_LIFE_US (2 * FW_SEC)

/**
 * struct seen - an instance in the census.
 * @seen_us: when it was in touch with this instance or a hub, 0 for not yet
 * @member: NULL where only others know it
 * @is_gone: silent for so long that it doesn't count
 */
struct seen {
    int64_t added_us;
    int64_t seen_us;
    struct fw_rl_member *member;
    int is_gone;
};

static struct seen *
seen_of(struct fw_relay *r, uint64_t hash)
{
    struct seen *s = g_hash_table_lookup(r->census, &hash);

    if (!s) {
        s = g_new0(struct seen, 1);
        g_hash_table_insert(r->census, Fw_Rows_Key(hash), s);
    }
    return s;
}

int64_t
Fw_Members_Touch(const struct fw_relay *r)
{
    return FW_RL_TOUCH_PERIODS * r->opts.digest_every_us;
}

void
Fw_Members_Seen(struct fw_relay *r, uint64_t hash, int64_t seen_us)
{
    struct seen *s;

    if (hash == r->hash) {
        return;
    }
    s = seen_of(r, hash);
    s->seen_us = MAX(s->seen_us, seen_us);
    r->x.recount = 1;
}

/* Its hub's digest includes it from now on. */
static void
drop_sums(struct fw_relay *r, struct fw_rl_member *m)
{
    m->report_us = 0;
    m->digest_us = 0;
    Fw_Load_Drop(r, m);
    g_clear_pointer(&m->strikes, g_hash_table_destroy);
    g_clear_pointer(&m->reading, g_hash_table_destroy);
}

void
Fw_Members_Elsewhere(struct fw_relay *r, uint64_t hash, int64_t seen_us)
{
    struct fw_rl_member *m;

    if (hash == r->hash) {
        return;
    }
    m = seen_of(r, hash)->member;
    if (m && m != r->x.hub && m->heard_us < seen_us) {
        drop_sums(r, m);
    }
    Fw_Members_Seen(r, hash, seen_us);
}

struct fw_rl_member *
Fw_Members_Find(const struct fw_relay *r, const char *name)
{
    uint64_t hash = Fw_Hash_Str(name);
    const struct seen *s = g_hash_table_lookup(r->census, &hash);

    return s ? s->member : NULL;
}

struct fw_rl_member *
Fw_Members_Add(struct fw_relay *r, const char *name, int64_t now_us)
{
    struct fw_rl_member *m = g_new0(struct fw_rl_member, 1);

    g_strlcpy(m->name, name, sizeof(m->name));
    m->hash = Fw_Hash_Str(name);
    m->added_us = now_us;
    seen_of(r, m->hash)->added_us = now_us;
    seen_of(r, m->hash)->member = m;
    r->x.recount = 1;
    Fw_List_Append(&r->members, &m->link);
    return m;
}

void
Fw_Members_Heard(struct fw_relay *r, struct fw_rl_member *m, int64_t now_us)
{
    if (m->failed_us) {
        r->x.list_us = 0; /* leaves may return to it */
    }
    m->heard_us = now_us;
    m->asked_us = 0;
    m->failed_us = 0;
    Fw_Members_Seen(r, m->hash, now_us);
}

static void
member_free(struct fw_relay *r, struct fw_rl_member *m)
{
    if (r->x.hub == m) {
        r->x.hub = NULL;
    }
    seen_of(r, m->hash)->member = NULL;
    Fw_Load_Drop(r, m);
    Fw_List_Remove(&m->link);
    g_clear_pointer(&m->spent, g_hash_table_destroy);
    g_clear_pointer(&m->strikes, g_hash_table_destroy);
    g_clear_pointer(&m->reading, g_hash_table_destroy);
    g_free(m);
}

void
Fw_Members_Clear(struct fw_relay *r)
{
    while (!Fw_List_Empty(&r->members)) {
        member_free(r,
                    FW_LIST_ENTRY(r->members.next, struct fw_rl_member, link));
    }
}

void
Fw_Relay_AddMember(struct fw_relay *r, const struct fw_rl_peer *peer,
                   int64_t now_us)
{
    struct fw_rl_member *m;

    if (strcmp(peer->name, r->opts.name) == 0) {
        return;
    }
    m = Fw_Members_Find(r, peer->name);
    if (!m) {
        m = Fw_Members_Add(r, peer->name, now_us);
    }
    if (!m->heard_us) {
        g_strlcpy(m->addr, peer->addr, sizeof(m->addr));
        m->domain = Fw_Hash_Str(peer->domain);
        m->cpu_ppm = peer->cpu_ppm;
    }
}

int
Fw_Relay_IsIsolated(const struct fw_relay *r, int64_t now_us)
{
    struct fw_list *pos;

    FW_LIST_EACH (pos, &r->members) {
        const struct fw_rl_member *m =
            FW_LIST_ENTRY(pos, struct fw_rl_member, link);

        if (m->heard_us && now_us - m->heard_us < FW_RL_ISOLATED_US) {
            return 0;
        }
    }
    return 1;
}

int
Fw_Members_IsSeen(struct fw_relay *r, const struct fw_rl_member *m,
                  int64_t now_us)
{
    const struct seen *s = seen_of(r, m->hash);

    return s->seen_us && now_us - s->seen_us < FW_RL_ISOLATED_US;
}

static void
take_census(struct fw_relay *r, int64_t now_us)
{
    int64_t touch_us = Fw_Members_Touch(r);
    GHashTableIter it;
    gpointer v;

    r->x.census_us = now_us;
    r->x.recount = 0;
    r->x.count = 1;
    r->x.in_touch = 1;
    g_hash_table_iter_init(&it, r->census);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const struct seen *s = v;

        if (s->is_gone) {
            continue;
        }
        r->x.count++;
        r->x.in_touch += s->seen_us && now_us - s->seen_us < touch_us;
    }
}

/* A leaf uses its hub's counts for as long as that is in touch. */
int
Fw_Members_Count(struct fw_relay *r, int64_t now_us, int *in_touch)
{
    struct fw_rl_exchange *x = &r->x;
    int reports = !x->is_hub && x->hub;

    if (reports && now_us - x->census_us >= Fw_Members_Touch(r)) {
        x->in_touch = 1;
    }
    else if (!reports &&
             (x->recount || now_us - x->census_us >= FW_CENSUS_US)) {
        take_census(r, now_us);
    }
    if (in_touch) {
        *in_touch = x->in_touch;
    }
    return x->count;
}

/*
 * One that was never contacted stays: it may have to replace a hub, and only
 * hubs know whether it is alive.
 */
static int
is_gone(struct fw_relay *r, const struct fw_rl_member *m, int64_t now_us)
{
    int64_t seen_us = MAX(seen_of(r, m->hash)->seen_us, m->heard_us);

    return ((r->x.is_hub && m->heard_us) || m->failed_us) &&
           now_us - MAX(seen_us, m->added_us) >= FW_MEMBER_LIFE_US;
}

static void
forget_gone(struct fw_relay *r, int64_t now_us)
{
    GHashTableIter it;
    gpointer v;

    g_hash_table_iter_init(&it, r->census);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        struct seen *s = v;

        s->is_gone =
            now_us - MAX(s->seen_us, s->added_us) >= FW_MEMBER_LIFE_US;
        if (s->is_gone && !s->member) {
            g_hash_table_iter_remove(&it);
        }
    }
}

void
Fw_Members_Tick(struct fw_relay *r, int64_t now_us, struct fw_rl_acts *out)
{
    struct fw_list *pos;
    struct fw_list *tmp;

    FW_LIST_EACH_SAFE (pos, tmp, &r->members) {
        struct fw_rl_member *m = FW_LIST_ENTRY(pos, struct fw_rl_member, link);

        if (m->rows && now_us - m->load_us >= FW_LOAD_LIFE_US) {
            Fw_Load_Drop(r, m);
        }
        if (is_gone(r, m, now_us)) {
            Fw_Acts_Log(out, r, LOG_NOTICE, "member_gone",
                        "\"member\":\"%s\",\"addr\":\"%s\"", m->name, m->addr);
            member_free(r, m);
        }
    }
    forget_gone(r, now_us);
    r->n.members.value = Fw_Members_Count(r, now_us, NULL);
}
