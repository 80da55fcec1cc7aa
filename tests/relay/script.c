/*
 * Commands:
 *   at MS                       the time from now on
 *   options KEY=N ...           queue_ms, stale_ms, reserve, prefill, extra,
 *                               here_ms, lease_ms
 *   rules VERSION [KEY=N ...]   a configuration (see make_rules); rate, burst,
 *                               keys, attempts, timeout_ms, kv, slots
 *   fresh MS                    the store was read as of then
 *   server ID SERVICE STAGE [draining] [born=N]
 *   unlisted ID                 its entry vanished
 *   store-back                  the store answers again
 *   list                        the list was read whole
 *   open N PATH [key=K] [in=N] [out=N] [digest=N] [left_ms=N] [id=S]
 *   gone N                      the caller left
 *   begun X STATUS              a response began
 *   answer X STATUS [name=S] [not-run] [moved] [busy] [orders=N] [stage=S]
 *   fail X ERRNO sent|unsent
 *   lead made|taken|unknown OFFSET
 *   member NAME                 another instance, heard now
 *   spent NAME TEAM N [level=N]  it has spent so many tokens in all, and has
 *                               that level of them
 *   tick                        time passes
 *   drain                       SIGTERM
 *   ready                       prints whether it is
 *   load ID                     prints running, reserved, reading
 *   logs                        prints log lines from now on: severity, event
 *                               and members
 */
#include "tests/relay/script.h"

#include <check.h>
#include <string.h>

#include "tests/relay/play.h"

static const char *const kind_names[] = {
    "run", "prefill", "hold", "drop-hold", "drop-kv", "report", "stage"};

static void
print_ask(GString *out, const struct fw_rl_up_call *c)
{
    g_string_append_printf(out, "  ask %d %s %s", (int)c->xid,
                           kind_names[c->kind], c->server);
    if (c->call) {
        g_string_append_printf(out, " for %d", (int)c->call);
    }
    if (c->kind == FW_RL_UP_HOLD) {
        g_string_append_printf(out, " tokens=%d", (int)c->tokens);
    }
    if (c->hold[0]) {
        g_string_append_printf(out, " hold=%s", c->hold);
    }
    if (c->kv[0]) {
        g_string_append_printf(out, " kv=%s", c->kv);
    }
    if (c->team[0]) {
        g_string_append_printf(out, " team=%s", c->team);
    }
    if (c->kind == FW_RL_UP_RUN) {
        g_string_append_printf(out, " left=%d", (int)(c->left_us / FW_MSEC));
    }
    if (c->kind == FW_RL_UP_STAGE) {
        g_string_append_printf(out, " to=%d fence=%d expected=%d",
                               (int)c->stage, (int)c->fence, (int)c->expected);
    }
    g_string_append_c(out, '\n');
}

/* When the caller is told to come back. */
static const char *
when(int64_t retry_us)
{
    if (retry_us <= 0) {
        return "";
    }
    return retry_us <= 50 * FW_MSEC ? " at-once" : " later";
}

static void
print_act(struct play *p, const struct fw_rl_act *a)
{
    GString *out = p->out;

    switch (a->kind) {
    case FW_RL_DO_REFUSE:
        g_string_append_printf(
            out, "  refuse %d %d %s ran=%s%s\n", (int)a->u.refuse.call,
            a->u.refuse.status, a->u.refuse.reason,
            Fw_Ran_Name(a->u.refuse.ran), when(a->u.refuse.retry_us));
        break;
    case FW_RL_DO_PASS:
        g_string_append_printf(out, "  pass %d from %d\n", (int)a->u.pass.call,
                               (int)a->u.pass.xid);
        break;
    case FW_RL_DO_FINISH:
        g_string_append_printf(out, "  finish %d\n", (int)a->u.call);
        break;
    case FW_RL_DO_CUT:
        g_string_append_printf(out, "  cut %d\n", (int)a->u.call);
        break;
    case FW_RL_DO_ASK:
        print_ask(out, &a->u.ask);
        break;
    case FW_RL_DO_STOP_ASK:
        g_string_append_printf(out, "  stop %d\n", (int)a->u.xid);
        break;
    case FW_RL_DO_LEAD:
        g_string_append_printf(out, "  claim at %d\n", (int)a->u.lead_end);
        p->lead_sent_us = p->now_us;
        break;
    case FW_RL_DO_FORGET:
        g_string_append_printf(out, "  forget %s\n", a->u.addr);
        break;
    case FW_RL_DO_LOG:
        if (p->logs) {
            g_string_append_printf(out, "  %d %s %s\n", a->u.log.severity,
                                   a->u.log.event, a->u.log.text);
        }
        break;
    }
}

