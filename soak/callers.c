/* Callers, who use kept connections until the instance's process is gone. */
#include <inttypes.h>
#include <string.h>

#include "soak/soak.h"

/* Requests a second to each instance. */
#define FW_LOAD_PER_S 30
#define FW_TICK_MS 10
/* Percentage of requests with the key k2. */
#define FW_K2_PCT 25
/* One in this many requests does not reach the crowded instance. */
#define FW_CROWD_ONE_IN 10
/* When callers leave long streams. */
#define FW_LEAVE_MIN_MS 5
#define FW_LEAVE_MAX_MS 300
#define FW_PLAIN_DEADLINE_MS 3000
#define FW_STREAM_DEADLINE_MS 6000
/* Time after its deadline at which a caller gives up. */
#define FW_GIVE_UP_US (1500 * FW_MSEC)
#define FW_IDLE_MAX_US (10 * FW_SEC)
#define FW_CONNECT_US (1 * FW_SEC)

static enum fw_head_action
on_head(void *ctx, const struct fw_http_head *h)
{
    struct soak_request *q = ctx;

    q->status = h->status;
    Fw_SoakCheck_ResponseHead(q, h);
    return FW_HEAD_ACCEPT;
}

static void
on_body(void *ctx, const char *data, size_t len)
{
    struct soak_request *q = ctx;

    g_string_append_len(q->body, data, (gssize)len);
}

static void
end(struct soak_request *q, int err, enum fw_sent sent)
{
    q->exchange = NULL;
    q->is_ended = 1;
    g_ptr_array_remove_fast(q->soak->open, q);
    Fw_SoakCheck_End(q, err, sent);
}

static void
on_end(void *ctx)
{
    struct soak_request *q = ctx;

    q->is_whole = 1;
    end(q, 0, FW_SENT_SOME);
}

static void
on_fail(void *ctx, int err, enum fw_sent sent)
{
    end(ctx, err, sent);
}

static const struct fw_exchange_ops ops = {
    .head = on_head, .body = on_body, .end = on_end, .fail = on_fail};

static const struct {
    const char *line;
    const char *fields;
    int deadline_ms;
} kinds[FW_SOAK_KINDS] = {
    [FW_SOAK_READ] = {"GET /read/x", "", FW_PLAIN_DEADLINE_MS},
    [FW_SOAK_ORDER] = {"POST /order/x", "", FW_PLAIN_DEADLINE_MS},
    [FW_SOAK_PUBLIC] = {"GET /public/x", "", FW_PLAIN_DEADLINE_MS},
    [FW_SOAK_STREAM] = {"POST /outlook/x",
                        "Token-Counts: 500,720\r\nModel: m\r\n",
                        FW_STREAM_DEADLINE_MS},
    [FW_SOAK_LEFT_STREAM] = {"POST /outlook/x",
                             "Token-Counts: 500,14400\r\nModel: m\r\n",
                             FW_STREAM_DEADLINE_MS},
};

static enum soak_kind
draw_kind(struct soak *s)
{
    static const enum soak_kind drawn[] = {
        FW_SOAK_READ,  FW_SOAK_READ,   FW_SOAK_READ,   FW_SOAK_ORDER,
        FW_SOAK_ORDER, FW_SOAK_PUBLIC, FW_SOAK_STREAM, FW_SOAK_STREAM};

    if (!s->is_final && g_rand_int_range(s->rand, 0, 100) == 0) {
        return FW_SOAK_LEFT_STREAM;
    }
    return drawn[g_rand_int_range(s->rand, 0, G_N_ELEMENTS(drawn))];
}

/* The instance that the balancer hands a request for @relay to. */
static int
choose_relay(struct soak *s, int relay)
{
    return s->crowded_relay != FW_SOAK_NOBODY &&
                   g_rand_int_range(s->rand, 0, FW_CROWD_ONE_IN)
               ? s->crowded_relay
               : relay;
}

/* Half of the streams are asked for with HTTP/1.0, with no mark of their end.
 */
static int
http_minor(const struct soak_request *q)
{
    return q->kind < FW_SOAK_STREAM || q->soak->next_id % 2;
}

static void
send_request(struct soak *s, int relay)
{
    struct fw_exchange_opts opts = {.reuse_idle_max_us = FW_IDLE_MAX_US,
                                    .connect_timeout_us = FW_CONNECT_US};
    struct soak_request *q = g_new0(struct soak_request, 1);
    GString *head = g_string_new(NULL);
    int64_t now = Fw_Soak_NowUs();
    int err;

    q->soak = s;
    q->kind = draw_kind(s);
    q->culprit = Fw_SoakCrashes_Draw(s, FW_LOAD_PER_S * s->n_relays);
    if (q->culprit) {
        q->kind = FW_SOAK_STREAM;
    }
    q->relay = relay;
    q->life = s->relays[relay].life;
    q->key = g_rand_int_range(s->rand, 0, 100) < FW_K2_PCT ? 2 : 1;
    q->sent_us = now;
    q->deadline_us = now + kinds[q->kind].deadline_ms * FW_MSEC;
    q->body = g_string_new(NULL);
    g_snprintf(q->id, sizeof(q->id), "q%d", ++s->next_id);
    if (q->kind == FW_SOAK_LEFT_STREAM) {
        q->cancel_us =
            now + g_rand_int_range(s->rand, FW_LEAVE_MIN_MS, FW_LEAVE_MAX_MS) *
                      FW_MSEC;
    }
    g_string_printf(head,
                    "%s HTTP/1.%d\r\nHost: demo.example\r\n"
                    "Authorization: Bearer k%d\r\nRequest-Id: %s\r\n"
                    "Deadline-Ms: %d\r\nContent-Length: 0\r\n%s",
                    kinds[q->kind].line, http_minor(q), q->key, q->id,
                    kinds[q->kind].deadline_ms, kinds[q->kind].fields);
    if (q->kind >= FW_SOAK_STREAM) {
        Fw_SoakCrashes_AppendParts(q, head);
    }
    g_string_append(head, "\r\n");
    g_hash_table_insert(s->requests, q->id, q);
    Fw_SoakBudget_NoteSent(q);
    s->n_total++;
    s->n_sent += s->is_final;
    q->exchange = Fw_Exchange_Start(s->pool, s->relays[relay].callers, head,
                                    NULL, &opts, &ops, q, &err);
    g_ptr_array_add(s->open, q);
    if (!q->exchange) {
        end(q, err, FW_SENT_NONE);
    }
    g_string_free(head, TRUE);
}

static void
leave(struct soak_request *q)
{
    Fw_Exchange_Abort(q->exchange);
    q->exchange = NULL;
    q->is_ended = 1;
    g_ptr_array_remove_fast(q->soak->open, q);
}

void
Fw_SoakCallers_Tick(struct soak *s)
{
    int64_t now = Fw_Soak_NowUs();

    for (guint i = s->open->len; i-- > 0;) {
        struct soak_request *q = g_ptr_array_index(s->open, i);

        if (now >= q->deadline_us + FW_GIVE_UP_US) {
            Fw_SoakCheck_Unanswered(q);
            leave(q);
        }
        else if (q->cancel_us && now >= q->cancel_us) {
            q->left_us = now;
            leave(q);
            g_ptr_array_add(s->left, q);
        }
    }
    Fw_SoakCheck_Left(s);
    for (int i = 0; i < s->n_relays && s->load_on; i++) {
        if (g_rand_int_range(s->rand, 0, 1000) < FW_LOAD_PER_S * FW_TICK_MS) {
            send_request(s, choose_relay(s, i));
        }
    }
    Fw_ConnPool_Tick(s->pool, now);
}
