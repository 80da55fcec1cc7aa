#include "tests/fleet/fleet_script.h"

#include <check.h>
#include <errno.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "explore/p_limit.h"

#define WORDS_MAX 4
#define TRACE_PRINTED_MAX 1500
#define LEASE_US (20 * FW_SEC)
#define RESULT_TIMEOUT_US (5 * FW_SEC)

struct script_run {
    struct fw_run run;
    struct fw_fleet_env env;
    struct fw_limit_check checker;
    GString *out;
    const char *words[WORDS_MAX];
    int n_words;
};

static int
int_arg(const struct script_run *s, int i)
{
    ck_assert_msg(i < s->n_words, "%s: missing argument", s->words[0]);
    return (int)strtol(s->words[i], NULL, 10);
}

static int
instance_arg(const struct script_run *s, int i)
{
    int k = int_arg(s, i) - 1;

    ck_assert_int_ge(k, 0);
    ck_assert_int_lt(k, s->env.n);
    return k;
}

static int
team_arg(const struct script_run *s, int i)
{
    return strcmp(s->words[i], s->checker.accounts[0].team.name) == 0 ? 0 : 1;
}

static void
print_view(struct script_run *s)
{
    static const char *const names[] = {"alive", "suspect", "leaving", "dead"};
    int i = instance_arg(s, 1);

    g_string_append_printf(s->out, "n%d:", i + 1);
    for (int j = 0; j < s->env.n; j++) {
        const struct fw_self *self = &s->env.instances[j].self;
        const struct fw_member *m =
            Fw_Fleet_Find(s->env.instances[i].fleet, self->name);
        g_string_append_printf(s->out, " %s %s", self->name,
                               m ? names[m->state] : "unknown");
        if (m && m->state != FW_MEMBER_DEAD && m->boot != self->boot) {
            g_string_append(s->out, " (old)");
        }
    }
    g_string_append_c(s->out, '\n');
}

static void
print_role(struct script_run *s)
{
    g_string_append(s->out, "role:");
    for (int i = 0; i < s->env.n; i++) {
        int rc;
        if (!Fw_FleetEnv_IsRunning(&s->env, i)) {
            continue;
        }
        rc = Fw_Roles_MayAct(s->env.instances[i].roles, FW_ROLE_BUDGET, 0,
                             Fw_FleetEnv_LocalTime(&s->env, i), NULL);
        if (rc == 0 || rc == -EAGAIN || rc == -ESTALE) {
            g_string_append_printf(s->out, " n%d %s", i + 1,
                                   rc == 0         ? "acts"
                                   : rc == -EAGAIN ? "waits"
                                                   : "is stale");
        }
    }
    g_string_append_c(s->out, '\n');
}

static void
request_tokens(struct script_run *s)
{
    struct fw_account *a = &s->checker.accounts[team_arg(s, 2)];
    int granted = a->granted;
    int refused = a->refused;
    int64_t started_us = s->env.real_us;

    Fw_LimitCheck_Request(&s->checker, &s->env, instance_arg(s, 1),
                          team_arg(s, 2), int_arg(s, 3));
    while (a->granted == granted && a->refused == refused &&
           s->env.real_us < started_us + RESULT_TIMEOUT_US) {
        Fw_FleetEnv_Advance(&s->env, FW_MSEC);
    }
    g_string_append_printf(s->out, "%s %s %s", s->words[1], s->words[2],
                           s->words[3]);
    if (a->granted > granted) {
        g_string_append(s->out, " granted\n");
    }
    else if (a->refused > refused) {
        g_string_append_printf(s->out, " refused, retry after %.1f s\n",
                               (double)s->checker.retry_us / FW_SEC);
    }
    else {
        g_string_append(s->out, " unanswered\n");
    }
}

static void
change_rate(struct script_run *s)
{
    struct fw_team *t = &s->checker.accounts[team_arg(s, 1)].team;
    struct fw_config *cfg = (struct fw_config *)s->env.cfg;

    t->rate = int_arg(s, 2);
    t->burst = int_arg(s, 3);
    t->version++;
    cfg->next_offset++;
}

