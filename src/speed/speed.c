#include "speed/speed.h"

#include <math.h>

#include "base/limits.h"
#include "base/list.h"
#include "decide/server_speed.h"

/* Change of an estimate's logarithm that is sent: about 8 %. */
#define FW_SENT_CHANGE_MIN 0.08
/* Time after which a hub's estimates no longer count as confirmed. */
#define FW_CONFIRMED_US (2500 * FW_MSEC)

/**
 * struct item - one use of one server.
 * @own: samples of this instance that it has not settled yet
 * @unsent: samples to be sent
 * @sent: estimate that was last taken to be sent, NAN for none
 */
struct item {
    struct fw_server_speed estimate;
    struct fw_speed_sum own;
    struct fw_speed_sum unsent;
    double sent;
};

/** struct entry - one server. */
struct entry {
    struct fw_list link;
    uint64_t server;
    uint64_t service;
    struct item items[FW_SPEED_USES];
};

/** struct service - one service; @known: scratch space. */
struct service {
    uint64_t hash;
    GPtrArray *known[FW_SPEED_USES];
    struct fw_speed_group groups[FW_SPEED_USES];
};

/**
 * struct fw_speed - see speed.h.
 * @entries: in the order in which their rows are sent next
 * @by_server: hash of a server's id to struct entry
 * @services: hash of a service's name to struct service
 * @confirmed_us: when a hub last confirmed its estimates
 */
struct fw_speed {
    struct fw_list entries;
    GHashTable *by_server;
    GHashTable *services;
    int64_t confirmed_us;
};

static void
free_service(gpointer v)
{
    struct service *s = v;

    for (int i = 0; i < FW_SPEED_USES; i++) {
        g_ptr_array_unref(s->known[i]);
    }
    g_free(s);
}

struct fw_speed *
Fw_Speed_New(void)
{
    struct fw_speed *sp = g_new0(struct fw_speed, 1);

    Fw_List_Init(&sp->entries);
    sp->by_server =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    sp->services =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_service);
    return sp;
}

void
Fw_Speed_Free(struct fw_speed *sp)
{
    g_hash_table_destroy(sp->by_server);
    g_hash_table_destroy(sp->services);
    g_free(sp);
}

static struct fw_speed_group *
find_group(const struct fw_speed *sp, uint64_t service, enum fw_speed_use use)
{
    struct service *s = g_hash_table_lookup(sp->services, &service);

    return s ? &s->groups[use] : NULL;
}

static struct fw_speed_group *
find_or_add_group(struct fw_speed *sp, uint64_t service, enum fw_speed_use use)
{
    struct service *s = g_hash_table_lookup(sp->services, &service);

    if (!s) {
        s = g_new0(struct service, 1);
        s->hash = service;
        for (int i = 0; i < FW_SPEED_USES; i++) {
            Fw_SpeedGroup_Init(&s->groups[i]);
            s->known[i] = g_ptr_array_new();
        }
        g_hash_table_insert(sp->services, &s->hash, s);
    }
    return &s->groups[use];
}

static const struct item *
find(const struct fw_speed *sp, const struct fw_speed_key *key)
{
    const struct entry *e = g_hash_table_lookup(sp->by_server, &key->server);

    return e ? &e->items[key->use] : NULL;
}

static struct item *
find_or_add(struct fw_speed *sp, const struct fw_speed_key *key)
{
    struct entry *e = g_hash_table_lookup(sp->by_server, &key->server);

    if (!e) {
        e = g_new0(struct entry, 1);
        e->server = key->server;
        e->service = key->service;
        for (int i = 0; i < FW_SPEED_USES; i++) {
            e->items[i].sent = NAN;
        }
        g_hash_table_insert(sp->by_server, &e->server, e);
        Fw_List_Append(&sp->entries, &e->link);
    }
    return &e->items[key->use];
}

void
Fw_Speed_NoteSample(struct fw_speed *sp, const struct fw_speed_key *key,
                    double rate, double weight)
{
    Fw_SpeedSum_Add(&find_or_add(sp, key)->own,
                    find_or_add_group(sp, key->service, key->use), rate,
                    weight);
}

static void
add(struct fw_speed_sum *to, const struct fw_speed_sum *more)
{
    to->sum += more->sum;
    to->weight += more->weight;
}

static void
settle(struct fw_speed *sp, struct entry *e, enum fw_speed_use use,
       double weight_max, int fold, int64_t now_us)
{
    struct item *item = &e->items[use];

    if (item->own.weight <= 0) {
        return;
    }
    Fw_SpeedSum_Bound(&item->own, weight_max);
    if (fold) {
        Fw_ServerSpeed_Fold(&item->estimate,
                            find_or_add_group(sp, e->service, use), &item->own,
                            now_us);
    }
    add(&item->unsent, &item->own);
    item->own = (struct fw_speed_sum){0};
}

