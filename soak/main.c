/*
 * fwsoak: runs real instances of the router under faults from outside, and
 * checks the promises of the service meanwhile.
 */
#include <argp.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "http/conn.h"
#include "soak/soak.h"

#define FW_TICK_MS 10
/* Time before the load begins, and at the end of it in which all is served. */
#define FW_WARM_UP_MS 1500
#define FW_FINAL_MS 4000
/* Time after the load in which engines' memory must become free. */
#define FW_COOL_DOWN_MS 5000
#define FW_STOP_MS 7000

static const struct argp_option options[] = {
    {"seed", 's', "N", 0, "Seed of the faults and the load (1)", 0},
    {"seconds", 't', "N", 0, "Length of the load (40)", 0},
    {"relays", 'r', "N", 0, "Instances (5)", 0},
    {"program", 'p', "FILE", 0, "The daemon (build/fuchsiawardd)", 0},
    {"fault", 'f', "NAME", 0, "Planted fault, of a test build", 0},
    {"keep", 'k', NULL, 0, "Keep the logs of a run without violations", 0},
    {0},
};

/** struct arguments - command line arguments. */
struct arguments {
    struct soak *soak;
    int seconds;
    int keep;
};

static error_t
parse_opt(int key, char *arg, struct argp_state *state)
{
    struct arguments *args = state->input;

    switch (key) {
    case 's':
        args->soak->seed = (guint32)strtoul(arg, NULL, 10);
        return 0;
    case 't':
        args->seconds = atoi(arg);
        return 0;
    case 'r':
        args->soak->n_relays = CLAMP(atoi(arg), 1, FW_SOAK_RELAYS_MAX);
        return 0;
    case 'p':
        args->soak->program = arg;
        return 0;
    case 'f':
        args->soak->fault = arg;
        return 0;
    case 'k':
        args->keep = 1;
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp parser = {
    .options = options,
    .parser = parse_opt,
    .doc = "Runs instances of the router under faults drawn from a seed and "
           "checks the service's promises. Prints violations and keeps the "
           "logs of such a run; exits with status 1 then.",
};

int64_t
Fw_Soak_NowUs(void)
{
    return Fw_Conn_NowUs();
}

void
Fw_Soak_Log(struct soak *s, const char *fmt, ...)
{
    va_list args;

    g_string_append_printf(s->log, "%8.3f ",
                           (double)(Fw_Soak_NowUs() - s->start_us) / FW_SEC);
    va_start(args, fmt);
    g_string_append_vprintf(s->log, fmt, args);
    va_end(args);
    g_string_append_c(s->log, '\n');
}

static gboolean
on_tick(gpointer data)
{
    Fw_SoakCallers_Tick(data);
    return G_SOURCE_CONTINUE;
}

static gboolean
begin_load(gpointer data)
{
    ((struct soak *)data)->load_on = 1;
    return G_SOURCE_REMOVE;
}

static gboolean
begin_final(gpointer data)
{
    ((struct soak *)data)->is_final = 1;
    return G_SOURCE_REMOVE;
}

static gboolean
quit(gpointer data)
{
    g_main_loop_quit(((struct soak *)data)->loop);
    return G_SOURCE_REMOVE;
}

static gboolean
check_final(gpointer data)
{
    struct soak *s = data;

    Fw_SoakCheck_Final(s);
    for (int i = 0; i < s->n_relays; i++) {
        Fw_SoakRelay_Signal(&s->relays[i], SIGTERM);
    }
    g_timeout_add(FW_STOP_MS, quit, s);
    return G_SOURCE_REMOVE;
}

static gboolean
end_load(gpointer data)
{
    struct soak *s = data;

    s->load_on = 0;
    g_timeout_add(FW_COOL_DOWN_MS, check_final, s);
    return G_SOURCE_REMOVE;
}

static void
request_free(gpointer data)
{
    struct soak_request *q = data;

    g_string_free(q->body, TRUE);
    g_free(q);
}

static void
stop(struct soak *s)
{
    while (s->open->len) {
        struct soak_request *q = g_ptr_array_index(s->open, 0);

        Fw_Exchange_Abort(q->exchange);
        g_ptr_array_remove_index_fast(s->open, 0);
    }
    for (int i = 0; i < s->n_relays; i++) {
        if (s->relays[i].pid) {
            Fw_SoakCheck_Violation(s, "STOPS", "%s had to be killed",
                                   s->relays[i].name);
            kill(s->relays[i].pid, SIGKILL);
        }
    }
    Fw_ConnPool_Free(s->pool);
    Fw_SoakWorld_Stop(s);
    g_hash_table_destroy(s->requests);
    g_ptr_array_unref(s->open);
    g_ptr_array_unref(s->left);
}

static void
report(struct soak *s, int keep)
{
    char *path = g_strdup_printf("%s/soak.log", s->dir);

    Fw_SoakBudget_Report(s);
    g_file_set_contents(path, s->log->str, -1, NULL);
    if (s->n_violations) {
        char **lines = g_strsplit(s->log->str, "\n", 0);

        for (char **l = lines; *l; l++) {
            if (strstr(*l, "VIOLATION")) {
                printf("%s\n", *l);
            }
        }
        g_strfreev(lines);
    }
    printf("seed %u: %d requests, %d violations%s%s\n", s->seed, s->n_total,
           s->n_violations, s->n_violations || keep ? ", logs in " : "",
           s->n_violations || keep ? s->dir : "");
    if (!s->n_violations && !keep) {
        GDir *d = g_dir_open(s->dir, 0, NULL);
        const char *name;

        while (d && (name = g_dir_read_name(d))) {
            char *file = g_build_filename(s->dir, name, NULL);

            g_unlink(file);
            g_free(file);
        }
        g_dir_close(d);
        g_rmdir(s->dir);
    }
    g_free(path);
}

int
main(int argc, char **argv)
{
    struct soak *s = g_new0(struct soak, 1);
    struct arguments args = {.soak = s, .seconds = 40};
    guint ms;
    int failed;

    s->seed = 1;
    s->n_relays = 5;
    s->program = "build/fuchsiawardd";
    argp_parse(&parser, argc, argv, 0, NULL, &args);
    ms = (guint)args.seconds * 1000;
    signal(SIGPIPE, SIG_IGN);
    s->rand = g_rand_new_with_seed(s->seed);
    s->loop = g_main_loop_new(NULL, FALSE);
    s->log = g_string_new(NULL);
    s->dir = g_dir_make_tmp("fwsoak-XXXXXX", NULL);
    s->pool = Fw_ConnPool_New();
    s->requests =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, request_free);
    s->open = g_ptr_array_new();
    s->left = g_ptr_array_new();
    s->crowded_relay = FW_SOAK_NOBODY;
    s->start_us = Fw_Soak_NowUs();
    Fw_SoakWorld_Start(s);
    for (int i = 0; i < s->n_relays; i++) {
        Fw_SoakRelay_Start(s, i);
    }
    Fw_SoakPlan_Start(s, ms);
    g_timeout_add(FW_TICK_MS, on_tick, s);
    g_timeout_add(FW_WARM_UP_MS, begin_load, s);
    g_timeout_add(ms - FW_FINAL_MS, begin_final, s);
    g_timeout_add(ms, end_load, s);
    g_main_loop_run(s->loop);
    stop(s);
    report(s, args.keep);
    failed = s->n_violations != 0;
    g_main_loop_unref(s->loop);
    g_rand_free(s->rand);
    g_string_free(s->log, TRUE);
    g_free(s->dir);
    g_free(s);
    return failed;
}
