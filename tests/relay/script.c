/*
 * Commands:
 *   at MS                       sets the clock
 *   started                     the process was started just now, and not a
 *                               while ago
 *   options KEY=N ...           queue_ms, stale_ms, reserve, prefill, extra,
 *                               here_ms, lease_ms, start_wait_ms, precedence,
 *                               patience, forecast
 *   rules VERSION [KEY=N ...]   loads a configuration (see make_rules); rate,
 *                               burst, keys, attempts, timeout_ms, kv, slots,
 *                               cold_rate, cold_ms, route_region, team_region,
 *                               rank_b
 *   demand NAME RANK [KEY=N ...]
 *                               another instance reports demand for "llm":
 *                               waiting, tokens, asked, asked_tokens, ended,
 *                               ended_tokens
 *   fresh MS                    the configuration was current at that time
 *   server ID SERVICE STAGE [draining] [born=N] [domain=S] [cold_ms=N]
 *                               adds or updates a server's entry
 *   unlisted ID                 removes a server's entry
 *   evacuate DOMAIN OFFSET      a record that evacuates a failure domain
 *   evacuation-ended DOMAIN OFFSET
 *                               a record that ends that
 *   evacuations END [DOMAIN=OFFSET] ...
 *                               a complete listing of the evacuations
 *   registered                  all instances were read from the store
 *   store-lost                  the store does not answer
 *   store-back                  the store is reachable again
 *   list                        the server list was read completely
 *   open N PATH [key=K] [in=N] [out=N] [digest=N] [left_ms=N] [id=S]
 *     [handed-over]
 *                               a request of a caller, or of another instance
 *   served COUNT PATH MS        so many requests without tokens are sent to a
 *                               server and answered, each after that time;
 *                               their actions are not printed
 *   gone N                      the caller disconnected
 *   begun X STATUS              the response to call X began
 *   answer X STATUS [name=S] [not-run] [moved] [busy] [orders=N] [stage=S]
 *     [limit_milli=N] [bad-limit] [rest_ms=N] [bad-rest] [leaving]
 *     [bad-leaving] [handover-refused]
 *                               the response to call X is complete
 *   fail X ERRNO sent|unsent    call X failed
 *   lead made|taken|unknown OFFSET
 *                               outcome of the last claim of the order role
 *   member NAME [store-lost] [store_back_ms=N]
 *                               a digest from the instance NAME: it gets no
 *                               answer from the store; it did again N ms ago
 *   spent NAME TEAM N [level=N] a digest from NAME: it has spent N tokens of
 *                               TEAM's allowance in all; its bucket's level
 *   limit NAME ID VERSION N     a message from NAME: the limit that it
 *                               believes of a server, thousandths a second,
 *                               -1 for none
 *   tick                        runs the periodic work
 *   drain                       SIGTERM
 *   ready                       prints whether the instance is ready
 *   load ID                     prints a server's running requests, reserved
 *                               tokens and prefill tokens
 *   logs                        prints log lines from here on: severity, event
 *                               and members
 */
#include "tests/relay/script.h"

#include <check.h>
#include <string.h>

#include "base/hash.h"
#include "tests/relay/script_internal.h"

/* Age of the relay's process when a script begins. */
#define FW_PROCESS_AGE_US (60 * FW_SEC)
/* Ids of the requests of the command "served". */
#define FW_SERVED_CALLS 100000

static const char *const call_kind_names[] = {
    "run",    "prefill", "hold",  "drop-hold", "drop-kv",
    "report", "stage",   "probe", "hand-over"};

