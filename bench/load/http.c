#include "bench/load/load.h"
#include "io/fetch.h"

#define FW_RESPONSE_MAX_BYTES (256 << 20)

/** struct sync_call - a call and the main loop that waits for it. */
struct sync_call {
    GMainLoop *loop;
    int status;
    GBytes *body;
};

static void
on_done(void *ctx, const struct fw_fetch_result *result)
{
    struct sync_call *w = ctx;

    w->status = result->err ? 0 : result->status;
    w->body = result->body ? g_bytes_ref(result->body) : NULL;
    g_main_loop_quit(w->loop);
}

int
Fw_LoadgenHttp_Call(SoupSession *session, const char *method, const char *url,
                    const char *json, const char *key, GBytes **body)
{
    struct sync_call w = {.loop = g_main_loop_new(NULL, FALSE)};
    SoupMessage *msg = Fw_Fetch_NewMessage(method, url, json);
    struct fw_fetch_opts opts = {.session = session,
                                 .msg = msg,
                                 .idle_timeout_us = 20 * FW_SEC,
                                 .body_max = FW_RESPONSE_MAX_BYTES,
                                 .ctx = &w,
                                 .on_done = on_done};

    if (!msg) {
        g_main_loop_unref(w.loop);
        return 0;
    }
    if (key) {
        char *bearer = g_strconcat("Bearer ", key, NULL);

        soup_message_headers_replace(soup_message_get_request_headers(msg),
                                     "Authorization", bearer);
        g_free(bearer);
    }
    Fw_Fetch_Start(&opts);
    g_main_loop_run(w.loop);
    g_main_loop_unref(w.loop);
    if (body) {
        *body = w.body;
    }
    else if (w.body) {
        g_bytes_unref(w.body);
    }
    return w.status;
}
