/* The promises that the soak checks while it runs. */
#include <math.h>
#include <string.h>

#include "soak/soak.h"

/* Time for an instance to act on what a response has told it. */
#define FW_NOTICE_US (500 * FW_MSEC)
#define FW_LIMIT_SPAN_US (4 * FW_SEC)
#define FW_LIMIT_STABLE_US (3 * FW_SEC)
#define FW_LIMIT_OVERAGE 1.5
#define FW_LIMIT_TOLERANCE 5
#define FW_REST_US (3 * FW_SEC)
#define FW_REST_MAX_ARRIVALS 2
/* Time after which a server that leaves gets nothing new, and its slack. */
#define FW_DRAIN_US (2 * FW_SEC)
#define FW_DRAIN_SLACK_US (200 * FW_MSEC)
/* Time after which a withdrawn key runs nothing, and its slack. */
#define FW_REVOCATION_US (5 * FW_SEC)
#define FW_REVOCATION_SLACK_US (200 * FW_MSEC)
/* Time after which a key that was restored is accepted. */
#define FW_CONFIG_US (2 * FW_SEC)
#define FW_EVENTS 10
/* Time after which nothing runs for a caller who has left. */
#define FW_GONE_US (500 * FW_MSEC)
/* Part of the requests in the final calm that must be served. */
#define FW_RECOVERY_PERMILLE 950

void
Fw_SoakCheck_Violation(struct soak *s, const char *promise, const char *fmt,
                       ...)
{
    va_list args;
    char *text;

    va_start(args, fmt);
    text = g_strdup_vprintf(fmt, args);
    va_end(args);
    Fw_Soak_Log(s, "VIOLATION of %s: %s", promise, text);
    s->n_violations++;
    g_free(text);
}

static int
is_server_calm(const struct soak_server *v, int64_t at_us)
{
    return v && v->disturbed_us != FW_SOAK_ONGOING &&
           at_us - v->disturbed_us >= FW_SOAK_CALM_US;
}

/* Whether a fault has affected the relay since then, or does now. */
static int
was_disturbed(const struct soak_relay *r, int64_t since_us)
{
    return r->n_faults || r->disturbed_us > since_us;
}

static void
check_draining(struct soak_server *v, const struct soak_request *q)
{
    const struct soak_relay *r = &v->soak->relays[q->relay];
    int64_t now = Fw_Soak_NowUs();

    if (v->draining_us) {
        v->last_after_us = now - v->draining_us;
    }
    if (v->draining_us &&
        now > v->draining_us + FW_DRAIN_US + FW_DRAIN_SLACK_US &&
        Fw_SoakRelay_IsCalm(r, q->sent_us) && Fw_SoakRelay_IsCalm(r, now)) {
        Fw_SoakCheck_Violation(
            v->soak, "DRAIN", "%s reaches %s %d ms after its entry", q->id,
            v->opts->id, (int)((now - v->draining_us) / FW_MSEC));
    }
}

static void
check_leaving(struct soak_server *v, const struct soak_request *q)
{
    int64_t left_us = v->left_us[q->relay];

    if (left_us && q->sent_us > left_us + FW_DRAIN_US) {
        Fw_SoakCheck_Violation(
            v->soak, "LEAVING", "%s reaches %s %d ms after it said so", q->id,
            v->opts->id, (int)((q->sent_us - left_us) / FW_MSEC));
    }
}

static void
check_rest(struct soak_server *v, const struct soak_request *q, int64_t now)
{
    int64_t since_us = v->rest_us[q->relay];

    if (!since_us || now - since_us < FW_NOTICE_US ||
        now - since_us >= FW_REST_US ||
        was_disturbed(&v->soak->relays[q->relay], since_us)) {
        return;
    }
    if (++v->rest_arrivals[q->relay] > FW_REST_MAX_ARRIVALS) {
        Fw_SoakCheck_Violation(v->soak, "BUDGET",
                               "%s reaches %s, which n%02d owes rest", q->id,
                               v->opts->id, q->relay);
    }
}

static void
check_limit(struct soak_server *v, const struct soak_request *q, int64_t now)
{
    struct soak_arrival a = {.at_us = now, .relay = q->relay};
    int64_t told_us = v->told_us[q->relay];
    double allowed = FW_LIMIT_OVERAGE * v->limit * FW_LIMIT_SPAN_US / FW_SEC +
                     FW_LIMIT_TOLERANCE;
    int n = 0;

    if (!v->limit_us || !told_us || now - told_us < FW_NOTICE_US ||
        was_disturbed(&v->soak->relays[q->relay], told_us)) {
        return;
    }
    g_array_append_val(v->arrivals, a);
    for (guint i = 0; i < v->arrivals->len; i++) {
        n += g_array_index(v->arrivals, struct soak_arrival, i).at_us >
             now - FW_LIMIT_SPAN_US;
    }
    if (now - v->limit_us >= FW_LIMIT_STABLE_US && n > floor(allowed)) {
        Fw_SoakCheck_Violation(v->soak, "LIMIT",
                               "%s is arrival %d in 4 s at %s, allowed %d",
                               q->id, n, v->opts->id, (int)floor(allowed));
    }
}

