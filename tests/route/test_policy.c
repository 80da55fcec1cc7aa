/* Tests of the routing policies, the slot and backlog accounts and the queue.
 */
#include <check.h>
#include <string.h>

#include "route/policy.h"
#include "route/queue.h"
#include "route/slots.h"
#include "tests/base/suite.h"

#define N(rows) (int)G_N_ELEMENTS(rows)

/*
 * Reservations made and released since the last report must be counted, or a
 * slot is granted twice and a finished prefill has to be repeated.
 */
static const struct {
    const char *what;
    int64_t need_ms;     /* when the reserved slot is needed, 0: no slot */
    int64_t released_ms; /* 0: held */
    int64_t report_ms;   /* time that a second report describes, 0: none */
    int busy;            /* in both reports */
    int want;            /* expected busy slots */
} slot_rows[] = {
    {"nothing reserved: as reported", 0, 0, 0, 3, 3},
    {"reserved since the report", 600, 0, 0, 3, 4},
    {"in use before the report, which counts it", 600, 0, 700, 4, 4},
    {"reserved, not yet in use at the report", 900, 0, 700, 3, 4},
    {"released before it was in use", 900, 800, 0, 3, 3},
    {"in use, released since the report", 600, 900, 700, 4, 3},
    {"released before the report", 600, 650, 700, 3, 3},
};

START_TEST(slots_correct_a_lagging_report)
{
    const struct fw_up_report first = {.slots = 20,
                                       .busy_slots = slot_rows[_i].busy};
    struct fw_hold hold = {
        .owner = 1, .round_id = 2, .need_us = slot_rows[_i].need_ms * FW_MSEC};
    struct fw_slots s;

    Fw_Slots_Init(&s);
    Fw_Slots_ApplyReport(&s, &first, 500 * FW_MSEC);
    if (hold.need_us) {
        Fw_Slots_Hold(&s, &hold);
    }
    if (slot_rows[_i].released_ms) {
        ck_assert(
            Fw_Slots_Release(&s, 1, 2, slot_rows[_i].released_ms * FW_MSEC));
    }
    if (slot_rows[_i].report_ms) {
        Fw_Slots_ApplyReport(&s, &first, slot_rows[_i].report_ms * FW_MSEC);
    }
    ck_assert_msg(Fw_Slots_Busy(&s) == slot_rows[_i].want, "%s: %d",
                  slot_rows[_i].what, Fw_Slots_Busy(&s));
    ck_assert(!Fw_Slots_Release(&s, 9, 9, FW_SEC));
    Fw_Slots_Clear(&s);
}
END_TEST

/* With long prompts, KV memory runs out before slots do. */
START_TEST(slots_count_kv_memory)
{
    const struct fw_up_report rep = {
        .slots = 20, .busy_slots = 1, .kv_used = 6000, .kv_total = 10000};
    struct fw_hold hold = {
        .owner = 1, .round_id = 1, .tokens = 3000, .need_us = FW_SEC};
    struct fw_slots s;

    Fw_Slots_Init(&s);
    Fw_Slots_ApplyReport(&s, &rep, 500 * FW_MSEC);
    ck_assert(Fw_Slots_Fits(&s, 4000));
    Fw_Slots_Hold(&s, &hold);
    ck_assert(!Fw_Slots_Fits(&s, 1001));
    ck_assert(Fw_Slots_Fits(&s, 1000));
    Fw_Slots_Clear(&s);
}
END_TEST

/*
 * Reports alone miss recent grants, and grants alone miss owners that died:
 * the backlog must combine both.
 */