static void
print_upstream_call(GString *out, const struct fw_rl_upstream_call *c)
{
    g_string_append_printf(out, "  ask %d %s %s", (int)c->xid,
                           call_kind_names[c->kind],
                           c->kind == FW_RL_UP_HANDOVER ? c->addr : c->server);
    if (c->call) {
        g_string_append_printf(out, " for %d", (int)c->call);
    }
    if (c->kind == FW_RL_UP_RESERVE) {
        g_string_append_printf(out, " tokens=%d", (int)c->tokens);
    }
    if (c->reservation[0]) {
        g_string_append_printf(out, " hold=%s", c->reservation);
    }
    if (c->kv_handle[0]) {
        g_string_append_printf(out, " kv=%s", c->kv_handle);
    }
    if (c->team[0]) {
        g_string_append_printf(out, " team=%s", c->team);
    }
    if (c->kind == FW_RL_UP_RUN || c->kind == FW_RL_UP_HANDOVER) {
        g_string_append_printf(out, " left=%d",
                               (int)(c->timeout_us / FW_MSEC));
    }
    if (c->kind == FW_RL_UP_SET_STAGE) {
        g_string_append_printf(out, " to=%d fence=%d expected=%d",
                               (int)c->stage, (int)c->fence,
                               (int)c->expected_orders);
    }
    g_string_append_c(out, '\n');
}

/* The delay before a retry that a refusal suggests to the caller. */
static const char *
retry_delay(int64_t retry_us)
{
    if (retry_us <= 0) {
        return "";
    }
    return retry_us <= 50 * FW_MSEC ? " at-once" : " later";
}

static void
print_act(struct relay_script_run *run, const struct fw_rl_action *a)
{
    GString *out = run->out;

    switch (a->kind) {
    case FW_RL_DO_REJECT:
        g_string_append_printf(
            out, "  refuse %d %d %s ran=%s%s%s\n", (int)a->u.rejection.call,
            a->u.rejection.status, a->u.rejection.reason,
            Fw_Ran_Name(a->u.rejection.ran),
            retry_delay(a->u.rejection.retry_us),
            a->u.rejection.refuses_handover ? " elsewhere" : "");
        break;
    case FW_RL_DO_FORWARD:
        g_string_append_printf(out, "  pass %d from %d\n",
                               (int)a->u.forward.call, (int)a->u.forward.xid);
        break;
    case FW_RL_DO_FINISH:
        g_string_append_printf(out, "  finish %d\n", (int)a->u.call);
        break;
    case FW_RL_DO_ABORT:
        g_string_append_printf(out, "  cut %d\n", (int)a->u.call);
        break;
    case FW_RL_DO_CALL:
        print_upstream_call(out, &a->u.upstream_call);
        break;
    case FW_RL_DO_CANCEL_CALL:
        g_string_append_printf(out, "  stop %d\n", (int)a->u.xid);
        break;
    case FW_RL_DO_CLAIM_ROLE:
        g_string_append_printf(out, "  claim at %d\n", (int)a->u.claim_offset);
        run->claim_sent_us = run->now_us;
        break;
    case FW_RL_DO_CLOSE_IDLE:
        g_string_append_printf(out, "  forget %s\n", a->u.addr);
        break;
    case FW_RL_DO_LOG:
        if (run->print_logs) {
            g_string_append_printf(out, "  %d %s %s\n", a->u.log.severity,
                                   a->u.log.event, a->u.log.text);
        }
        break;
    }
}

/* Sets the parts of the prompt, numbers from "parts=1,2". */
static void
set_parts(struct relay_script_run *run, struct fw_rl_request_info *info)
{
    const char *text = Fw_RelayScript_GetString(run, "parts");
    char **parts = g_strsplit(text ? text : "", ",", -1);

    for (char **p = parts; *p; p++) {
        info->parts[info->n_parts++] = g_ascii_strtoull(*p, NULL, 10);
    }
    g_strfreev(parts);
}

static void
do_open(struct relay_script_run *run)
{
    struct fw_rl_request_info info = {
        .tokens_in = Fw_RelayScript_GetNumber(run, "in", -1),
        .tokens_out_max = Fw_RelayScript_GetNumber(run, "out", -1),
        .tokens_out_hint = -1,
        .last_event_id = -1};
    const char *key = Fw_RelayScript_GetString(run, "key");
    const char *id = Fw_RelayScript_GetString(run, "id");

    info.host = "h";
    info.path = run->word[2];
    info.key = key ? key : "";
    info.id = id ? id : run->word[1];
    info.timeout_us = Fw_RelayScript_GetNumber(run, "left_ms", 0) * FW_MSEC;
    info.fingerprint = (uint64_t)Fw_RelayScript_GetNumber(run, "digest", 0);
    info.is_handed_over = Fw_RelayScript_HasWord(run, "handed-over");
    set_parts(run, &info);
    Fw_Relay_Open(run->r, Fw_RelayScript_GetArg(run, 1), &info, run->now_us,
                  &run->acts);
}

