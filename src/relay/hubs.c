/*
 * Selects the hubs. Each instance ranks all that it knows by CPU and takes the
 * first of each failure domain, so that instances agree without exchanging
 * votes, except on hubs that only some of them can reach. An instance that has
 * leaves acts as a hub whatever its rank.
 */
#include "base/hash.h"
#include "relay/relay_internal.h"

/* Hubs in the fleet, unless the minimum per domain requires more. */
#define FW_HUBS_TARGET 10
/* Minimum in each domain, so that one can fail. */
#define FW_HUBS_PER_DOMAIN_MIN 2
/*
 * In a fleet larger than the target by up to this, each domain may have as
 * many hubs as the whole fleet.
 */
#define FW_HUBS_SLACK 2
#define FW_DOMAINS_MAX 64
/* Time after a digest for which its sender acts as a hub whatever its rank. */
#define FW_ACTING_TIMEOUT_US (2 * FW_SEC)

/**
 * struct domain - the hubs of one failure domain.
 * @hash: of its name
 * @hubs: the @n first by rank; NULL is this instance
 */
struct domain {
    uint64_t hash;
    int n;
    struct fw_rl_member *hubs[FW_HUBS_TARGET];
};

/** struct ranking - hubs by domain, at most @hubs_per_domain in each. */
struct ranking {
    const struct fw_relay *r;
    struct domain domains[FW_DOMAINS_MAX];
    int n_domains;
    int hubs_per_domain;
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

/* Whether @a ranks before @b: by more CPU, at equal CPU by the lower hash. */
static int
ranks_before(const struct fw_relay *r, const struct fw_rl_member *a,
             const struct fw_rl_member *b)
{
    if (cpu_of(r, a) != cpu_of(r, b)) {
        return cpu_of(r, a) > cpu_of(r, b);
    }
    return hash_of(r, a) < hash_of(r, b);
}

static struct domain *
find_or_add_domain(struct ranking *k, uint64_t hash)
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

/* Inserts @m if it is among the first @k->hubs_per_domain of its domain. */
static void
insert_ranked(struct ranking *k, struct fw_rl_member *m, uint64_t hash)
{
    struct domain *d = find_or_add_domain(k, hash);
    int at;

    if (!d) {
        return;
    }
    for (at = d->n; at > 0 && ranks_before(k->r, m, d->hubs[at - 1]); at--) {
        if (at < k->hubs_per_domain) {
            d->hubs[at] = d->hubs[at - 1];
        }
    }
    if (at < k->hubs_per_domain) {
        d->hubs[at] = m;
        d->n = MIN(d->n + 1, k->hubs_per_domain);
    }
}

static uint64_t
own_domain_hash(const struct fw_relay *r)
{
    return Fw_Hash_Str(r->opts.domain);
}

/*
 * Number of hubs in each domain; the size of the fleet if that is small.
 * Unreachable members are included, so that an instance that can't reach some
 * members computes the same number as the others.
 */
static int
count_hubs_per_domain(const struct fw_relay *r)
{
    struct ranking k = {.r = r, .hubs_per_domain = 1};
    struct fw_list *pos;
    int n = 1;

    find_or_add_domain(&k, own_domain_hash(r));
    FW_LIST_EACH (pos, &r->members) {
        const struct fw_rl_member *m =
            FW_LIST_ENTRY(pos, struct fw_rl_member, link);

        n++;
        find_or_add_domain(&k, m->domain);
    }
    return n <= FW_HUBS_TARGET + FW_HUBS_SLACK
               ? n
               : MAX(FW_HUBS_TARGET / k.n_domains, FW_HUBS_PER_DOMAIN_MIN);
}

/* Marks the hubs of each domain. Return: nonzero if this instance is one. */
static int
rank_hubs(struct fw_relay *r, int hubs_per_domain, int with_unreachable)
{
    struct ranking k = {.r = r, .hubs_per_domain = hubs_per_domain};
    struct fw_list *pos;
    int is_hub = 0;

    insert_ranked(&k, NULL, own_domain_hash(r));
    FW_LIST_EACH (pos, &r->members) {
        struct fw_rl_member *m = FW_LIST_ENTRY(pos, struct fw_rl_member, link);

        *(with_unreachable ? &m->is_nominal_hub : &m->is_ranked_hub) = 0;
        if (with_unreachable || !m->unreachable_since_us) {
            insert_ranked(&k, m, m->domain);
        }
    }
    for (int i = 0; i < k.n_domains; i++) {
        for (int h = 0; h < k.domains[i].n; h++) {
            struct fw_rl_member *m = k.domains[i].hubs[h];

            if (!m) {
                is_hub = 1;
            }
            else {
                *(with_unreachable ? &m->is_nominal_hub : &m->is_ranked_hub) =
                    1;
            }
        }
    }
    return is_hub;
}

int
Fw_Hubs_IsLeaf(const struct fw_relay *r, const struct fw_rl_member *m,
               int64_t now_us)
{
    return m->last_report_us &&
           now_us - m->last_report_us < Fw_Members_TimeoutUs(r);
}

int
Fw_Hubs_IsActing(const struct fw_relay *r, const struct fw_rl_member *m,
                 int64_t now_us)
{
    return (m->is_ranked_hub && !Fw_Hubs_IsLeaf(r, m, now_us)) ||
           (m->last_digest_us &&
            now_us - m->last_digest_us < FW_ACTING_TIMEOUT_US);
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
 * The load in the hub's last reply is dropped: digests contain it too, and it
 * would be counted twice. Answers to messages of the former role are no longer
 * awaited.
 */
static void
change_role(struct fw_relay *r)
{
    struct fw_list *pos;

    if (r->exchange.hub) {
        Fw_Load_Drop(r, r->exchange.hub);
    }
    r->exchange.hub = NULL;
    r->exchange.recount = 1;
    FW_LIST_EACH (pos, &r->members) {
        FW_LIST_ENTRY(pos, struct fw_rl_member, link)->awaiting_since_us = 0;
    }
}

void
Fw_Hubs_UpdateRoles(struct fw_relay *r, int64_t now_us)
{
    int was_hub = r->exchange.is_hub;
    int hubs_per_domain = MIN(count_hubs_per_domain(r), FW_HUBS_TARGET);

    rank_hubs(r, hubs_per_domain, 1);
    r->exchange.is_hub =
        rank_hubs(r, hubs_per_domain, 0) || has_leaves(r, now_us);
    if (r->draining && Fw_Hubs_ChooseHub(r)) {
        r->exchange.is_hub = 0;
    }
    if (r->exchange.is_hub != was_hub) {
        change_role(r);
    }
}

/*
 * Whether this instance may choose @m as its hub: a reachable hub of its own
 * domain. With @nominal_only, not one that is a hub only because a nominal hub
 * is unreachable from here.
 */
static int
is_candidate(const struct fw_relay *r, const struct fw_rl_member *m,
             int nominal_only)
{
    return m->domain == own_domain_hash(r) && m->is_ranked_hub &&
           (m->is_nominal_hub || !nominal_only);
}

/* Picks by hash: a hub gets leaves in proportion to its CPU. */
static struct fw_rl_member *
pick_by_cpu(const struct fw_relay *r, struct fw_rl_member *const *hubs, int n)
{
    uint64_t total = 0;
    uint64_t point;

    for (int i = 0; i < n; i++) {
        total += (uint64_t)MAX(hubs[i]->cpu_ppm, 1);
    }
    point = r->hash % total;
    for (int i = 0; i < n - 1; i++) {
        uint64_t weight = (uint64_t)MAX(hubs[i]->cpu_ppm, 1);

        if (point < weight) {
            return hubs[i];
        }
        point -= weight;
    }
    return hubs[n - 1];
}

static struct fw_rl_member *
choose_hub(const struct fw_relay *r, int nominal_only)
{
    struct fw_rl_member *candidates[FW_HUBS_TARGET];
    struct fw_list *pos;
    int n = 0;

    FW_LIST_EACH (pos, &r->members) {
        struct fw_rl_member *m = FW_LIST_ENTRY(pos, struct fw_rl_member, link);
        int at = n;

        if (!is_candidate(r, m, nominal_only) || n == FW_HUBS_TARGET) {
            continue;
        }
        for (; at > 0 && ranks_before(r, m, candidates[at - 1]); at--) {
            candidates[at] = candidates[at - 1];
        }
        candidates[at] = m;
        n++;
    }
    return n ? pick_by_cpu(r, candidates, n) : NULL;
}

struct fw_rl_member *
Fw_Hubs_ChooseHub(const struct fw_relay *r)
{
    struct fw_rl_member *m = choose_hub(r, 1);

    return m ? m : choose_hub(r, 0);
}