START_TEST(backlog_combines_reports_and_grants)
{
    struct fw_backlog b = {0};
    struct fw_backlog_item it = {.owner = 1,
                                 .round_id = 1,
                                 .granted_us = 1100 * FW_MSEC,
                                 .tokens = 2000,
                                 .compute_us = 100 * FW_MSEC};

    /* Work granted by another coordinator. */
    Fw_Backlog_ApplyReport(&b, FW_SEC, 2000, 10000);
    ck_assert_int_eq(Fw_Backlog_WaitUs(&b, 1100 * FW_MSEC), 100 * FW_MSEC);
    Fw_Backlog_Add(&b, &it);
    ck_assert_int_eq(Fw_Backlog_WaitUs(&b, 1100 * FW_MSEC), 200 * FW_MSEC);
    it.round_id = 2;
    it.granted_us = 1150 * FW_MSEC;
    Fw_Backlog_Add(&b, &it);
    /* This report counts both grants and nothing else. */
    Fw_Backlog_ApplyReport(&b, 1180 * FW_MSEC, 4000, 10000);
    ck_assert_int_eq(Fw_Backlog_WaitUs(&b, 1200 * FW_MSEC), 100 * FW_MSEC);
    /* The first is computed, but an older report still counts it. */
    ck_assert(Fw_Backlog_Complete(&b, 1, 1, 1210 * FW_MSEC) != NULL);
    Fw_Backlog_ApplyReport(&b, 1200 * FW_MSEC, 4000, 10000);
    ck_assert_int_eq(Fw_Backlog_WaitUs(&b, 1250 * FW_MSEC), 60 * FW_MSEC);
    /* The owner of the second died: the engine has nothing queued. */
    Fw_Backlog_ApplyReport(&b, 1300 * FW_MSEC, 0, 10000);
    ck_assert_int_eq(Fw_Backlog_WaitUs(&b, 1300 * FW_MSEC), 0);
    ck_assert_int_eq(b.n, 0);
    Fw_Backlog_Add(&b, &it);
    Fw_Backlog_Remove(&b, 1, 2);
    ck_assert_int_eq(b.n, 0);
    ck_assert(Fw_Backlog_Complete(&b, 1, 2, FW_SEC) == NULL);
}
END_TEST

/* A breaker must keep requests off a failing or slow server, and must let
 * probes through, or the server is never used again. */
static const struct {
    const char *what;
    const char *calls; /* f: failure, s: slow, o: ok, '.': 1 s passes */
    int allows;
    int opened;
} breaker_rows[] = {
    {"successes: closed", "oooo", 1, 0},
    {"two failures: closed", "ff", 1, 0},
    {"a success resets the count", "ffoff", 1, 0},
    {"three consecutive failures: open", "fff", 0, 1},
    {"probe allowed after the open period", "fff.", 1, 1},
    {"probe failed: open for twice as long", "fff.f.", 0, 2},
    {"probe allowed after that", "fff.f..", 1, 2},
    {"probe succeeded: closed", "fff.off", 1, 1},
    {"four slow calls: closed", "ssss", 1, 0},
    {"five consecutive slow calls: open", "sssss", 0, 1},
    {"probe slow: open again", "sssss.s.", 0, 2},
};

START_TEST(breaker_opens_and_probes)
{
    struct fw_breaker b = {0};
    int64_t now = FW_SEC;
    int opened = 0;

    for (const char *c = breaker_rows[_i].calls; *c; c++) {
        if (*c == '.') {
            now += FW_SEC;
            continue;
        }
        Fw_Breaker_RecordRequest(&b, now);
        opened += *c == 'f'
                      ? Fw_Breaker_RecordFailure(&b, now)
                      : Fw_Breaker_RecordSuccess(&b, *c == 's' ? FW_SEC : 1000,
                                                 10 * FW_MSEC, now);
    }
    ck_assert_msg(Fw_Breaker_Allows(&b, now) == breaker_rows[_i].allows, "%s",
                  breaker_rows[_i].what);
    ck_assert_msg(opened == breaker_rows[_i].opened, "%s: %d",
                  breaker_rows[_i].what, opened);
}
END_TEST

/* Retries must be limited, or an outage doubles the load on the engines that
 * are left. */
START_TEST(retries_are_a_share_of_traffic)
{
    struct fw_retry_budget b;
    int spent = 0;

    Fw_Retry_Init(&b, 100);
    while (Fw_Retry_Spend(&b)) {
        spent++;
    }
    ck_assert_int_eq(spent, 10);
    for (int i = 0; i < 1000; i++) {
        Fw_Retry_Earn(&b);
        spent += Fw_Retry_Spend(&b);
    }
    ck_assert_int_eq(spent, 110);
}
END_TEST