static void
do_open(struct play *p)
{
    struct fw_rl_ask ask = {.tokens_in = Fw_Play_Number(p, "in", -1),
                            .tokens_out = Fw_Play_Number(p, "out", -1),
                            .hint_out = -1,
                            .last_event = -1};
    const char *key = Fw_Play_Text(p, "key");
    const char *id = Fw_Play_Text(p, "id");

    g_strlcpy(ask.host, "h", sizeof(ask.host));
    g_strlcpy(ask.path, p->word[2], sizeof(ask.path));
    g_strlcpy(ask.key, key ? key : "", sizeof(ask.key));
    g_strlcpy(ask.id, id ? id : p->word[1], sizeof(ask.id));
    ask.left_us = Fw_Play_Number(p, "left_ms", 0) * FW_MSEC;
    ask.digest = (uint64_t)Fw_Play_Number(p, "digest", 0);
    Fw_Relay_Open(p->r, Fw_Play_Arg(p, 1), &ask, p->now_us, &p->acts);
}

static struct fw_rl_up_answer
answer_of(const struct play *p)
{
    struct fw_rl_up_answer ans = {.status = (int)Fw_Play_Arg(p, 2),
                                  .orders = Fw_Play_Number(p, "orders", -1)};
    const char *name = Fw_Play_Text(p, "name");
    const char *stage = Fw_Play_Text(p, "stage");

    g_strlcpy(ans.name, name ? name : "", sizeof(ans.name));
    ans.moved = Fw_Play_Has(p, "moved");
    ans.not_run = ans.moved || Fw_Play_Has(p, "not-run");
    ans.busy = Fw_Play_Has(p, "busy");
    ans.stage = g_strcmp0(stage, "prefill") == 0 ? FW_RL_STAGE_PREFILL
                                                 : FW_RL_STAGE_DECODE;
    return ans;
}
static void
do_load(struct play *p)
{
    struct fw_rl_server *s = Fw_Servers_Find(p->r, p->word[1]);

    ck_assert_ptr_nonnull(s);
    g_string_append_printf(p->out, "  running=%d reserved=%d reading=%d\n",
                           s->running, (int)s->reserved, (int)s->reading);
}

static void
do_at(struct play *p)
{
    p->now_us = (int64_t)Fw_Play_Arg(p, 1) * FW_MSEC + FW_SEC;
}

static void
do_fresh(struct play *p)
{
    Fw_Relay_Fresh(p->r, (int64_t)Fw_Play_Arg(p, 1) * FW_MSEC + FW_SEC);
}

static void
do_unlisted(struct play *p)
{
    Fw_Relay_Server(p->r, p->word[1], NULL, p->now_us, &p->acts);
}

static void
do_store_back(struct play *p)
{
    Fw_Relay_StoreBack(p->r, p->now_us);
}

static void
do_list(struct play *p)
{
    Fw_Relay_ListEnd(p->r, p->now_us, &p->acts);
}

static void
do_gone(struct play *p)
{
    Fw_Relay_Gone(p->r, Fw_Play_Arg(p, 1), p->now_us, &p->acts);
}

static void
do_begun(struct play *p)
{
    struct fw_rl_up_answer ans = answer_of(p);

    Fw_Relay_Begun(p->r, Fw_Play_Arg(p, 1), &ans, p->now_us, &p->acts);
}

