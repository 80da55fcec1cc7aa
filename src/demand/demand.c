#include "demand/demand.h"

#include <math.h>

#include "base/limits.h"

/* Time constant of the mean rates at this instance. */
#define FW_ASKED_MEAN_US (1 * FW_SEC)
/* Default of the age after which rows count as nothing. */
#define FW_ROWS_AGE_MAX_US (600 * FW_MSEC)
/* Units of struct fw_demand_row. */
#define FW_ROW_REQUESTS 1000.0
#define FW_ROW_SQUARES 1e-6

/** struct decaying_sum - exponentially decaying sums, as of @at_us. */
struct decaying_sum {
    double requests;
    double tokens;
    double squares;
    int64_t at_us;
};

/** struct local_demand - demand at this instance. */
struct local_demand {
    struct decaying_sum asked;
    struct decaying_sum ended;
    int64_t waiting;
    int64_t waiting_tokens;
    int64_t late;
    int64_t late_tokens;
};

/** struct service - demand for one service; @others: sums of the sources. */
struct service {
    struct local_demand local[FW_RANKS];
    int64_t others[FW_DEMAND_SCOPES][FW_RANKS][FW_DEMAND_VALUES];
};

/** struct source - what another instance has reported. */
struct source {
    uint64_t instance;
    enum fw_demand_scope scope;
    int64_t at_us;
    GArray *rows;
};

/**
 * struct fw_demand - demand for all services.
 * @services: hash of a service's name to struct service
 * @sources: struct source
 */
struct fw_demand {
    GHashTable *services;
    GPtrArray *sources;
    int64_t max_age_us;
};

static void
source_free(gpointer p)
{
    struct source *s = p;

    g_array_unref(s->rows);
    g_free(s);
}

struct fw_demand *
Fw_Demand_New(void)
{
    struct fw_demand *d = g_new0(struct fw_demand, 1);

    d->services =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    d->sources = g_ptr_array_new_with_free_func(source_free);
    d->max_age_us = FW_ROWS_AGE_MAX_US;
    return d;
}

void
Fw_Demand_Free(struct fw_demand *d)
{
    g_hash_table_destroy(d->services);
    g_ptr_array_unref(d->sources);
    g_free(d);
}

void
Fw_Demand_SetMaxAge(struct fw_demand *d, int64_t age_us)
{
    d->max_age_us = age_us;
}

static struct service *
find(const struct fw_demand *d, uint64_t hash)
{
    return g_hash_table_lookup(d->services, &hash);
}

static struct service *
find_or_add(struct fw_demand *d, uint64_t hash)
{
    struct service *s = find(d, hash);

    if (!s) {
        s = g_new0(struct service, 1);
        g_hash_table_insert(d->services, g_memdup2(&hash, sizeof(hash)), s);
    }
    return s;
}

/* A rank outside the valid ones is the nearest of them. */
static int
valid_rank(int rank)
{
    return CLAMP(rank, 0, FW_RANKS - 1);
}

/* Part of @sum that is left at @now_us. */
static double
decay(const struct decaying_sum *sum, int64_t now_us)
{
    return exp(-(double)MAX(now_us - sum->at_us, 0) / FW_ASKED_MEAN_US);
}

static void
add_request(struct decaying_sum *sum, int64_t tokens, int64_t now_us)
{
    double left = decay(sum, now_us);

    sum->requests = sum->requests * left + 1;
    sum->tokens = sum->tokens * left + (double)tokens;
    sum->squares = sum->squares * left + (double)tokens * (double)tokens;
    sum->at_us = now_us;
}

void
Fw_Demand_NoteAsked(struct fw_demand *d, uint64_t service, int rank,
                    int64_t tokens, int64_t now_us)
{
    add_request(&find_or_add(d, service)->local[valid_rank(rank)].asked,
                tokens, now_us);
}

void
Fw_Demand_NoteEnded(struct fw_demand *d, uint64_t service, int rank,
                    int64_t tokens, int64_t now_us)
{
    add_request(&find_or_add(d, service)->local[valid_rank(rank)].ended,
                tokens, now_us);
}

void
Fw_Demand_AddWaiting(struct fw_demand *d, uint64_t service, int rank, int n,
                     int64_t tokens)
{
    struct local_demand *l = &find_or_add(d, service)->local[valid_rank(rank)];

    l->waiting += n;
    l->waiting_tokens += tokens;
}