static const struct {
    const char *what;
    struct fw_admission a;
    int64_t want_ms;
} admit_rows[] = {
    {"target less the service time",
     {.arrived_us = FW_SEC,
      .ttft_us = 850 * FW_MSEC,
      .queue_max_us = 5 * FW_SEC,
      .service_us = 300 * FW_MSEC},
     1550},
    {"bounded by the longest wait in the queue",
     {.arrived_us = FW_SEC,
      .ttft_us = 850 * FW_MSEC,
      .queue_max_us = 200 * FW_MSEC,
      .service_us = 300 * FW_MSEC},
     1200},
    {"service time exceeds the target: queue limit only",
     {.arrived_us = FW_SEC,
      .ttft_us = 850 * FW_MSEC,
      .queue_max_us = 5 * FW_SEC,
      .service_us = 2 * FW_SEC},
     6000},
    {"deadline less service and streaming time",
     {.arrived_us = FW_SEC,
      .deadline_us = 60 * FW_SEC,
      .ttft_us = 850 * FW_MSEC,
      .queue_max_us = 5 * FW_SEC,
      .service_us = 2 * FW_SEC,
      .stream_us = 8 * FW_SEC},
     50000},
};

START_TEST(admission_computes_latest_start)
{
    ck_assert_msg(Fw_Admit_LatestStartUs(&admit_rows[_i].a) ==
                      admit_rows[_i].want_ms * FW_MSEC,
                  "%s", admit_rows[_i].what);
}
END_TEST

START_TEST(prefixes_are_added_and_removed)
{
    struct fw_prefix_table *t = g_new0(struct fw_prefix_table, 1);
    char *text = g_strnfill(5000, 'a');
    GBytes *prompt = g_bytes_new_take(text, 5000);
    struct fw_prefixes p;

    Fw_Prefix_Hash(prompt, &p);
    ck_assert_int_eq(p.n, 3);
    ck_assert_int_eq(Fw_Prefix_CachedTokens(t, 1, &p), 0);
    Fw_Prefix_Add(t, 1, p.hash[0]);
    Fw_Prefix_Add(t, 1, p.hash[1]);
    ck_assert_int_eq(Fw_Prefix_CachedTokens(t, 1, &p), 512);
    ck_assert_int_eq(Fw_Prefix_CachedTokens(t, 2, &p), 0);
    Fw_Prefix_Remove(t, 1, p.hash[1]);
    ck_assert_int_eq(Fw_Prefix_CachedTokens(t, 1, &p), 256);
    g_bytes_unref(prompt);
    g_free(t);
}
END_TEST

/* Takes all items; returns their team names in order, to be freed. */
static char *
drain(struct fw_queue *q)
{
    GString *s = g_string_new(NULL);
    struct fw_queue_item *it;

    while ((it = Fw_Queue_Take(q))) {
        g_string_append(s, it->team_name);
        g_free(it);
    }
    return g_string_free(s, FALSE);
}

static struct fw_queue_item *
enqueue(struct fw_queue *q, const char *team, int64_t tokens, int64_t latest)
{
    struct fw_queue_item *it = g_new0(struct fw_queue_item, 1);

    g_strlcpy(it->team_name, team, sizeof(it->team_name));
    it->tokens = tokens;
    it->latest_start_us = latest;
    Fw_Queue_Put(q, it);
    return it;
}

/* A team with a long backlog must not delay the others. */
START_TEST(queue_is_fair_in_tokens)
{
    struct fw_queue q;
    char *order;

    Fw_Queue_Init(&q, 1000);
    for (int i = 0; i < 10; i++) {
        enqueue(&q, "A", 1000, i);
    }
    enqueue(&q, "b", 1000, 100);
    enqueue(&q, "b", 1000, 101);
    enqueue(&q, "c", 500, 102);
    enqueue(&q, "c", 500, 103);
    ck_assert_int_eq(Fw_Queue_CountAhead(&q, "d", 200), 3);
    ck_assert_int_eq(Fw_Queue_CountAhead(&q, "A", 200), 14);
    order = drain(&q);
    ck_assert_str_eq(order, "AbccAbAAAAAAAA");
    g_free(order);
    ck_assert_int_eq(q.n, 0);
    ck_assert_int_eq((int)g_hash_table_size(q.teams), 0);
    Fw_Queue_Clear(&q);
}
END_TEST