static int
run_instance_command(struct script_run *s)
{
    const char *c = s->words[0];

    if (strcmp(c, "start") == 0) {
        Fw_FleetEnv_Start(&s->env, instance_arg(s, 1));
    }
    else if (strcmp(c, "kill") == 0) {
        Fw_FleetEnv_Kill(&s->env, instance_arg(s, 1));
    }
    else if (strcmp(c, "drain") == 0) {
        Fw_FleetEnv_Drain(&s->env, instance_arg(s, 1));
    }
    else if (strcmp(c, "pause") == 0) {
        Fw_FleetEnv_Pause(&s->env, instance_arg(s, 1),
                          int_arg(s, 2) * FW_MSEC);
    }
    else if (strcmp(c, "cut") == 0 || strcmp(c, "join") == 0) {
        Fw_FleetEnv_SetLinkDown(&s->env, instance_arg(s, 1),
                                instance_arg(s, 2), c[0] == 'c');
    }
    else {
        return 0;
    }
    return 1;
}

static int
run_environment_command(struct script_run *s)
{
    const char *c = s->words[0];

    if (strcmp(c, "log") == 0) {
        s->env.log_down = strcmp(s->words[1], "down") == 0;
    }
    else if (strcmp(c, "lose") == 0) {
        s->env.loss_pct = int_arg(s, 1);
    }
    else if (strcmp(c, "double") == 0) {
        s->env.duplicate_pct = int_arg(s, 1);
    }
    else if (strcmp(c, "record") == 0) {
        g_ptr_array_add(s->env.records, g_strdup(s->words[1]));
    }
    else if (strcmp(c, "run") == 0) {
        Fw_FleetEnv_Advance(&s->env, int_arg(s, 1) * FW_MSEC);
    }
    else {
        return 0;
    }
    return 1;
}

static void
run_line(struct script_run *s, char *line)
{
    char *save = NULL;
    const char *c;

    s->n_words = 0;
    for (char *w = strtok_r(line, " ", &save); w && s->n_words < WORDS_MAX;
         w = strtok_r(NULL, " ", &save)) {
        s->words[s->n_words++] = w;
    }
    if (s->n_words == 0 || run_instance_command(s) ||
        run_environment_command(s)) {
        return;
    }
    c = s->words[0];
    if (strcmp(c, "view") == 0) {
        print_view(s);
    }
    else if (strcmp(c, "role") == 0) {
        print_role(s);
    }
    else if (strcmp(c, "ask") == 0) {
        request_tokens(s);
    }
    else if (strcmp(c, "refund") == 0) {
        Fw_LimitCheck_RefundTokens(&s->checker, &s->env, instance_arg(s, 1),
                                   team_arg(s, 2), int_arg(s, 3));
    }
    else if (strcmp(c, "rate") == 0) {
        change_rate(s);
    }
    else {
        ck_abort_msg("unknown command %s", c);
    }
}

void
Fw_FleetScript_Check(const struct fleet_script *p)
{
    struct script_run s = {
        .run = {.rand = g_rand_new_with_seed(7), .trace = g_string_new(NULL)},
        .out = g_string_new(NULL),
    };
    char *script = g_strdup(p->script);
    char *save = NULL;

    Fw_FleetEnv_Init(&s.env, &s.run, p->n_instances);
    Fw_LimitCheck_Init(&s.checker, &s.env, LEASE_US);
    s.checker.fail_on_overspend = 1;
    for (char *line = strtok_r(script, "\n", &save); line;
         line = strtok_r(NULL, "\n", &save)) {
        run_line(&s, line);
    }
    ck_assert_msg(strcmp(s.out->str, p->expected) == 0,
                  "%s\n-- seen:\n%s-- expected:\n%s-- trace:\n%s", p->name,
                  s.out->str, p->expected,
                  s.run.trace->str +
                      (s.run.trace->len > TRACE_PRINTED_MAX
                           ? s.run.trace->len - TRACE_PRINTED_MAX
                           : 0));
    ck_assert_msg(!s.run.failure[0], "%s: %s", p->name, s.run.failure);
    Fw_LimitCheck_Clear(&s.checker, &s.env);
    g_free(script);
    g_string_free(s.out, TRUE);
    g_string_free(s.run.trace, TRUE);
    g_rand_free(s.run.rand);
}