static void
do_served(struct relay_script_run *run)
{
    struct fw_rl_request_info info = {.tokens_in = -1,
                                      .tokens_out_max = -1,
                                      .tokens_out_hint = -1,
                                      .last_event_id = -1,
                                      .host = "h",
                                      .path = run->word[2],
                                      .key = "ka"};
    struct fw_rl_upstream_response ans = {
        .status = 200, .limit_milli = FW_NO_LIMIT, .orders = -1};
    int64_t end_us =
        run->now_us + (int64_t)Fw_RelayScript_GetArg(run, 3) * FW_MSEC;
    uint64_t first = run->r->last_xid + 1;
    uint64_t n = Fw_RelayScript_GetArg(run, 1);

    for (uint64_t i = 0; i < n; i++) {
        g_autofree char *id = g_strdup_printf("served-%d", (int)i);

        info.id = id;
        Fw_Relay_Open(run->r, FW_SERVED_CALLS + i, &info, run->now_us,
                      &run->acts);
    }
    ck_assert_uint_eq(run->r->last_xid, first + n - 1);
    for (uint64_t xid = first; xid < first + n; xid++) {
        Fw_Relay_ResponseHead(run->r, xid, &ans, end_us, &run->acts);
        Fw_Relay_ResponseBegan(run->r, xid, &ans, end_us, &run->acts);
        Fw_Relay_ResponseEnded(run->r, xid, &ans, end_us, &run->acts);
    }
    g_array_set_size(run->acts.all, 0);
}

static struct fw_rl_upstream_response
answer_of(const struct relay_script_run *run)
{
    struct fw_rl_upstream_response ans = {
        .status = (int)Fw_RelayScript_GetArg(run, 2),
        .limit_milli =
            Fw_RelayScript_GetNumber(run, "limit_milli", FW_NO_LIMIT),
        .invalid_limit = Fw_RelayScript_HasWord(run, "bad-limit"),
        .rest_us = Fw_RelayScript_GetNumber(run, "rest_ms", 0) * FW_MSEC,
        .invalid_rest = Fw_RelayScript_HasWord(run, "bad-rest"),
        .leaving = Fw_RelayScript_HasWord(run, "leaving"),
        .invalid_leaving = Fw_RelayScript_HasWord(run, "bad-leaving"),
        .orders = Fw_RelayScript_GetNumber(run, "orders", -1)};
    const char *name = Fw_RelayScript_GetString(run, "name");
    const char *stage = Fw_RelayScript_GetString(run, "stage");

    g_strlcpy(ans.handle, name ? name : "", sizeof(ans.handle));
    ans.wrong_server = Fw_RelayScript_HasWord(run, "moved");
    ans.handover_refused = Fw_RelayScript_HasWord(run, "handover-refused");
    ans.not_run = ans.wrong_server || Fw_RelayScript_HasWord(run, "not-run");
    ans.changing_stage = Fw_RelayScript_HasWord(run, "busy");
    ans.stage = g_strcmp0(stage, "prefill") == 0 ? FW_RL_STAGE_PREFILL
                                                 : FW_RL_STAGE_DECODE;
    return ans;
}

static void
do_load(struct relay_script_run *run)
{
    struct fw_rl_server *s = Fw_Servers_Find(run->r, run->word[1]);

    ck_assert_ptr_nonnull(s);
    g_string_append_printf(run->out, "  running=%d reserved=%d reading=%d\n",
                           s->running, (int)s->kv_tokens,
                           (int)s->prefill_tokens);
}

static void
do_at(struct relay_script_run *run)
{
    run->now_us = (int64_t)Fw_RelayScript_GetArg(run, 1) * FW_MSEC + FW_SEC;
}

static void
do_fresh(struct relay_script_run *run)
{
    Fw_Relay_SetFreshAsOf(
        run->r, (int64_t)Fw_RelayScript_GetArg(run, 1) * FW_MSEC + FW_SEC);
}

