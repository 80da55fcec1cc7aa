/* Accounting of what is held, and the decision who may hold how much. */
#include <string.h>

#include "held/held.h"
#include "tests/base/suite.h"

#define FW_MB (1024 * 1024)
#define FW_BUDGET (44 * FW_MB)
#define FW_READ (16 * 1024)

/** struct holders_case - holders that take all they may and give no back. */
struct holders_case {
    size_t budget;
    int n;
    size_t want;
};

static const struct holders_case holders[] = {
    {FW_BUDGET, 1, 16 * FW_MB},     {FW_BUDGET, 40, 16 * FW_MB},
    {FW_BUDGET, 400, 16 * FW_MB},   {FW_BUDGET, 1000, 16 * FW_MB},
    {FW_BUDGET, 3000, 16 * FW_MB},  {4 * FW_MB, 400, FW_MB},
    {4 * FW_MB, 3000, FW_MB},       {(size_t)1 << 34, 4000, 64 * FW_MB},
    {FW_BUDGET, 2000, FW_READ / 2},
};

/* Reads round by round, as paused connections do. */
static void
fill(struct fw_held_use *u, size_t *own, const struct holders_case *t)
{
    int grown = 1;

    while (grown) {
        grown = 0;
        for (int i = 0; i < t->n; i++) {
            size_t limit = Fw_HeldShare_Limit(u);
            size_t n = own[i] < limit ? MIN(limit - own[i], FW_READ) : 0;

            n = own[i] < t->want ? MIN(n, t->want - own[i]) : 0;
            own[i] += n;
            u->used += n;
            grown |= n > 0;
        }
    }
}

/* Guards against a sum of slow holders that exceeds the budget. */
START_TEST(any_number_of_holders_stays_within_the_budget)
{
    const struct holders_case *t = &holders[_i];
    struct fw_held_use u = {.budget = t->budget};
    size_t *own = g_new0(size_t, (gsize)t->n);

    fill(&u, own, t);
    ck_assert_uint_le(u.used, t->budget + FW_READ);
    if ((size_t)t->n * FW_HELD_SMALL_BYTES < t->budget / 8) {
        ck_assert_int_ne(Fw_HeldShare_Level(&u), FW_HELD_FULL);
    }
    g_free(own);
}
END_TEST

/*
 * Guards against slow holders that leave no room for the small requests and
 * responses of others.
 */
START_TEST(small_holders_have_room_beside_slow_ones)
{
    const struct holders_case t = {FW_BUDGET, 400, 16 * FW_MB};
    struct fw_held_use u = {.budget = t.budget};
    size_t own[400] = {0};

    fill(&u, own, &t);
    ck_assert_uint_ge(u.used, FW_BUDGET / 2);
    for (int i = 0; i < 100; i++) {
        ck_assert_int_eq(Fw_HeldShare_Admit(&u, 0, FW_HELD_SMALL_BYTES),
                         FW_HELD_ADMITTED);
        u.used += FW_HELD_SMALL_BYTES;
    }
}
END_TEST

/* Guards against a response that is not read on although memory is free. */
START_TEST(a_few_slow_holders_get_two_megabytes_each)
{
    const struct holders_case t = {FW_BUDGET, 10, 2 * FW_MB};
    struct fw_held_use u = {.budget = t.budget};
    size_t own[10] = {0};

    fill(&u, own, &t);
    ck_assert_uint_eq(u.used, (size_t)20 * FW_MB);
}
END_TEST

/* Guards against a holder that is paused before a larger one. */
START_TEST(the_largest_holders_are_paused_first)
{
    struct fw_held_use u = {.budget = FW_BUDGET};
    size_t last = SIZE_MAX;

    for (u.used = 0; u.used <= FW_BUDGET; u.used += FW_READ) {
        size_t limit = Fw_HeldShare_Limit(&u);

        ck_assert_uint_le(limit, last);
        last = limit;
    }
    ck_assert_uint_eq(last, 0);
}
END_TEST

/* Guards against bodies that are begun and can't be completed. */
START_TEST(bodies_are_admitted_whole_or_rejected)
{
    struct fw_held_use u = {.budget = FW_BUDGET};
    int admitted = 0;

    for (int i = 0; i < 300; i++) {
        if (Fw_HeldShare_Admit(&u, 0, FW_MB) == FW_HELD_ADMITTED) {
            u.used += FW_MB;
            admitted++;
        }
    }
    ck_assert_int_ge(admitted, 25);
    ck_assert_int_ne(Fw_HeldShare_Level(&u), FW_HELD_FULL);
    ck_assert_int_eq(Fw_HeldShare_Admit(&u, 0, FW_MB), FW_HELD_NO_ROOM);
    ck_assert_int_eq(Fw_HeldShare_Admit(&u, 0, FW_BUDGET + 1),
                     FW_HELD_TOO_LARGE);
    ck_assert_int_eq(Fw_HeldShare_Admit(&u, SIZE_MAX, SIZE_MAX),
                     FW_HELD_TOO_LARGE);
}
END_TEST