START_TEST(queue_orders_by_latest_start_and_restores_turns)
{
    struct fw_queue q;
    struct fw_queue_item *late;
    struct fw_queue_item *soon;
    struct fw_queue_item *it;

    Fw_Queue_Init(&q, 1000);
    late = enqueue(&q, "a", 1000, 9);
    soon = enqueue(&q, "a", 1000, 3);
    it = enqueue(&q, "b", 1000, 5);
    ck_assert_ptr_eq(Fw_Queue_Earliest(&q), soon);
    ck_assert_ptr_eq(Fw_Queue_Take(&q), soon);
    Fw_Queue_PutBack(&q, soon);
    ck_assert_ptr_eq(Fw_Queue_Take(&q), soon);
    Fw_Queue_Remove(&q, late);
    Fw_Queue_Remove(&q, late);
    ck_assert_ptr_eq(Fw_Queue_Take(&q), it);
    ck_assert_ptr_null(Fw_Queue_Take(&q));
    Fw_Queue_Clear(&q);
    g_free(late);
    g_free(soon);
    g_free(it);
}
END_TEST

/* Guards against a less urgent item that is taken first, or breaks turns. */
START_TEST(queue_takes_more_urgent_ranks_first)
{
    static const struct {
        const char *team;
        int rank;
    } rows[] = {{"a", 2}, {"a", 2}, {"b", 2}, {"a", 0},
                {"c", 1}, {"b", 0}, {"c", 0}};
    static const int order[] = {3, 5, 6, 4, 0, 2, 1};
    struct fw_queue_item items[G_N_ELEMENTS(rows)] = {0};
    GPtrArray *list = g_ptr_array_new();
    struct fw_queue q;

    Fw_Queue_Init(&q, 1000);
    for (int i = 0; i < N(rows); i++) {
        g_strlcpy(items[i].team_name, rows[i].team, FW_NAME_MAX);
        items[i].rank = rows[i].rank;
        items[i].tokens = 1000;
        items[i].latest_start_us = i;
        Fw_Queue_Put(&q, &items[i]);
    }
    Fw_Queue_List(&q, list);
    ck_assert_uint_eq(list->len, N(order));
    for (int i = 0; i < N(order); i++) {
        struct fw_queue_item *it = Fw_Queue_Take(&q);

        ck_assert_int_eq(it - items, order[i]);
        ck_assert_ptr_eq(it, g_ptr_array_index(list, i));
        Fw_Queue_PutBack(&q, it);
        ck_assert_ptr_eq(Fw_Queue_Take(&q), it);
    }
    ck_assert_ptr_null(Fw_Queue_Take(&q));
    Fw_Queue_Clear(&q);
    g_ptr_array_unref(list);
}
END_TEST

/* Guards against a team that gets its turns twice, or none. */
START_TEST(queue_charges_an_item_taken_out_of_turn)
{
    struct fw_queue_item items[12] = {0};
    GPtrArray *list = g_ptr_array_new();
    struct fw_queue q;

    Fw_Queue_Init(&q, 1000);
    for (int i = 0; i < N(items); i++) {
        g_strlcpy(items[i].team_name, i % 2 ? "b" : "a", FW_NAME_MAX);
        items[i].tokens = 700 + 40 * i;
        items[i].latest_start_us = i;
        Fw_Queue_Put(&q, &items[i]);
    }
    for (int turns = 0; q.n; turns++) {
        struct fw_queue_item *first;

        g_ptr_array_set_size(list, 0);
        Fw_Queue_List(&q, list);
        first = g_ptr_array_index(list, 0);
        ck_assert_int_eq(first - items, turns);
        Fw_Queue_TakeItem(&q, first);
        ck_assert_ptr_null(first->team);
    }
    Fw_Queue_Clear(&q);
    g_ptr_array_unref(list);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("policy");

    tcase_add_loop_test(tc, slots_correct_a_lagging_report, 0, N(slot_rows));
    tcase_add_test(tc, slots_count_kv_memory);
    tcase_add_test(tc, backlog_combines_reports_and_grants);
    tcase_add_loop_test(tc, breaker_opens_and_probes, 0, N(breaker_rows));
    tcase_add_test(tc, retries_are_a_share_of_traffic);
    tcase_add_loop_test(tc, admission_computes_latest_start, 0, N(admit_rows));
    tcase_add_test(tc, prefixes_are_added_and_removed);
    tcase_add_test(tc, queue_is_fair_in_tokens);
    tcase_add_test(tc, queue_orders_by_latest_start_and_restores_turns);
    tcase_add_test(tc, queue_takes_more_urgent_ranks_first);
    tcase_add_test(tc, queue_charges_an_item_taken_out_of_turn);
    return Fw_Suite_Run(tc);
}