static void
do_unusable(struct relay_script_run *run)
{
    Fw_Relay_SetRules(run->r, NULL, Fw_RelayScript_GetArg(run, 1), run->now_us,
                      &run->acts);
}

static void
do_unlisted(struct relay_script_run *run)
{
    Fw_Relay_UpdateServer(run->r, run->word[1], NULL, run->now_us, &run->acts);
}

static void
do_evacuate(struct relay_script_run *run)
{
    Fw_Relay_SetEvacuation(run->r, run->word[1], 1,
                           Fw_RelayScript_GetArg(run, 2), run->now_us,
                           &run->acts);
}

static void
do_evacuation_ended(struct relay_script_run *run)
{
    Fw_Relay_SetEvacuation(run->r, run->word[1], 0,
                           Fw_RelayScript_GetArg(run, 2), run->now_us,
                           &run->acts);
}

static void
do_evacuations(struct relay_script_run *run)
{
    Fw_Relay_BeginEvacuationList(run->r);
    for (int i = 2; i < run->n; i++) {
        char **pair = g_strsplit(run->word[i], "=", 2);

        Fw_Relay_SetEvacuation(run->r, pair[0], 1,
                               g_ascii_strtoull(pair[1], NULL, 10),
                               run->now_us, &run->acts);
        g_strfreev(pair);
    }
    Fw_Relay_EndEvacuationList(run->r, Fw_RelayScript_GetArg(run, 1),
                               run->now_us, &run->acts);
}

/* Replaces the relay by one that starts now. */
static void
do_started(struct relay_script_run *run)
{
    Fw_Relay_Free(run->r);
    run->r = Fw_Relay_New(&run->opts, run->now_us);
}

static void
do_registered(struct relay_script_run *run)
{
    Fw_Relay_EndMemberList(run->r, run->now_us);
}

static void
do_store_lost(struct relay_script_run *run)
{
    Fw_Relay_StoreUnreachable(run->r, run->now_us);
}

static void
do_store_back(struct relay_script_run *run)
{
    Fw_Relay_StoreRecovered(run->r, run->now_us);
}

static void
do_list(struct relay_script_run *run)
{
    Fw_Relay_EndServerList(run->r, run->now_us, &run->acts);
}

static void
do_gone(struct relay_script_run *run)
{
    Fw_Relay_CallerLeft(run->r, Fw_RelayScript_GetArg(run, 1), run->now_us,
                        &run->acts);
}

static void
do_begun(struct relay_script_run *run)
{
    struct fw_rl_upstream_response ans = answer_of(run);

    Fw_Relay_ResponseHead(run->r, Fw_RelayScript_GetArg(run, 1), &ans,
                          run->now_us, &run->acts);
    Fw_Relay_ResponseBegan(run->r, Fw_RelayScript_GetArg(run, 1), &ans,
                           run->now_us, &run->acts);
}

static void
do_answer(struct relay_script_run *run)
{
    struct fw_rl_upstream_response ans = answer_of(run);

    Fw_Relay_ResponseHead(run->r, Fw_RelayScript_GetArg(run, 1), &ans,
                          run->now_us, &run->acts);
    Fw_Relay_ResponseEnded(run->r, Fw_RelayScript_GetArg(run, 1), &ans,
                           run->now_us, &run->acts);
}

static void
do_fail(struct relay_script_run *run)
{
    Fw_Relay_UpstreamFailed(run->r, Fw_RelayScript_GetArg(run, 1),
                            -(int)Fw_RelayScript_GetArg(run, 2),
                            Fw_RelayScript_HasWord(run, "sent"), run->now_us,
                            &run->acts);
}

static void
do_tick(struct relay_script_run *run)
{
    Fw_Relay_Tick(run->r, run->now_us, &run->acts);
}

static void
do_drain(struct relay_script_run *run)
{
    Fw_Relay_Drain(run->r, run->now_us, &run->acts);
}

static void
do_ready(struct relay_script_run *run)
{
    g_string_append_printf(run->out, "  ready=%d\n",
                           Fw_Relay_IsReady(run->r, run->now_us));
}

static void
do_logs(struct relay_script_run *run)
{
    run->print_logs = 1;
}

