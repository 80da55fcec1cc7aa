#include "script.h"

#include <check.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "fixture.h"

#define FW_ARGS_MAX 7

struct command {
    int n_args;
    const char *args[FW_ARGS_MAX];
};

static int
int_arg(const struct command *c, int i)
{
    ck_assert_msg(i < c->n_args, "%s lacks an argument", c->args[0]);
    return (int)strtol(c->args[i], NULL, 10);
}

static const char *
id_arg(const char *w)
{
    return strcmp(w, "-") == 0 ? "" : w;
}

static enum fw_up_kind
kind_arg(const char *w)
{
    static const struct {
        const char *word;
        enum fw_up_kind kind;
    } kinds[] = {
        {"prefill", FW_UP_PREFILL}, {"import", FW_UP_IMPORT},
        {"decode", FW_UP_DECODE},   {"resume", FW_UP_RESUME},
        {"service", FW_UP_SERVICE},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
        if (strcmp(kinds[i].word, w) == 0) {
            return kinds[i].kind;
        }
    }
    ck_abort_msg("unknown kind %s", w);
    return FW_UP_PREFILL;
}

static enum fw_ran
ran_arg(const char *w)
{
    for (int r = FW_RAN_NO; r <= FW_RAN_YES; r++) {
        if (strcmp(Fw_Ran_Name((enum fw_ran)r), w) == 0) {
            return (enum fw_ran)r;
        }
    }
    ck_abort_msg("unknown verdict %s", w);
    return FW_RAN_NO;
}

static int
err_arg(const char *w)
{
    static const struct {
        const char *word;
        int err;
    } errs[] = {
        {"reset", -ECONNRESET},
        {"refused", -ECONNREFUSED},
        {"timeout", -ETIMEDOUT},
        {"garbage", -EBADMSG},
        {"-", 0},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(errs); i++) {
        if (strcmp(errs[i].word, w) == 0) {
            return errs[i].err;
        }
    }
    ck_abort_msg("unknown error %s", w);
    return 0;
}

static void
withdraw(struct harness *h, const char *key)
{
    char digest[FW_DIGEST_HEX_SIZE] = "";
    char *item;

    ck_assert_str_ne(key, "");
    Fw_Hash_KeyDigest(key, digest);
    item = g_strdup_printf("{\"kind\":\"key\",\"name\":\"%s\",\"was\":1,"
                           "\"value\":{\"team\":\"%c\",\"withdrawn\":true}}",
                           digest, key[strlen(key) - 1]);
    Fw_Harness_Configure(h, item);
    g_free(item);
}

static int
caller_command(struct harness *h, const struct command *c)
{
    if (strcmp(c->args[0], "post") == 0) {
        Fw_Harness_PostWithKey(h, int_arg(c, 1), (uint64_t)int_arg(c, 2),
                               c->n_args > 6 ? c->args[6] : "key-a",
                               id_arg(c->args[3]), c->args[4], int_arg(c, 5));
    }
    else if (strcmp(c->args[0], "order") == 0) {
        Fw_Harness_CallService(h, int_arg(c, 1), (uint64_t)int_arg(c, 2),
                               "POST", "/orders", id_arg(c->args[3]),
                               c->args[4]);
    }
    else if (strcmp(c->args[0], "get") == 0) {
        Fw_Harness_CallService(h, int_arg(c, 1), (uint64_t)int_arg(c, 2),
                               "GET", "/readings", "", "");
    }
    else if (strcmp(c->args[0], "close") == 0) {
        Fw_Harness_Close(h, int_arg(c, 1), (uint64_t)int_arg(c, 2));
    }
    else {
        return 0;
    }
    return 1;
}

static int
upstream_command(struct harness *h, const struct command *c)
{
    struct harness_call *call;

    if (strcmp(c->args[0], "done") != 0 && strcmp(c->args[0], "piece") != 0 &&
        strcmp(c->args[0], "fail") != 0) {
        return 0;
    }
    call = Fw_Harness_FindCall(h, kind_arg(c->args[1]));
    if (c->args[0][0] == 'd') {
        Fw_Harness_CompleteCall(h, call, c->n_args > 2 ? int_arg(c, 2) : 0);
    }
    else if (c->args[0][0] == 'p') {
        Fw_Harness_SendPiece(h, call, int_arg(c, 2), c->args[3]);
    }
    else {
        Fw_Harness_FailCall(h, call, ran_arg(c->args[2]), int_arg(c, 3),
                            err_arg(c->args[4]));
    }
    return 1;
}

static void
environment_command(struct harness *h, const struct command *c)
{
    if (strcmp(c->args[0], "run") == 0) {
        Fw_Harness_Run(h, int_arg(c, 1) * FW_MSEC);
    }
    else if (strcmp(c->args[0], "withdraw") == 0) {
        withdraw(h, c->args[1]);
    }
    else if (strcmp(c->args[0], "drain") == 0) {
        Fw_Harness_Drain(h, int_arg(c, 1));
    }
    else if (strcmp(c->args[0], "kill") == 0) {
        Fw_Harness_Kill(h, int_arg(c, 1));
    }
    else if (strcmp(c->args[0], "cut") == 0) {
        h->partitioned[int_arg(c, 1)] = 1;
    }
    else if (strcmp(c->args[0], "heal") == 0) {
        h->partitioned[int_arg(c, 1)] = 0;
    }
    else if (strcmp(c->args[0], "log") == 0) {
        h->log_down = strcmp(c->args[1], "down") == 0;
    }
    else if (strcmp(c->args[0], "attached") == 0) {
        h->held_attached = 1;
    }
    else if (strcmp(c->args[0], "held") == 0) {
        g_ptr_array_set_size(h->held_ids, 0);
        if (strcmp(c->args[1], "-") != 0) {
            g_ptr_array_add(h->held_ids, g_strdup(c->args[1]));
        }
    }
    else {
        ck_abort_msg("unknown command %s", c->args[0]);
    }
}

static void
run_line(struct harness *h, char *line)
{
    struct command c = {.args = {"", "", "", "", "", "", ""}};
    char *save = NULL;

    for (char *w = strtok_r(line, " ", &save); w && c.n_args < FW_ARGS_MAX;
         w = strtok_r(NULL, " ", &save)) {
        c.args[c.n_args++] = w;
    }
    if (c.n_args > 0 && !caller_command(h, &c) && !upstream_command(h, &c)) {
        environment_command(h, &c);
    }
}

void
Fw_Script_Check(const struct script *s)
{
    struct harness *h = Fw_Fixture_New(s->nodes);
    char **lines = g_strsplit(s->lines, "\n", -1);

    for (int i = 0; lines[i]; i++) {
        run_line(h, lines[i]);
    }
    g_strfreev(lines);
    ck_assert_msg(g_pattern_match_simple(s->expect, h->transcript->str),
                  "%s\n-- transcript:\n%s-- expected:\n%s", s->name,
                  h->transcript->str, s->expect);
    Fw_Harness_Free(h);
}