void
Fw_Demand_AddLate(struct fw_demand *d, uint64_t service, int rank, int n,
                  int64_t tokens)
{
    struct local_demand *l = &find_or_add(d, service)->local[valid_rank(rank)];

    l->late += n;
    l->late_tokens += tokens;
}

/* Factor that makes @sum a rate per second. */
static double
per_second(const struct decaying_sum *sum, int64_t now_us)
{
    return decay(sum, now_us) * FW_SEC / (double)FW_ASKED_MEAN_US;
}

static struct fw_demand_sum
local_sum(const struct service *s, int rank, int64_t now_us)
{
    const struct local_demand *l = &s->local[rank];
    double asked = per_second(&l->asked, now_us);
    double ended = per_second(&l->ended, now_us);

    return (struct fw_demand_sum){.asked = l->asked.requests * asked,
                                  .asked_tokens = l->asked.tokens * asked,
                                  .asked_squares = l->asked.squares * asked,
                                  .waiting = l->waiting,
                                  .waiting_tokens = l->waiting_tokens,
                                  .late = l->late,
                                  .late_tokens = l->late_tokens,
                                  .ended = l->ended.requests * ended,
                                  .ended_tokens = l->ended.tokens * ended};
}

void
Fw_Demand_GetLocal(const struct fw_demand *d, uint64_t service, int rank,
                   int64_t now_us, struct fw_demand_sum *out)
{
    const struct service *s = find(d, service);

    *out =
        s ? local_sum(s, valid_rank(rank), now_us) : (struct fw_demand_sum){0};
}

/* Adds @values to @sum, or subtracts them if @sign is -1. */
static void
add_values(int64_t sum[FW_DEMAND_VALUES],
           const int64_t values[FW_DEMAND_VALUES], int sign)
{
    for (int i = 0; i < FW_DEMAND_VALUES; i++) {
        sum[i] += sign * values[i];
    }
}

/* Adds what @source reported of @service at @rank, times @sign. */
static void
add_source(const struct source *source, uint64_t service, int rank, int sign,
           int64_t sum[FW_DEMAND_VALUES])
{
    for (guint i = 0; i < source->rows->len; i++) {
        const struct fw_demand_row *row =
            &g_array_index(source->rows, struct fw_demand_row, i);

        if (row->service == service && row->rank == rank) {
            add_values(sum, row->value, sign);
        }
    }
}

static int
is_expired(const struct fw_demand *d, const struct source *s, int64_t now_us)
{
    return now_us - s->at_us >= d->max_age_us;
}

/* Demand that other instances have reported, of the scopes in @scopes. */
static void
sum_others(const struct fw_demand *d, uint64_t service, int rank,
           unsigned scopes, int64_t now_us, int64_t sum[FW_DEMAND_VALUES])
{
    const struct service *s = find(d, service);

    for (int k = 0; s && k < FW_DEMAND_SCOPES; k++) {
        if (scopes & 1U << k) {
            add_values(sum, s->others[k][rank], 1);
        }
    }
    for (guint i = 0; i < d->sources->len; i++) {
        const struct source *source = g_ptr_array_index(d->sources, i);

        if (is_expired(d, source, now_us) &&
            (scopes & 1U << (unsigned)source->scope)) {
            add_source(source, service, rank, -1, sum);
        }
    }
}

void
Fw_Demand_GetTotal(const struct fw_demand *d, uint64_t service, int rank,
                   int64_t now_us, struct fw_demand_sum *out)
{
    int64_t others[FW_DEMAND_VALUES] = {0};

    rank = valid_rank(rank);
    Fw_Demand_GetLocal(d, service, rank, now_us, out);
    sum_others(d, service, rank, ~0U, now_us, others);
    out->asked += (double)others[0] / FW_ROW_REQUESTS;
    out->asked_tokens += (double)others[1];
    out->asked_squares += (double)others[2] / FW_ROW_SQUARES;
    out->waiting += others[3];
    out->waiting_tokens += others[4];
    out->late += others[5];
    out->late_tokens += others[6];
    out->ended += (double)others[7] / FW_ROW_REQUESTS;
    out->ended_tokens += (double)others[8];
}

/* Adds the rows of @source to the sums of its scope, times @sign. */
static void
count_source(struct fw_demand *d, const struct source *source, int sign)
{
    for (guint i = 0; i < source->rows->len; i++) {
        const struct fw_demand_row *row =
            &g_array_index(source->rows, struct fw_demand_row, i);
        struct service *s = find_or_add(d, row->service);

        add_values(s->others[source->scope][valid_rank(row->rank)], row->value,
                   sign);
    }
}