static const struct {
    const char *name;
    void (*handle)(struct relay_script_run *);
} commands[] = {
    {"at", do_at},
    {"options", Fw_RelayScript_DoOptions},
    {"rules", Fw_RelayScript_DoRules},
    {"fresh", do_fresh},
    {"unusable", do_unusable},
    {"server", Fw_RelayScript_DoServer},
    {"unlisted", do_unlisted},
    {"evacuate", do_evacuate},
    {"evacuation-ended", do_evacuation_ended},
    {"evacuations", do_evacuations},
    {"started", do_started},
    {"registered", do_registered},
    {"store-lost", do_store_lost},
    {"store-back", do_store_back},
    {"list", do_list},
    {"member", Fw_RelayScript_DoMember},
    {"limit", Fw_RelayScript_DoLimit},
    {"demand", Fw_RelayScript_DoDemand},
    {"spent", Fw_RelayScript_DoSpent},
    {"lead", Fw_RelayScript_DoLead},
    {"open", do_open},
    {"served", do_served},
    {"gone", do_gone},
    {"begun", do_begun},
    {"answer", do_answer},
    {"fail", do_fail},
    {"tick", do_tick},
    {"drain", do_drain},
    {"ready", do_ready},
    {"load", do_load},
    {"logs", do_logs},
};

static void
run_command(struct relay_script_run *run, const char *line)
{
    for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
        if (strcmp(commands[i].name, run->word[0]) == 0) {
            commands[i].handle(run);
            return;
        }
    }
    ck_abort_msg("no such command: %s", line);
}

static void
run_line(struct relay_script_run *run, const char *line)
{
    char **words = g_strsplit(line, " ", FW_WORDS_MAX);

    run->n = 0;
    for (char **w = words; *w; w++) {
        if ((*w)[0]) {
            run->word[run->n++] = *w;
        }
    }
    if (run->n) {
        g_string_append_printf(run->out, "%s\n", line);
        run_command(run, line);
    }
    for (guint i = 0; i < run->acts.all->len; i++) {
        print_act(run, &g_array_index(run->acts.all, struct fw_rl_action, i));
    }
    g_array_set_size(run->acts.all, 0);
    g_strfreev(words);
}

void
Fw_RelayScript_Check(const struct fw_relay_script *s)
{
    struct relay_script_run run = {.now_us = FW_SEC,
                                   .out = g_string_new(NULL)};
    char **lines = g_strsplit(s->text, "\n", 0);

    run.opts = (struct fw_relay_opts){.name = "n1",
                                      .domain = "d",
                                      .boot = 1,
                                      .seed = 7,
                                      .retry_ratio_ppm = 200000,
                                      .retry_extra = 100,
                                      .retry_window_us = 10 * FW_SEC,
                                      .key_stale_us = 4 * FW_SEC,
                                      .queue_limit_us = 500 * FW_MSEC,
                                      .reserve_permille = 1000,
                                      .local_prefill_us = 600 * FW_MSEC,
                                      .prefill_permille = 50,
                                      .cold_overage_ppm = 1000000,
                                      .lease_us = 3 * FW_SEC,
                                      .grace_us = 8 * FW_SEC,
                                      .log_level = LOG_DEBUG};
    run.opts.regions.n = 2;
    run.opts.regions.domain[0] = Fw_Hash_Str("x");
    run.opts.regions.region[0] = Fw_Hash_Str("east");
    run.opts.regions.domain[1] = Fw_Hash_Str("y");
    run.opts.regions.region[1] = Fw_Hash_Str("west");
    run.r = Fw_Relay_New(&run.opts, run.now_us - FW_PROCESS_AGE_US);
    Fw_RelayActions_Init(&run.acts);
    for (char **l = lines; *l; l++) {
        if (!g_str_has_prefix(*l, "  ")) {
            run_line(&run, *l);
        }
    }
    ck_assert_msg(strcmp(run.out->str, s->text) == 0,
                  "%s\n--- wanted\n%s--- got\n%s", s->name, s->text,
                  run.out->str);
    Fw_RelayActions_Clear(&run.acts);
    Fw_Relay_Free(run.r);
    g_string_free(run.out, TRUE);
    g_strfreev(lines);
}
