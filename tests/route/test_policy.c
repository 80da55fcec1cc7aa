/* The small decisions of the router, by tables. */
#include <check.h>
#include <string.h>

#include "route/policy.h"
#include "route/queue.h"
#include "route/slots.h"
#include "tests/base/suite.h"

#define N(rows) (int)G_N_ELEMENTS(rows)

/*
 * A report is older than it looks, and many instances act on it. Between two
 * reports a coordinator must know what it has promised itself, or a decode
 * engine is promised twice and a finished prefill finds no slot: the caller
 * waits for it to be computed again.
 */
static const struct {
    const char *what;
    int64_t need_ms;     /* of the one reservation, 0 for none */
    int64_t released_ms; /* 0: held */
    int64_t report_ms;   /* time that a second report speaks of, 0: none */
    int busy;            /* in the last report */
    int want;            /* slots thought busy at 1000 ms */
} slot_rows[] = {
    {"nothing promised: as reported", 0, 0, 0, 3, 3},
    {"promised since the report", 600, 0, 0, 3, 4},
    {"in use before the report: seen in it", 600, 0, 700, 4, 4},
    {"promised, not yet in use at the report", 900, 0, 700, 3, 4},
    {"given back before it was in use", 900, 800, 0, 3, 3},
    {"in use, freed since the report", 600, 900, 700, 4, 3},
    {"freed before the report", 600, 650, 700, 3, 3},
};