/* Guards against one server that takes the room of what waits for others. */
START_TEST(a_slow_server_leaves_room_for_others)
{
    struct fw_held *h = Fw_Held_New();
    size_t counted[64] = {0};
    int n = 0;

    Fw_Held_SetBudget(h, FW_BUDGET);
    while (n < 64 && Fw_Held_MayWait(h, "slow:1", FW_MB)) {
        Fw_Held_SetWaiting(h, "slow:1", &counted[n++], FW_MB);
    }
    ck_assert_int_ge(n, 8);
    ck_assert_int_lt(n, 24);
    ck_assert_int_eq(Fw_Held_MayWait(h, "sound:1", 4 * FW_MB), 1);
    for (int i = 0; i < n; i++) {
        Fw_Held_SetWaiting(h, "slow:1", &counted[i], 0);
    }
    ck_assert_uint_eq(Fw_Held_Use(h)->waiting, 0);
    Fw_Held_Free(h);
}
END_TEST

/** struct resumed - counts the ends of a pause. */
struct resumed {
    int n;
};

static void
on_resume(void *ctx)
{
    ((struct resumed *)ctx)->n++;
}

/* Guards against pauses that don't end, or that end while there is no room. */
START_TEST(a_pause_ends_when_there_is_room)
{
    struct fw_held *h = Fw_Held_New();
    struct fw_held_account *large = Fw_HeldAccount_New(h);
    struct fw_held_account *small = Fw_HeldAccount_New(h);
    struct resumed resumed = {0};
    struct fw_held_wait w = {
        .need = FW_READ, .resume = on_resume, .ctx = &resumed};
    size_t in_large = 0;
    size_t in_small = 0;

    Fw_Held_SetBudget(h, FW_BUDGET);
    Fw_HeldAccount_Set(large, FW_HELD_OUTPUT, &in_large, 30 * FW_MB);
    Fw_HeldAccount_Set(small, FW_HELD_OUTPUT, &in_small, 2 * FW_MB);
    Fw_HeldAccount_Wait(small, &w);
    Fw_HeldAccount_Wait(small, &w);
    ck_assert_int_eq(Fw_Held_CountWaits(h), 1);
    Fw_Held_Resume(h);
    ck_assert_int_eq(resumed.n, 0);
    Fw_HeldAccount_Set(large, FW_HELD_OUTPUT, &in_large, 0);
    Fw_Held_Resume(h);
    Fw_Held_Resume(h);
    ck_assert_int_eq(resumed.n, 1);
    ck_assert_int_eq(Fw_Held_CountWaits(h), 0);
    Fw_HeldAccount_Set(small, FW_HELD_OUTPUT, &in_small, 0);
    Fw_HeldAccount_Unref(large);
    Fw_HeldAccount_Unref(small);
    Fw_Held_Free(h);
}
END_TEST

#define FW_OWNERS 40
#define FW_SERVERS 5
#define FW_SERVER_BOUND ((size_t)64 * FW_MB)
#define FW_STEPS 20000
#define FW_CHECK_STEPS 29

/** struct owner - a connection, and what the test knows of its charges. */
struct owner {
    struct fw_held_account *account;
    size_t charged[FW_HELD_KINDS];
    GBytes *body;
    size_t body_bytes;
    struct fw_held_wait wait;
    size_t waiting[FW_SERVERS];
    size_t given[FW_SERVERS];
};

static const char *const servers[FW_SERVERS] = {"a:1", "b:1", "c:1", "d:1",
                                                "e:1"};

static void
owner_end(struct fw_held *h, struct owner *o)
{
    Fw_HeldWait_Cancel(&o->wait);
    for (int k = 0; k < FW_HELD_KINDS; k++) {
        Fw_HeldAccount_Set(o->account, k, &o->charged[k], 0);
    }
    for (int s = 0; s < FW_SERVERS; s++) {
        Fw_Held_SetWaiting(h, servers[s], &o->waiting[s], 0);
        Fw_Held_SetGiven(h, servers[s], &o->given[s], 0);
    }
    Fw_HeldAccount_Unref(o->account);
    o->account = NULL; /* the body may outlive the connection */
}

static void
drop_body(struct owner *o)
{
    g_clear_pointer(&o->body, g_bytes_unref);
    o->body_bytes = 0;
}

static void
take_body(struct owner *o, size_t bytes)
{
    size_t charged = 0;

    drop_body(o);
    Fw_HeldAccount_Set(o->account, FW_HELD_BODY, &charged, bytes);
    o->body = Fw_HeldAccount_TakeBytes(o->account, FW_HELD_BODY,
                                       g_malloc(bytes), bytes, bytes);
    o->body_bytes = bytes;
}

