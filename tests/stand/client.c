#include "tests/stand/client.h"

#include <check.h>
#include <string.h>

#define WATCHDOG_S 20

/** struct call - a request in progress. */
struct call {
    SoupMessage *msg;
    GCancellable *cancel;
    GBytes *body;
    int status; /* 0: no response */
    int done;
};

/** struct client - @kv: value of $KV, see struct step. */
struct client {
    struct fw_stand *stand;
    SoupSession *session;
    struct call *started;
    char kv[FW_ID_MAX];
};

void
Fw_StandScript_SetDefaults(struct fw_stand_opts *opts)
{
    Fw_Stand_SetDefaults(opts);
    opts->prefill_engines = 1;
    opts->decode_engines = 1;
    opts->service_servers = 1;
    opts->unfenced_every = 2;
    opts->step_ms = 1;
    opts->step_request_us = 0;
    opts->prefill_tokens_per_s = 1000000;
    opts->kv_ttl_ms = 900;
    opts->resume_grace_ms = 900;
    opts->load_lag_ms = 5;
    opts->cache_event_delay_ms = 0;
    opts->cache_event_loss_permille = 0;
    opts->list_lag_ms = 0;
    opts->log_appends_per_s = 100000;
    opts->weights_bytes = 1000;
}

static void
on_read(GObject *source, GAsyncResult *res, gpointer data)
{
    struct call *a = data;

    a->body =
        soup_session_send_and_read_finish(SOUP_SESSION(source), res, NULL);
    a->status = a->body ? (int)soup_message_get_status(a->msg) : 0;
    a->done = 1;
}

/* Replaces $KV and the names of ports, see struct step. */
static char *
expand(const struct client *c, const char *text)
{
    GString *s = g_string_new(text);
    struct fw_list *pos;

    g_string_replace(s, "$KV", c->kv, 0);
    FW_LIST_EACH (pos, &c->stand->ports) {
        const struct fw_stand_port *p =
            FW_LIST_ENTRY(pos, struct fw_stand_port, link);
        char *name = g_strconcat("$", p->name, NULL);

        g_string_replace(s, name, p->url, 0);
        g_free(name);
    }
    return g_string_free(s, FALSE);
}

static struct call *
send_call(struct client *c, const struct step *s)
{
    struct call *a = g_new0(struct call, 1);
    char **w = g_strsplit(s->call, " ", 3);
    const struct fw_stand_port *port = Fw_Stand_FindPort(c->stand, w[1]);
    char *path = expand(c, w[2]);
    char *url = g_strconcat(port->url, path, NULL);
    char *body = s->body ? expand(c, s->body) : NULL;
    GBytes *bytes;

    a->msg = soup_message_new(w[0], url);
    a->cancel = g_cancellable_new();
    soup_message_add_flags(a->msg, SOUP_MESSAGE_NEW_CONNECTION);
    if (body) {
        bytes = g_bytes_new(body, strlen(body));
        soup_message_set_request_body_from_bytes(a->msg, "application/json",
                                                 bytes);
        g_bytes_unref(bytes);
    }
    soup_session_send_and_read_async(c->session, a->msg, G_PRIORITY_DEFAULT,
                                     a->cancel, on_read, a);
    g_free(body);
    g_free(url);
    g_free(path);
    g_strfreev(w);
    return a;
}

static gboolean
on_timeout(gpointer data)
{
    *(int *)data = 1;
    return G_SOURCE_CONTINUE;
}

/* Runs the event loop until the call is complete. */
static void
wait_for(const struct call *a, const char *call)
{
    int timed_out = 0;
    guint watchdog = g_timeout_add_seconds(WATCHDOG_S, on_timeout, &timed_out);

    while (!a->done && !timed_out) {
        g_main_context_iteration(NULL, TRUE);
    }
    g_source_remove(watchdog);
    ck_assert_msg(a->done, "request did not complete: %s", call);
}

static void
free_call(struct call *a)
{
    g_clear_pointer(&a->body, g_bytes_unref);
    g_object_unref(a->msg);
    g_object_unref(a->cancel);
    g_free(a);
}

/* Nonzero if the response matches @s; stores its KV cache id for $KV. */
static int
matches(struct client *c, const struct call *a, const struct step *s,
        char **text)
{
    gsize len = 0;
    const char *data = a->body ? g_bytes_get_data(a->body, &len) : "";
    const char *kv;

    *text = g_strndup(data ? data : "", len);
    kv = strstr(*text, "\"kv\":\"");
    if (kv && a->status == 200) {
        g_strlcpy(c->kv, kv + 6, sizeof(c->kv));
        c->kv[strcspn(c->kv, "\"")] = '\0';
    }
    if (a->status != s->status) {
        return 0;
    }
    if (s->expected && s->expected[0] == '!') {
        return !strstr(*text, s->expected + 1);
    }
    return !s->expected || strstr(*text, s->expected);
}

static void
check(struct client *c, struct call *a, const struct step *s, int number)
{
    char *text;
    int ok;

    wait_for(a, s->call ? s->call : "the started call");
    ok = matches(c, a, s, &text);
    ck_assert_msg(ok, "step %d %s: status %d, %s; expected %d, %s", number,
                  s->call ? s->call : "take", a->status, text, s->status,
                  s->expected ? s->expected : "anything");
    g_free(text);
    free_call(a);
}

static void
poll_until(struct client *c, const struct step *s, int number)
{
    int timed_out = 0;
    guint watchdog = g_timeout_add_seconds(WATCHDOG_S, on_timeout, &timed_out);
    int ok = 0;

    while (!ok && !timed_out) {
        struct call *a = send_call(c, s);
        char *text;

        wait_for(a, s->call);
        ok = matches(c, a, s, &text);
        g_free(text);
        free_call(a);
    }
    g_source_remove(watchdog);
    ck_assert_msg(ok, "step %d: response never matched: %s %s", number,
                  s->call, s->expected ? s->expected : "");
}

static void
run_step(struct client *c, const struct step *s, int number)
{
    switch (s->kind) {
    case FW_SCRIPT_CALL:
        check(c, send_call(c, s), s, number);
        break;
    case FW_SCRIPT_POLL:
        poll_until(c, s, number);
        break;
    case FW_SCRIPT_START:
        c->started = send_call(c, s);
        break;
    case FW_SCRIPT_AWAIT:
        check(c, g_steal_pointer(&c->started), s, number);
        break;
    case FW_SCRIPT_DISCONNECT:
        ck_assert(c->started != NULL);
        g_cancellable_cancel(c->started->cancel);
        wait_for(c->started, "the cancelled call");
        free_call(g_steal_pointer(&c->started));
        break;
    case FW_SCRIPT_END:
        break;
    }
}

void
Fw_StandScript_Run(const struct fw_stand_opts *opts, const struct step *steps)
{
    struct client c = {.stand = Fw_Stand_New(opts)};

    ck_assert_ptr_nonnull(c.stand);
    c.session = soup_session_new_with_options("max-conns", 64,
                                              "max-conns-per-host", 64, NULL);
    for (int i = 0; steps[i].kind != FW_SCRIPT_END; i++) {
        run_step(&c, &steps[i], i + 1);
    }
    soup_session_abort(c.session);
    g_object_unref(c.session);
    while (g_main_context_iteration(NULL, FALSE)) {
    }
    Fw_Stand_Free(c.stand);
}
