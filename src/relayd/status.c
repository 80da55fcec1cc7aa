/* HTTP servers of the readiness check and the metrics. */
#include <string.h>

#include "http/conn.h"
#include "relayd/relayd_internal.h"

int
Fw_Status_IsPath(const struct fw_http_head *h, const char *path)
{
    return h->target_len == strlen(path) &&
           memcmp(h->target, path, h->target_len) == 0;
}

static void
on_ready(void *ctx, struct fw_http_caller *c, const struct fw_http_head *head,
         GBytes *body)
{
    struct fw_relayd *d = ctx;
    int ready = Fw_Relayd_IsReady(d);

    (void)body;
    if (!Fw_Status_IsPath(head, d->opts.ready_path)) {
        Fw_Caller_Respond(c, 404, "", "");
        return;
    }
    Fw_Caller_Respond(c, ready ? 200 : 503, "", "");
}

static void
on_metrics(void *ctx, struct fw_http_caller *c,
           const struct fw_http_head *head, GBytes *body)
{
    struct fw_relayd *d = ctx;
    GString *text;

    (void)body;
    if (!Fw_Status_IsPath(head, "/metrics")) {
        Fw_Caller_Respond(c, 404, "", "");
        return;
    }
    text = g_string_new(NULL);
    Fw_Metrics_Print(Fw_Relay_Metrics(d->relay), text);
    Fw_Caller_Respond(c, 200, "Content-Type: text/plain; version=0.0.4\r\n",
                      text->str);
    g_string_free(text, TRUE);
}

static const struct fw_http_ops ready_ops = {
    .request = on_ready, .rejected = Fw_Relayd_LogMalformed};
static const struct fw_http_ops metrics_ops = {
    .request = on_metrics, .rejected = Fw_Relayd_LogMalformed};

int
Fw_Status_Listen(struct fw_relayd *d)
{
    int err = 0;

    d->ready_server = Fw_Server_New(d->opts.ready_addr, &ready_ops, d, &err);
    if (!d->ready_server) {
        return err;
    }
    Fw_Server_SetHeld(d->ready_server, d->held, 0);
    d->metrics_server =
        Fw_Server_New(d->opts.metrics_addr, &metrics_ops, d, &err);
    if (!d->metrics_server) {
        return err;
    }
    Fw_Server_SetHeld(d->metrics_server, d->held, 0);
    return 0;
}