void
Fw_Speed_SettleSamples(struct fw_speed *sp, double weight_max, int fold,
                       int64_t now_us)
{
    struct fw_list *pos;

    FW_LIST_EACH (pos, &sp->entries) {
        struct entry *e = FW_LIST_ENTRY(pos, struct entry, link);

        for (int use = 0; use < FW_SPEED_USES; use++) {
            settle(sp, e, (enum fw_speed_use)use, weight_max, fold, now_us);
        }
    }
}

void
Fw_Speed_MergeSamples(struct fw_speed *sp, const struct fw_speed_row *row,
                      int pass_on, int64_t now_us)
{
    struct fw_speed_sum samples = {row->log, row->weight};
    struct item *item;

    if (!(row->weight > 0) || !isfinite(row->log)) {
        return;
    }
    item = find_or_add(sp, &row->key);
    Fw_ServerSpeed_Fold(&item->estimate,
                        find_or_add_group(sp, row->key.service, row->key.use),
                        &samples, now_us);
    if (pass_on) {
        add(&item->unsent, &samples);
    }
}

void
Fw_Speed_SetEstimate(struct fw_speed *sp, const struct fw_speed_row *row,
                     int64_t now_us)
{
    Fw_ServerSpeed_Set(&find_or_add(sp, &row->key)->estimate, row->log,
                       now_us);
}

void
Fw_Speed_SetGroup(struct fw_speed *sp, const struct fw_speed_group_row *row)
{
    struct fw_speed_group *g = find_or_add_group(sp, row->service, row->use);

    g->is_known = 1;
    g->mean = row->mean;
    g->spread = row->spread;
}

void
Fw_Speed_NoteConfirmed(struct fw_speed *sp, int64_t now_us)
{
    sp->confirmed_us = now_us;
}

int
Fw_Speed_IsConfirmed(const struct fw_speed *sp, int64_t now_us)
{
    return sp->confirmed_us && now_us - sp->confirmed_us < FW_CONFIRMED_US;
}

/* Collects the known estimates of each service. */
static void
collect_known(struct fw_speed *sp)
{
    struct fw_list *pos;

    FW_LIST_EACH (pos, &sp->entries) {
        struct entry *e = FW_LIST_ENTRY(pos, struct entry, link);
        struct service *s = g_hash_table_lookup(sp->services, &e->service);

        for (int use = 0; s && use < FW_SPEED_USES; use++) {
            if (e->items[use].estimate.sampled_us) {
                g_ptr_array_add(s->known[use], &e->items[use].estimate);
            }
        }
    }
}

void
Fw_Speed_UpdateGroups(struct fw_speed *sp, int64_t now_us)
{
    GHashTableIter it;
    gpointer v;

    collect_known(sp);
    g_hash_table_iter_init(&it, sp->services);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        struct service *s = v;

        for (int use = 0; use < FW_SPEED_USES; use++) {
            Fw_SpeedGroup_Update(
                &s->groups[use],
                (const struct fw_server_speed *const *)s->known[use]->pdata,
                (int)s->known[use]->len, sp->confirmed_us, now_us);
            g_ptr_array_set_size(s->known[use], 0);
        }
    }
}

static struct fw_speed_row
row_of(const struct entry *e, enum fw_speed_use use, double log, double weight)
{
    return (struct fw_speed_row){
        .key = {.server = e->server, .service = e->service, .use = use},
        .log = log,
        .weight = weight};
}

/* Appends the unsent samples of @e. Return: whether there were any. */
static int
take_samples(struct entry *e, GArray *out)
{
    guint before = out->len;

    for (int use = 0; use < FW_SPEED_USES; use++) {
        struct item *item = &e->items[use];

        if (item->unsent.weight > 0) {
            struct fw_speed_row row =
                row_of(e, (enum fw_speed_use)use, item->unsent.sum,
                       item->unsent.weight);

            g_array_append_val(out, row);
            item->unsent = (struct fw_speed_sum){0};
        }
    }
    return out->len > before;
}

