/* Other instances known to this one, and the size of the fleet. */
#include <string.h>

#include "base/hash.h"
#include "relay/relay_internal.h"

/*
 * An instance that isn't seen for this long, here or on another side of a
 * partition, is removed. Until then its share of the allowances stays
 * reserved.
 */
#define FW_MEMBER_EXPIRY_US (20 * FW_SEC)
/* Maximum age of a hub's counts of instances. */
#define FW_COUNT_AGE_MAX_US (10 * FW_MSEC)
/* Load that a member has sent is dropped after this time without an update. */
#define FW_LOAD_EXPIRY_US (2 * FW_SEC)

/**
 * struct known_instance - an instance known to this one or to a hub.
 * @seen_us: when this instance or a hub last received a message from it, 0 for
 *     never
 * @published_us: when another side of a partition last published it as seen
 * @member: NULL if only hubs know its name and address
 * @is_expired: excluded from the size of the fleet
 */
struct known_instance {
    int64_t added_us;
    int64_t seen_us;
    int64_t published_us;
    struct fw_rl_member *member;
    int is_expired;
};

static struct known_instance *
find_or_add_instance(struct fw_relay *r, uint64_t hash)
{
    struct known_instance *known =
        g_hash_table_lookup(r->known_instances, &hash);

    if (!known) {
        known = g_new0(struct known_instance, 1);
        g_hash_table_insert(r->known_instances, Fw_Rows_NewKey(hash), known);
    }
    return known;
}

int64_t
Fw_Members_TimeoutUs(const struct fw_relay *r)
{
    return FW_RL_PEER_TIMEOUT_PERIODS * r->opts.digest_period_us;
}

void
Fw_Members_NoteSeen(struct fw_relay *r, uint64_t hash, int64_t seen_us)
{
    struct known_instance *known;

    if (hash == r->hash) {
        return;
    }
    known = find_or_add_instance(r, hash);
    known->seen_us = MAX(known->seen_us, seen_us);
    r->exchange.recount = 1;
}

/* The values of @m are in the digests of the hub that it reports to now. */
void
Fw_Members_NotePublished(struct fw_relay *r, uint64_t hash, int64_t now_us)
{
    if (hash != r->hash) {
        find_or_add_instance(r, hash)->published_us = now_us;
        r->exchange.recount = 1;
    }
}

void
Fw_Members_AppendSeen(struct fw_relay *r, int64_t now_us, GArray *out)
{
    GHashTableIter it;
    gpointer k;
    gpointer v;

    g_hash_table_iter_init(&it, r->known_instances);
    while (g_hash_table_iter_next(&it, &k, &v)) {
        const struct known_instance *known = v;
        uint64_t hash = (uint64_t) * (gint64 *)k;

        if (known->seen_us &&
            now_us - known->seen_us < FW_RL_ISOLATION_TIMEOUT_US) {
            g_array_append_val(out, hash);
        }
    }
}

static void
drop_reported_state(struct fw_relay *r, struct fw_rl_member *m)
{
    m->last_report_us = 0;
    m->last_digest_us = 0;
    Fw_Load_Drop(r, m);
    Fw_Demand_DropSource(r->service_demand.demand, m->hash);
    g_clear_pointer(&m->prefill_rates, g_hash_table_destroy);
}

void
Fw_Members_NoteRemoteLeaf(struct fw_relay *r, uint64_t hash, int64_t seen_us)
{
    struct fw_rl_member *m;

    if (hash == r->hash) {
        return;
    }
    m = find_or_add_instance(r, hash)->member;
    if (m && m != r->exchange.hub && m->last_message_us < seen_us) {
        drop_reported_state(r, m);
    }
    Fw_Members_NoteSeen(r, hash, seen_us);
}

struct fw_rl_member *
Fw_Members_Find(const struct fw_relay *r, const char *name)
{
    uint64_t hash = Fw_Hash_Str(name);
    const struct known_instance *known =
        g_hash_table_lookup(r->known_instances, &hash);

    return known ? known->member : NULL;
}

struct fw_rl_member *
Fw_Members_Add(struct fw_relay *r, const char *name, int64_t now_us)
{
    struct fw_rl_member *m = g_new0(struct fw_rl_member, 1);

    g_strlcpy(m->name, name, sizeof(m->name));
    m->hash = Fw_Hash_Str(name);
    m->added_us = now_us;
    find_or_add_instance(r, m->hash)->added_us = now_us;
    find_or_add_instance(r, m->hash)->member = m;
    r->exchange.recount = 1;
    Fw_List_Append(&r->members, &m->link);
    return m;
}

void
Fw_Members_NoteMessage(struct fw_relay *r, struct fw_rl_member *m,
                       int64_t now_us)
{
    if (m->unreachable_since_us) {
        r->exchange.next_hub_list_us = 0; /* leaves may return to it */
    }
    m->last_message_us = now_us;
    m->awaiting_since_us = 0;
    m->unreachable_since_us = 0;
    Fw_Members_NoteSeen(r, m->hash, now_us);
}

static void
member_free(struct fw_relay *r, struct fw_rl_member *m)
{
    if (r->exchange.hub == m) {
        r->exchange.hub = NULL;
    }
    find_or_add_instance(r, m->hash)->member = NULL;
    Fw_Load_Drop(r, m);
    Fw_Demand_DropSource(r->service_demand.demand, m->hash);
    Fw_List_Remove(&m->link);
    g_clear_pointer(&m->spent, g_hash_table_destroy);
    g_clear_pointer(&m->prefill_rates, g_hash_table_destroy);
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
    if (!m->last_message_us) {
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

        if (m->last_message_us &&
            now_us - m->last_message_us < FW_RL_ISOLATION_TIMEOUT_US) {
            return 0;
        }
    }
    return 1;
}