static void
do_answer(struct play *p)
{
    struct fw_rl_up_answer ans = answer_of(p);

    Fw_Relay_Answered(p->r, Fw_Play_Arg(p, 1), &ans, p->now_us, &p->acts);
}

static void
do_fail(struct play *p)
{
    Fw_Relay_Failed(p->r, Fw_Play_Arg(p, 1), -(int)Fw_Play_Arg(p, 2),
                    Fw_Play_Has(p, "sent"), p->now_us, &p->acts);
}

static void
do_tick(struct play *p)
{
    Fw_Relay_Tick(p->r, p->now_us, &p->acts);
}

static void
do_drain(struct play *p)
{
    Fw_Relay_Drain(p->r, p->now_us, &p->acts);
}

static void
do_ready(struct play *p)
{
    g_string_append_printf(p->out, "  ready=%d\n",
                           Fw_Relay_Ready(p->r, p->now_us));
}

static void
do_logs(struct play *p)
{
    p->logs = 1;
}

static const struct {
    const char *verb;
    void (*run)(struct play *);
} commands[] = {
    {"at", do_at},
    {"options", Fw_Play_Options},
    {"rules", Fw_Play_Rules},
    {"fresh", do_fresh},
    {"server", Fw_Play_Server},
    {"unlisted", do_unlisted},
    {"store-back", do_store_back},
    {"list", do_list},
    {"member", Fw_Play_Member},
    {"spent", Fw_Play_Spent},
    {"lead", Fw_Play_Lead},
    {"open", do_open},
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
run(struct play *p, const char *line)
{
    for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
        if (strcmp(commands[i].verb, p->word[0]) == 0) {
            commands[i].run(p);
            return;
        }
    }
    ck_abort_msg("no such command: %s", line);
}

static void
do_line(struct play *p, const char *line)
{
    char **words = g_strsplit(line, " ", FW_WORDS_MAX);

    p->n = 0;
    for (char **w = words; *w; w++) {
        if ((*w)[0]) {
            p->word[p->n++] = *w;
        }
    }
    if (p->n) {
        g_string_append_printf(p->out, "%s\n", line);
        run(p, line);
    }
    for (guint i = 0; i < p->acts.all->len; i++) {
        print_act(p, &g_array_index(p->acts.all, struct fw_rl_act, i));
    }
    g_array_set_size(p->acts.all, 0);
    g_strfreev(words);
}

void
Fw_RelayScript_Check(const struct fw_relay_script *s)
{
    struct play p = {.now_us = FW_SEC, .out = g_string_new(NULL)};
    char **lines = g_strsplit(s->text, "\n", 0);

    p.opts = (struct fw_relay_opts){.name = "n1",
                                    .domain = "d",
                                    .boot = 1,
                                    .seed = 7,
                                    .retry_ratio_ppm = 200000,
                                    .retry_extra = 100,
                                    .retry_window_us = 10 * FW_SEC,
                                    .key_stale_us = 4 * FW_SEC,
                                    .queue_us = 500 * FW_MSEC,
                                    .reserve_permille = 1000,
                                    .read_here_us = 600 * FW_MSEC,
                                    .prefill_permille = 50,
                                    .lease_us = 3 * FW_SEC,
                                    .grace_us = 8 * FW_SEC,
                                    .log_level = LOG_DEBUG};
    p.r = Fw_Relay_New(&p.opts, p.now_us);
    Fw_Acts_Init(&p.acts);
    for (char **l = lines; *l; l++) {
        if (!g_str_has_prefix(*l, "  ")) {
            do_line(&p, *l);
        }
    }
    ck_assert_msg(strcmp(p.out->str, s->text) == 0,
                  "%s\n--- wanted\n%s--- got\n%s", s->name, s->text,
                  p.out->str);
    Fw_Acts_Clear(&p.acts);
    Fw_Relay_Free(p.r);
    g_string_free(p.out, TRUE);
    g_strfreev(lines);
}