/* Appends the changed estimates of @e. Return: whether there were any. */
static int
take_estimates(const struct fw_speed *sp, struct entry *e, int64_t now_us,
               GArray *out)
{
    guint before = out->len;

    for (int use = 0; use < FW_SPEED_USES; use++) {
        struct item *item = &e->items[use];
        const struct fw_speed_group *g =
            find_group(sp, e->service, (enum fw_speed_use)use);
        struct fw_speed_row row;
        double log;

        if (!g || !item->estimate.sampled_us) {
            continue;
        }
        log = Fw_ServerSpeed_Log(&item->estimate, g, sp->confirmed_us, now_us);
        if (fabs(log - item->sent) < FW_SENT_CHANGE_MIN) {
            continue;
        }
        item->sent = log;
        row = row_of(e, (enum fw_speed_use)use, log, 0);
        g_array_append_val(out, row);
    }
    return out->len > before;
}

/* Servers whose rows were taken come last the next time. */
static void
move_to_end(struct fw_speed *sp, struct entry *e)
{
    Fw_List_Remove(&e->link);
    Fw_List_Append(&sp->entries, &e->link);
}

void
Fw_Speed_TakeSamples(struct fw_speed *sp, int max, GArray *out)
{
    guint n = g_hash_table_size(sp->by_server);
    struct fw_list *pos = sp->entries.next;

    for (guint i = 0; i < n && (int)out->len < max; i++) {
        struct entry *e = FW_LIST_ENTRY(pos, struct entry, link);

        pos = pos->next;
        if (take_samples(e, out)) {
            move_to_end(sp, e);
        }
    }
}

void
Fw_Speed_DropSamples(struct fw_speed *sp)
{
    struct fw_list *pos;

    FW_LIST_EACH (pos, &sp->entries) {
        struct entry *e = FW_LIST_ENTRY(pos, struct entry, link);

        for (int use = 0; use < FW_SPEED_USES; use++) {
            e->items[use].unsent = (struct fw_speed_sum){0};
        }
    }
}

void
Fw_Speed_TakeEstimates(struct fw_speed *sp, int max, int64_t now_us,
                       GArray *out)
{
    guint n = g_hash_table_size(sp->by_server);
    struct fw_list *pos = sp->entries.next;

    for (guint i = 0; i < n && (int)out->len < max; i++) {
        struct entry *e = FW_LIST_ENTRY(pos, struct entry, link);

        pos = pos->next;
        if (take_estimates(sp, e, now_us, out)) {
            move_to_end(sp, e);
        }
    }
}

void
Fw_Speed_ResendEstimates(struct fw_speed *sp)
{
    struct fw_list *pos;

    FW_LIST_EACH (pos, &sp->entries) {
        struct entry *e = FW_LIST_ENTRY(pos, struct entry, link);

        for (int use = 0; use < FW_SPEED_USES; use++) {
            e->items[use].sent = NAN;
        }
    }
}

void
Fw_Speed_AppendGroups(const struct fw_speed *sp, GArray *out)
{
    GHashTableIter it;
    gpointer v;

    g_hash_table_iter_init(&it, sp->services);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const struct service *s = v;

        for (int use = 0; use < FW_SPEED_USES; use++) {
            struct fw_speed_group_row row = {.service = s->hash,
                                             .use = (enum fw_speed_use)use,
                                             .mean = s->groups[use].mean,
                                             .spread = s->groups[use].spread};

            if (s->groups[use].is_known) {
                g_array_append_val(out, row);
            }
        }
    }
}

int
Fw_Speed_IsInForce(const struct fw_speed *sp, uint64_t service,
                   enum fw_speed_use use, double spread_min)
{
    const struct fw_speed_group *g = find_group(sp, service, use);

    return g && g->is_known && spread_min > 0 && exp(g->spread) > spread_min;
}

double
Fw_Speed_Get(const struct fw_speed *sp, const struct fw_speed_key *key,
             double spread_min, int64_t now_us)
{
    const struct fw_speed_group *g = find_group(sp, key->service, key->use);
    const struct item *item = find(sp, key);

    if (!item || !Fw_Speed_IsInForce(sp, key->service, key->use, spread_min)) {
        return 1;
    }
    return exp(
        Fw_ServerSpeed_Log(&item->estimate, g, sp->confirmed_us, now_us) -
        g->mean);
}

double
Fw_Speed_MeanRate(const struct fw_speed *sp, uint64_t service,
                  enum fw_speed_use use)
{
    const struct fw_speed_group *g = find_group(sp, service, use);

    return g && g->is_known ? exp(g->mean) : 0;
}

void
Fw_Speed_Remove(struct fw_speed *sp, uint64_t server)
{
    struct entry *e = g_hash_table_lookup(sp->by_server, &server);

    if (e) {
        Fw_List_Remove(&e->link);
        g_hash_table_remove(sp->by_server, &server);
    }
}