static void
owner_step(struct fw_held *h, struct owner *o, GRand *rand)
{
    size_t bytes = (size_t)g_rand_int_range(rand, 1, 100000);
    int kind = g_rand_int_range(rand, 0, FW_HELD_KINDS);
    int server = g_rand_int_range(rand, 0, FW_SERVERS);

    if (!o->account) {
        o->account = Fw_HeldAccount_New(h);
        return;
    }
    switch (g_rand_int_range(rand, 0, 9)) {
    case 0:
        owner_end(h, o);
        break;
    case 1:
        take_body(o, bytes);
        break;
    case 2:
        drop_body(o);
        break;
    case 3:
        Fw_HeldAccount_Wait(o->account, &o->wait);
        break;
    case 4:
        Fw_Held_SetWaiting(h, servers[server], &o->waiting[server], bytes);
        break;
    case 5:
        Fw_Held_SetGiven(h, servers[server], &o->given[server], bytes);
        break;
    default:
        Fw_HeldAccount_Set(o->account, kind, &o->charged[kind],
                           bytes % 3 ? bytes : 0);
        break;
    }
}

static void
check_sums(const struct fw_held *h, const struct owner *owners)
{
    size_t kinds[FW_HELD_KINDS] = {0};
    size_t waiting[FW_SERVERS] = {0};
    size_t given[FW_SERVERS] = {0};
    size_t used = 0;
    size_t all_waiting = 0;
    int waits = 0;

    for (int i = 0; i < FW_OWNERS; i++) {
        const struct owner *o = &owners[i];

        for (int k = 0; k < FW_HELD_KINDS; k++) {
            kinds[k] += o->charged[k];
        }
        for (int s = 0; s < FW_SERVERS; s++) {
            waiting[s] += o->waiting[s];
            given[s] += o->given[s];
        }
        kinds[FW_HELD_BODY] += o->body_bytes;
        waits += o->wait.account != NULL;
    }
    for (int k = 0; k < FW_HELD_KINDS; k++) {
        ck_assert_uint_eq(Fw_Held_OfKind(h, k), kinds[k]);
        used += kinds[k];
    }
    for (int s = 0; s < FW_SERVERS; s++) {
        ck_assert_uint_eq(Fw_Held_Waiting(h, servers[s]), waiting[s]);
        ck_assert_int_eq(
            Fw_Held_MayGive(h, servers[s], FW_SERVER_BOUND - given[s]), 1);
        ck_assert_int_eq(
            Fw_Held_MayGive(h, servers[s], FW_SERVER_BOUND - given[s] + 1), 0);
        all_waiting += waiting[s];
    }
    ck_assert_uint_eq(Fw_Held_Use(h)->used, used);
    ck_assert_uint_eq(Fw_Held_Use(h)->waiting, all_waiting);
    ck_assert_int_eq(Fw_Held_CountWaits(h), waits);
}

/* Guards against bytes that stay charged, or are released twice. */
START_TEST(the_sum_is_exact_for_any_order_of_events)
{
    struct owner owners[FW_OWNERS] = {0};
    GRand *rand = g_rand_new_with_seed((guint32)_i);
    struct fw_held *h = Fw_Held_New();
    struct resumed resumed = {0};

    Fw_Held_SetBudget(h, FW_MB);
    Fw_Held_SetServerBound(h, FW_SERVER_BOUND);
    for (int i = 0; i < FW_OWNERS; i++) {
        owners[i].wait = (struct fw_held_wait){
            .need = FW_READ, .resume = on_resume, .ctx = &resumed};
    }
    for (int i = 0; i < FW_STEPS; i++) {
        owner_step(h, &owners[g_rand_int_range(rand, 0, FW_OWNERS)], rand);
        if (i % FW_CHECK_STEPS == 0) {
            Fw_Held_Resume(h);
            check_sums(h, owners);
        }
    }
    for (int i = 0; i < FW_OWNERS; i++) {
        if (owners[i].account) {
            owner_end(h, &owners[i]);
        }
        drop_body(&owners[i]);
    }
    check_sums(h, owners);
    ck_assert_uint_eq(Fw_Held_Use(h)->used, 0);
    ck_assert_int_gt(resumed.n, 0);
    Fw_Held_Free(h);
    g_rand_free(rand);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("held");

    g_log_set_always_fatal(G_LOG_LEVEL_CRITICAL | G_LOG_LEVEL_WARNING);
    tcase_set_timeout(tc, 60);
    tcase_add_loop_test(tc, any_number_of_holders_stays_within_the_budget, 0,
                        G_N_ELEMENTS(holders));
    tcase_add_test(tc, small_holders_have_room_beside_slow_ones);
    tcase_add_test(tc, a_few_slow_holders_get_two_megabytes_each);
    tcase_add_test(tc, the_largest_holders_are_paused_first);
    tcase_add_test(tc, bodies_are_admitted_whole_or_rejected);
    tcase_add_test(tc, a_slow_server_leaves_room_for_others);
    tcase_add_test(tc, a_pause_ends_when_there_is_room);
    tcase_add_loop_test(tc, the_sum_is_exact_for_any_order_of_events, 0, 8);
    return Fw_Suite_Run(tc);
}