static void
arrived(struct soak_server *v, struct soak_request *q)
{
    int64_t now = Fw_Soak_NowUs();

    Fw_SoakBudget_NoteArrival(q);
    check_draining(v, q);
    check_leaving(v, q);
    Fw_SoakCrashes_NoteArrival(v, q);
    if (v->disturbed_us != FW_SOAK_ONGOING &&
        now - v->disturbed_us >= FW_LIMIT_SPAN_US) {
        check_rest(v, q, now);
        check_limit(v, q, now);
    }
}

/* Whether the status says that the request has not run and never will. */
static int
is_promise(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

static void
started(struct soak_server *v, struct soak_request *q)
{
    struct soak *s = v->soak;

    q->runs++;
    q->server = v;
    Fw_SoakCrashes_NoteStart(v, q);
    if (q->kind == FW_SOAK_ORDER && q->runs > 1) {
        Fw_SoakCheck_Violation(s, "ONCE", "%s runs again, at %s", q->id,
                               v->opts->id);
    }
    if (q->is_ended && q->is_whole && is_promise(q->status)) {
        Fw_SoakCheck_Violation(s, "REFUSED", "%s runs after status %d", q->id,
                               q->status);
    }
    if (q->key == 2 && q->kind != FW_SOAK_PUBLIC && s->revoked_us &&
        q->sent_us >
            s->revoked_us + FW_REVOCATION_US + FW_REVOCATION_SLACK_US) {
        Fw_SoakCheck_Violation(s, "KEY", "%s runs with a withdrawn key",
                               q->id);
    }
}

void
Fw_SoakCheck_ServerEvent(void *ctx, const char *server,
                         enum fw_wire_event event, const char *id)
{
    struct soak_server *v = ctx;
    struct soak_request *q =
        id[0] ? g_hash_table_lookup(v->soak->requests, id) : NULL;
    int64_t now = Fw_Soak_NowUs();

    if (!q) {
        if (id[0]) {
            Fw_SoakCheck_Violation(v->soak, "UNASKED", "%s gets unknown %s",
                                   server, id);
        }
        return;
    }
    switch (event) {
    case FW_WIRE_ARRIVED:
        arrived(v, q);
        break;
    case FW_WIRE_STARTED:
        started(v, q);
        break;
    case FW_WIRE_REJECTED:
        if (v->rests && now - v->rest_us[q->relay] >= FW_REST_US) {
            v->rest_us[q->relay] = now;
            v->rest_arrivals[q->relay] = 0;
        }
        break;
    }
}

/* The server whose stamp the response bears, NULL for none. */
static struct soak_server *
server_of(struct soak *s, const struct fw_http_head *h)
{
    const struct fw_http_field *f = Fw_Http_FindField(h, "Server-Stamp");

    for (int i = 0; f && i < FW_SOAK_SERVERS; i++) {
        size_t len = strlen(s->servers[i].opts->id);

        if (f->value_len > len && f->value[len] == '.' &&
            memcmp(f->value, s->servers[i].opts->id, len) == 0) {
            return &s->servers[i];
        }
    }
    return NULL;
}

void
Fw_SoakCheck_ResponseHead(struct soak_request *q, const struct fw_http_head *h)
{
    const struct fw_http_field *f = Fw_Http_FindField(h, "Request-Id");
    struct soak_server *v = server_of(q->soak, h);
    int64_t now = Fw_Soak_NowUs();

    if (f && (f->value_len != strlen(q->id) ||
              memcmp(f->value, q->id, f->value_len) != 0)) {
        Fw_SoakCheck_Violation(q->soak, "MIXED", "%s gets another's response",
                               q->id);
    }
    if (!v || q->life != q->soak->relays[q->relay].life) {
        return;
    }
    if (v->limit_us && !v->told_us[q->relay] &&
        Fw_Http_FindField(h, "Server-Limit")) {
        v->told_us[q->relay] = now;
    }
    if (!v->left_us[q->relay] && Fw_Http_FindField(h, "Server-Leaving")) {
        v->left_us[q->relay] = now;
    }
}

void
Fw_SoakCheck_RelayStarted(struct soak *s, int relay)
{
    for (int i = 0; i < FW_SOAK_SERVERS; i++) {
        s->servers[i].told_us[relay] = 0;
        s->servers[i].rest_us[relay] = 0;
        s->servers[i].left_us[relay] = 0;
    }
}

static int
is_body_whole(const struct soak_request *q)
{
    GString *want;
    int same;

    if (q->kind < FW_SOAK_STREAM) {
        return strcmp(q->body->str, "the answer") == 0;
    }
    want = g_string_new(NULL);
    for (int i = 0; i < FW_EVENTS; i++) {
        g_string_append_printf(want, "id: %d\ndata: piece %d\n\n", i, i);
    }
    same = strcmp(q->body->str, want->str) == 0;
    g_string_free(want, TRUE);
    return same;
}

static void
check_status(struct soak_request *q)
{
    struct soak *s = q->soak;
    int64_t now = Fw_Soak_NowUs();
    int key_valid =
        q->key == 1 ||
        (!s->revoked_us && q->sent_us > s->restored_us + FW_CONFIG_US &&
         Fw_SoakRelay_IsCalm(&s->relays[q->relay], now));

    if (q->status == 200 && !is_body_whole(q)) {
        Fw_SoakCheck_Violation(s, "MIXED", "%s gets a body that isn't whole",
                               q->id);
    }
    if (is_promise(q->status) && q->runs) {
        Fw_SoakCheck_Violation(s, "REFUSED", "%s has run, status %d", q->id,
                               q->status);
    }
    if (q->status == 404 || (q->status == 401 && key_valid)) {
        Fw_SoakCheck_Violation(s, "CONFIG", "%s is answered %d", q->id,
                               q->status);
    }
    s->n_served += s->is_final && q->status == 200;
}

static void
check_loss(struct soak_request *q, int err)
{
    struct soak *s = q->soak;
    const struct soak_relay *r = &s->relays[q->relay];
    int64_t now = Fw_Soak_NowUs();
    int stops = r->term_us && r->planned_stop && !was_disturbed(r, q->sent_us);

    if (q->life == r->life && is_server_calm(q->server, q->sent_us) &&
        is_server_calm(q->server, now) &&
        (stops || Fw_SoakRelay_IsCalm(r, now))) {
        Fw_SoakCheck_Violation(s, "LOST", "%s, which runs, is cut off (%d)%s",
                               q->id, err, stops ? " by a planned stop" : "");
    }
}

void
Fw_SoakCheck_End(struct soak_request *q, int err, enum fw_sent sent)
{
    if (q->is_whole) {
        check_status(q);
    }
    else if (sent == FW_SENT_SOME) {
        check_loss(q, err);
    }
}

/* An instance needs nothing but itself to keep a deadline. */
void
Fw_SoakCheck_Unanswered(struct soak_request *q)
{
    const struct soak_relay *r = &q->soak->relays[q->relay];

    if (q->life == r->life && r->pid && !r->n_faults &&
        r->disturbed_us != FW_SOAK_ONGOING && r->disturbed_us <= q->sent_us) {
        Fw_SoakCheck_Violation(q->soak, "DEADLINE",
                               "%s has no answer at its deadline", q->id);
    }
}

static void
check_left(struct soak *s, const struct soak_request *q)
{
    for (int i = 0; i < FW_SOAK_SERVERS; i++) {
        if (Fw_WireServer_IsRunning(s->servers[i].stand, q->id)) {
            Fw_SoakCheck_Violation(s, "GONE", "%s runs on at %s", q->id,
                                   s->servers[i].opts->id);
        }
    }
}

void
Fw_SoakCheck_Left(struct soak *s)
{
    int64_t now = Fw_Soak_NowUs();

    for (guint i = s->left->len; i-- > 0;) {
        const struct soak_request *q = g_ptr_array_index(s->left, i);

        if (now - q->left_us < FW_GONE_US) {
            continue;
        }
        if (q->life == s->relays[q->relay].life &&
            Fw_SoakRelay_IsCalm(&s->relays[q->relay], now) &&
            is_server_calm(q->server, now)) {
            check_left(s, q);
        }
        g_ptr_array_remove_index_fast(s->left, i);
    }
}

void
Fw_SoakCheck_Final(struct soak *s)
{
    for (int i = 0; i < FW_SOAK_SERVERS; i++) {
        struct fw_wire_server *w = s->servers[i].stand;

        if (Fw_WireServer_ActiveCount(w) || Fw_WireServer_UsedKvTokens(w) ||
            Fw_WireServer_KvHandleCount(w)) {
            Fw_SoakCheck_Violation(
                s, "MEMORY", "%s still has %d runs, %d tokens, %d KV caches",
                s->servers[i].opts->id, Fw_WireServer_ActiveCount(w),
                (int)Fw_WireServer_UsedKvTokens(w),
                Fw_WireServer_KvHandleCount(w));
        }
    }
    if (s->n_served * 1000 < s->n_sent * FW_RECOVERY_PERMILLE) {
        Fw_SoakCheck_Violation(s, "RECOVER", "%d of %d served in the end",
                               s->n_served, s->n_sent);
    }
}