static void
drop_at(struct fw_demand *d, guint i)
{
    count_source(d, g_ptr_array_index(d->sources, i), -1);
    g_ptr_array_remove_index_fast(d->sources, i);
}

void
Fw_Demand_DropSource(struct fw_demand *d, uint64_t instance)
{
    for (guint i = d->sources->len; i-- > 0;) {
        const struct source *s = g_ptr_array_index(d->sources, i);

        if (s->instance == instance) {
            drop_at(d, i);
        }
    }
}

void
Fw_Demand_Expire(struct fw_demand *d, int64_t now_us)
{
    for (guint i = d->sources->len; i-- > 0;) {
        if (is_expired(d, g_ptr_array_index(d->sources, i), now_us)) {
            drop_at(d, i);
        }
    }
}

/*
 * The rows of a leaf's hub cover what others reported to this instance while
 * it was a hub, and the other way round.
 */
static void
drop_covered(struct fw_demand *d, enum fw_demand_scope scope)
{
    for (guint i = d->sources->len; i-- > 0;) {
        const struct source *s = g_ptr_array_index(d->sources, i);

        if (scope == FW_DEMAND_REST || s->scope == FW_DEMAND_REST) {
            drop_at(d, i);
        }
    }
}

void
Fw_Demand_SetRows(struct fw_demand *d, uint64_t instance,
                  enum fw_demand_scope scope, const GArray *rows,
                  int64_t now_us)
{
    struct source *s;

    Fw_Demand_DropSource(d, instance);
    drop_covered(d, scope);
    if (!rows->len) {
        return;
    }
    s = g_new0(struct source, 1);
    s->instance = instance;
    s->scope = scope;
    s->at_us = now_us;
    s->rows = g_array_sized_new(FALSE, FALSE, sizeof(struct fw_demand_row),
                                rows->len);
    g_array_append_vals(s->rows, rows->data, rows->len);
    g_ptr_array_add(d->sources, s);
    count_source(d, s, 1);
}

static void
subtract_leaf(const struct fw_demand *d, uint64_t leaf, uint64_t service,
              int rank, int64_t now_us, int64_t sum[FW_DEMAND_VALUES])
{
    for (guint i = 0; i < d->sources->len; i++) {
        const struct source *s = g_ptr_array_index(d->sources, i);

        if (s->instance == leaf && !is_expired(d, s, now_us)) {
            add_source(s, service, rank, -1, sum);
        }
    }
}

static int
is_zero(const int64_t values[FW_DEMAND_VALUES])
{
    for (int i = 0; i < FW_DEMAND_VALUES; i++) {
        if (values[i]) {
            return 0;
        }
    }
    return 1;
}

/* Whether there has never been any demand at the rank, here or elsewhere. */
static int
is_unused(const struct service *s, int rank)
{
    const struct local_demand *l = &s->local[rank];

    for (int k = 0; k < FW_DEMAND_SCOPES; k++) {
        if (!is_zero(s->others[k][rank])) {
            return 0;
        }
    }
    return !l->asked.at_us && !l->ended.at_us && !l->waiting;
}

void
Fw_Demand_AppendRows(const struct fw_demand *d, uint64_t service,
                     int with_leaves, uint64_t to, int64_t now_us,
                     GArray *rows)
{
    const struct service *s = find(d, service);
    unsigned scopes = with_leaves ? 1U << FW_DEMAND_LEAF : 0;

    if (to) {
        scopes |= 1U << FW_DEMAND_HUB;
    }
    for (int rank = 0; s && rank < FW_RANKS; rank++) {
        struct fw_demand_sum local;
        struct fw_demand_row row;

        if (is_unused(s, rank)) {
            continue;
        }
        local = local_sum(s, rank, now_us);
        row = (struct fw_demand_row){
            .service = service,
            .rank = rank,
            .value = {(int64_t)(local.asked * FW_ROW_REQUESTS),
                      (int64_t)local.asked_tokens,
                      (int64_t)(local.asked_squares * FW_ROW_SQUARES),
                      local.waiting, local.waiting_tokens, local.late,
                      local.late_tokens,
                      (int64_t)(local.ended * FW_ROW_REQUESTS),
                      (int64_t)local.ended_tokens}};

        sum_others(d, service, rank, scopes, now_us, row.value);
        if (to) {
            subtract_leaf(d, to, service, rank, now_us, row.value);
        }
        if (!is_zero(row.value)) {
            g_array_append_val(rows, row);
        }
    }
}