int
Fw_Members_SeenRecently(struct fw_relay *r, const struct fw_rl_member *m,
                        int64_t now_us)
{
    const struct known_instance *known = find_or_add_instance(r, m->hash);

    return known->seen_us &&
           now_us - known->seen_us < FW_RL_ISOLATION_TIMEOUT_US;
}

static void
count_instances(struct fw_relay *r, int64_t now_us)
{
    int64_t timeout_us = Fw_Members_TimeoutUs(r);
    GHashTableIter it;
    gpointer v;

    r->exchange.counted_us = now_us;
    r->exchange.recount = 0;
    r->exchange.n_instances = 1;
    r->exchange.n_live = 1;
    g_hash_table_iter_init(&it, r->known_instances);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const struct known_instance *known = v;

        if (known->is_expired) {
            continue;
        }
        r->exchange.n_instances++;
        r->exchange.n_live +=
            known->seen_us && now_us - known->seen_us < timeout_us;
    }
}

/*
 * A leaf uses the counts in its hub's last reply. Once that is older than the
 * timeout it takes itself for the only live instance.
 */
int
Fw_Members_Count(struct fw_relay *r, int64_t now_us, int *n_live)
{
    struct fw_rl_exchange *x = &r->exchange;
    int has_hub = !x->is_hub && x->hub;

    if (has_hub && now_us - x->counted_us >= Fw_Members_TimeoutUs(r)) {
        x->n_live = 1;
    }
    else if (!has_hub &&
             (x->recount || now_us - x->counted_us >= FW_COUNT_AGE_MAX_US)) {
        count_instances(r, now_us);
    }
    if (n_live) {
        *n_live = x->n_live;
    }
    return x->n_instances;
}

static uint64_t
weight(uint64_t key, uint64_t instance)
{
    return Fw_Hash_Bytes(&instance, sizeof(instance), key);
}

int
Fw_Members_Rank(const struct fw_relay *r, uint64_t key, uint64_t instance,
                int *n)
{
    uint64_t own = weight(key, instance);
    int rank = instance != r->hash && weight(key, r->hash) > own;
    GHashTableIter it;
    gpointer k;
    gpointer v;

    *n = 1;
    g_hash_table_iter_init(&it, r->known_instances);
    while (g_hash_table_iter_next(&it, &k, &v)) {
        uint64_t other = (uint64_t) * (gint64 *)k;

        if (!((struct known_instance *)v)->is_expired) {
            *n += 1;
            rank += other != instance && weight(key, other) > own;
        }
    }
    return rank;
}

/* The latest time at which the instance certainly ran. */
static int64_t
last_alive_us(const struct known_instance *known)
{
    return MAX(MAX(known->seen_us, known->published_us), known->added_us);
}

/*
 * A hub keeps members until they are certainly gone, to reach them again after
 * a partition. A leaf removes members that are unreachable, which its hub
 * names again if they return; they go on counting as instances. Members that
 * never sent a message are kept: they may have to replace a hub.
 */
static int
should_remove(struct fw_relay *r, const struct fw_rl_member *m, int64_t now_us)
{
    const struct known_instance *known = find_or_add_instance(r, m->hash);

    if (r->exchange.is_hub) {
        return known->is_expired &&
               (m->last_message_us || m->unreachable_since_us);
    }
    return m->unreachable_since_us &&
           now_us - last_alive_us(known) >= FW_MEMBER_EXPIRY_US;
}

/* An instance that has expired remains so until it is seen again. */
static void
expire_instances(struct fw_relay *r, int64_t now_us)
{
    int proven = Fw_Presence_IsProven(r, now_us);
    int any_missing = 0;
    GHashTableIter it;
    gpointer v;

    g_hash_table_iter_init(&it, r->known_instances);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        struct known_instance *known = v;

        known->is_expired =
            now_us - last_alive_us(known) >= FW_MEMBER_EXPIRY_US &&
            (known->is_expired || proven);
        if (known->is_expired && !known->member) {
            g_hash_table_iter_remove(&it);
            continue;
        }
        any_missing |= !known->is_expired &&
                       now_us - MAX(known->seen_us, known->added_us) >=
                           Fw_Presence_MissingUs();
    }
    Fw_Presence_SetMissing(r, any_missing);
}

void
Fw_Members_Tick(struct fw_relay *r, int64_t now_us, struct fw_rl_actions *out)
{
    struct fw_list *pos;
    struct fw_list *tmp;

    expire_instances(r, now_us);
    FW_LIST_EACH_SAFE (pos, tmp, &r->members) {
        struct fw_rl_member *m = FW_LIST_ENTRY(pos, struct fw_rl_member, link);

        if (m->load_rows && now_us - m->load_us >= FW_LOAD_EXPIRY_US) {
            Fw_Load_Drop(r, m);
        }
        if (should_remove(r, m, now_us)) {
            Fw_RelayActions_Log(out, r, LOG_NOTICE, "member_gone",
                                "\"member\":\"%s\",\"addr\":\"%s\"", m->name,
                                m->addr);
            member_free(r, m);
        }
    }
    Fw_Load_Prune(r);
    r->relay_metrics.members.value = Fw_Members_Count(r, now_us, NULL);
}