START_TEST(slots_correct_a_lagging_report)
{
    const struct fw_up_report first = {.slots = 20,
                                       .busy = slot_rows[_i].busy};
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

/* Engine memory runs out before slots do when prompts are long. */
START_TEST(slots_count_engine_memory)
{
    const struct fw_up_report rep = {
        .slots = 20, .busy = 1, .kv_used = 6000, .kv_total = 10000};
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
 * A coordinator that goes by reports alone sends a second's worth of prompts
 * before the first of them shows; one that goes by its grants alone never
 * learns that an asker died. Both are put together.
 */
START_TEST(backlog_drains_and_grows)
{
    struct fw_backlog b = {0};
    struct fw_backlog_item it = {.owner = 1,
                                 .round_id = 1,
                                 .granted_us = 1100 * FW_MSEC,
                                 .tokens = 2000,
                                 .compute_us = 100 * FW_MSEC};

    /* Someone else's work, by the report. */
    Fw_Backlog_ApplyReport(&b, FW_SEC, 2000, 10000);
    ck_assert_int_eq(Fw_Backlog_WaitUs(&b, 1100 * FW_MSEC), 100 * FW_MSEC);
    Fw_Backlog_Add(&b, &it);
    ck_assert_int_eq(Fw_Backlog_WaitUs(&b, 1100 * FW_MSEC), 200 * FW_MSEC);
    it.round_id = 2;
    it.granted_us = 1150 * FW_MSEC;
    Fw_Backlog_Add(&b, &it);
    /* Both grants are in this report and nothing else. */
    Fw_Backlog_ApplyReport(&b, 1180 * FW_MSEC, 4000, 10000);
    ck_assert_int_eq(Fw_Backlog_WaitUs(&b, 1200 * FW_MSEC), 100 * FW_MSEC);
    /* The first is told computed; a late report still has it. */
    ck_assert(Fw_Backlog_Complete(&b, 1, 1, 1210 * FW_MSEC) != NULL);
    Fw_Backlog_ApplyReport(&b, 1200 * FW_MSEC, 4000, 10000);
    ck_assert_int_eq(Fw_Backlog_WaitUs(&b, 1250 * FW_MSEC), 60 * FW_MSEC);
    /* The asker of the second died: the engine has nothing left. */
    Fw_Backlog_ApplyReport(&b, 1300 * FW_MSEC, 0, 10000);
    ck_assert_int_eq(Fw_Backlog_WaitUs(&b, 1300 * FW_MSEC), 0);
    ck_assert_int_eq(b.n, 0);
    Fw_Backlog_Add(&b, &it);
    Fw_Backlog_Remove(&b, 1, 2);
    ck_assert_int_eq(b.n, 0);
    ck_assert(Fw_Backlog_Complete(&b, 1, 2, FW_SEC) == NULL);
}
END_TEST

/*
 * One server fails or drags while the others are well. Without a breaker
 * every third caller meets it; with one that never tries again the fleet
 * loses a server for good.
 */
static const struct {
    const char *what;
    const char *calls; /* f fails, s slow, o ok, '.' a second passes */
    int allows;
    int opened;
} breaker_rows[] = {
    {"well", "oooo", 1, 0},
    {"two failures are chance", "ff", 1, 0},
    {"a success in between counts", "ffoff", 1, 0},
    {"three in a row open it", "fff", 0, 1},
    {"a probe is let through later", "fff.", 1, 1},
    {"the probe fails: open for longer", "fff.f.", 0, 2},
    {"and is let through again", "fff.f..", 1, 2},
    {"the probe is well: closed", "fff.off", 1, 1},
    {"four slow ones are chance", "ssss", 1, 0},
    {"five slow in a row open it", "sssss", 0, 1},
    {"the probe is slow", "sssss.s.", 0, 2},
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

/*
 * When engines fail, every request fails, and retries of all of them would
 * double the load on what is left.
 */
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
    {"target less its own service",
     {.arrived_us = FW_SEC,
      .ttft_us = 850 * FW_MSEC,
      .queue_max_us = 5 * FW_SEC,
      .service_us = 300 * FW_MSEC},
     1550},
    {"never longer than the queue may hold",
     {.arrived_us = FW_SEC,
      .ttft_us = 850 * FW_MSEC,
      .queue_max_us = 200 * FW_MSEC,
      .service_us = 300 * FW_MSEC},
     1200},
    {"too long for the target: held to the queue only",
     {.arrived_us = FW_SEC,
      .ttft_us = 850 * FW_MSEC,
      .queue_max_us = 5 * FW_SEC,
      .service_us = 2 * FW_SEC},
     6000},
    {"a deadline: whole by then, streaming counted",
     {.arrived_us = FW_SEC,
      .deadline_us = 60 * FW_SEC,
      .ttft_us = 850 * FW_MSEC,
      .queue_max_us = 5 * FW_SEC,
      .service_us = 2 * FW_SEC,
      .stream_us = 8 * FW_SEC},
     50000},
};

START_TEST(admission_knows_the_latest_start)
{
    ck_assert_msg(Fw_Admit_LatestStartUs(&admit_rows[_i].a) ==
                      admit_rows[_i].want_ms * FW_MSEC,
                  "%s", admit_rows[_i].what);
}
END_TEST

START_TEST(prefixes_are_learnt_and_voided)
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

/* Takes everything in the queue; team names in order. */
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
queued(struct fw_queue *q, const char *team, int64_t tokens, int64_t latest)
{
    struct fw_queue_item *it = g_new0(struct fw_queue_item, 1);

    g_strlcpy(it->team_name, team, sizeof(it->team_name));
    it->tokens = tokens;
    it->latest_us = latest;
    Fw_Queue_Put(q, it);
    return it;
}

/*
 * One team sends five times what the others send. Served first come, first
 * served, the others wait behind all of it.
 */
START_TEST(queue_is_fair_in_tokens)
{
    struct fw_queue q;
    char *order;

    Fw_Queue_Init(&q, 1000);
    for (int i = 0; i < 10; i++) {
        queued(&q, "A", 1000, i);
    }
    queued(&q, "b", 1000, 100);
    queued(&q, "b", 1000, 101);
    queued(&q, "c", 500, 102);
    queued(&q, "c", 500, 103);
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

START_TEST(queue_goes_by_deadline_and_gives_turns_back)
{
    struct fw_queue q;
    struct fw_queue_item *late;
    struct fw_queue_item *soon;
    struct fw_queue_item *it;

    Fw_Queue_Init(&q, 1000);
    late = queued(&q, "a", 1000, 9);
    soon = queued(&q, "a", 1000, 3);
    it = queued(&q, "b", 1000, 5);
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

int
main(void)
{
    TCase *tc = Fw_Suite_New("policy");

    tcase_add_loop_test(tc, slots_correct_a_lagging_report, 0, N(slot_rows));
    tcase_add_test(tc, slots_count_engine_memory);
    tcase_add_test(tc, backlog_drains_and_grows);
    tcase_add_loop_test(tc, breaker_opens_and_probes, 0, N(breaker_rows));
    tcase_add_test(tc, retries_are_a_share_of_traffic);
    tcase_add_loop_test(tc, admission_knows_the_latest_start, 0,
                        N(admit_rows));
    tcase_add_test(tc, prefixes_are_learnt_and_voided);
    tcase_add_test(tc, queue_is_fair_in_tokens);
    tcase_add_test(tc, queue_goes_by_deadline_and_gives_turns_back);
    return Fw_Suite_Run(tc);
}
