/* The table of requests: creation, lookup, numbering. */
#include <inttypes.h>
#include <stdarg.h>
#include <string.h>
#include <syslog.h>

#include "base/hash.h"
#include "request/request_internal.h"

static void
add_counter(struct fw_requests *rs, struct fw_metric *m, const char *name,
            const char *help)
{
    m->name = name;
    m->help = help;
    Fw_Metrics_Add(rs->deps.metrics, m);
}

static void
add_counters(struct fw_requests *rs)
{
    struct fw_request_counters *n = &rs->counters;

    add_counter(rs, &n->opened, "fw_requests_opened_total",
                "requests taken from callers");
    add_counter(rs, &n->finished, "fw_requests_finished_total",
                "requests answered whole");
    add_counter(rs, &n->refused, "fw_requests_refused_total",
                "requests refused before they ran");
    add_counter(rs, &n->failed, "fw_requests_failed_total",
                "requests that failed after an engine was asked");
    add_counter(rs, &n->cancelled, "fw_requests_cancelled_total",
                "requests whose caller closed");
    add_counter(rs, &n->joined, "fw_requests_joined_total",
                "callers joined to a request already running");
    add_counter(rs, &n->retried, "fw_requests_retried_total",
                "new attempts after a lost upstream");
    add_counter(rs, &n->resumed, "fw_requests_resumed_total",
                "streams taken up again on the same engine");
    add_counter(rs, &n->quarantined, "fw_requests_quarantined_total",
                "requests refused as poison");
    add_counter(rs, &n->orphans, "fw_orphans_cancelled_total",
                "engine requests cancelled because their owner is gone");
    add_counter(rs, &n->wasted, "fw_prefill_wasted_tokens_total",
                "prefilled tokens whose KV was not decoded from");
}

struct fw_requests *
Fw_Requests_New(const struct fw_request_deps *deps)
{
    struct fw_requests *rs = g_new0(struct fw_requests, 1);

    rs->deps = *deps;
    Fw_List_Init(&rs->all);
    rs->by_ticket = g_hash_table_new(g_int64_hash, g_int64_equal);
    rs->by_call = g_hash_table_new(g_int64_hash, g_int64_equal);
    rs->by_op = g_hash_table_new(g_int64_hash, g_int64_equal);
    rs->by_seq = g_hash_table_new(g_int64_hash, g_int64_equal);
    rs->by_key = g_hash_table_new(g_int64_hash, g_int64_equal);
    rs->orphans.pending_polls =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    rs->orphans.candidates =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    Fw_Directory_Init(&rs->directory);
    Fw_Poison_Init(&rs->poison);
    add_counters(rs);
    return rs;
}

void
Fw_Requests_Free(struct fw_requests *rs)
{
    struct fw_list *pos;
    struct fw_list *tmp;

    if (!rs) {
        return;
    }
    FW_LIST_EACH_SAFE (pos, tmp, &rs->all) {
        Fw_Request_Free(rs, FW_LIST_ENTRY(pos, struct fw_request, link));
    }
    g_hash_table_unref(rs->by_ticket);
    g_hash_table_unref(rs->by_call);
    g_hash_table_unref(rs->by_op);
    g_hash_table_unref(rs->by_seq);
    g_hash_table_unref(rs->by_key);
    g_hash_table_unref(rs->orphans.pending_polls);
    g_hash_table_unref(rs->orphans.candidates);
    Fw_Directory_Fini(&rs->directory);
    Fw_Poison_Fini(&rs->poison);
    g_free(rs);
}

struct fw_request *
Fw_Request_New(struct fw_requests *rs, int64_t now_us)
{
    struct fw_request *rq = g_new0(struct fw_request, 1);

    rq->ticket = ++rs->next_ticket;
    rq->arrived_us = now_us;
    rq->expected_pieces = -1;
    rq->output = g_string_new(NULL);
    rq->piece_ends = g_array_new(FALSE, FALSE, sizeof(guint32));
    rq->reorder =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    Fw_List_Init(&rq->subscribers);
    Fw_List_Append(&rs->all, &rq->link);
    g_hash_table_insert(rs->by_ticket, &rq->ticket, rq);
    return rq;
}

struct fw_request *
Fw_Request_FromCall(struct fw_requests *rs, const struct fw_call *call,
                    const struct fw_team *team, int64_t now_us)
{
    struct fw_request *rq = Fw_Request_New(rs, now_us);

    rq->kind = call->kind;
    g_strlcpy(rq->team, team->name, sizeof(rq->team));
    Fw_Hash_KeyDigest(call->key, rq->digest);
    if (call->request_id[0]) {
        g_strlcpy(rq->id, call->request_id, sizeof(rq->id));
    }
    else {
        g_snprintf(rq->id, sizeof(rq->id), "%s-%" PRIx64 "-%" PRIu64,
                   rs->deps.self->name, rs->deps.self->boot, rs->next_ticket);
    }
    Fw_Subscriber_AddCall(rs, rq, call->call);
    rs->counters.opened.value++;
    return rq;
}

void
Fw_Request_Free(struct fw_requests *rs, struct fw_request *rq)
{
    struct fw_list *pos;
    struct fw_list *tmp;

    FW_LIST_EACH_SAFE (pos, tmp, &rq->subscribers) {
        Fw_Subscriber_Remove(rs,
                             FW_LIST_ENTRY(pos, struct fw_subscriber, link));
    }
    Fw_Request_ClearOp(rs, rq);
    if (rq->seq) {
        g_hash_table_remove(rs->by_seq, &rq->seq);
    }
    if (rq->key && g_hash_table_lookup(rs->by_key, &rq->key) == rq) {
        g_hash_table_remove(rs->by_key, &rq->key);
    }
    g_hash_table_remove(rs->by_ticket, &rq->ticket);
    Fw_List_Remove(&rq->link);
    if (rq->stage == FW_STAGE_DONE) {
        rs->retained_bytes -= (int64_t)rq->output->len;
        rs->n_retained--;
    }
    g_bytes_unref(rq->body);
    g_free(rq->path);
    g_string_free(rq->output, TRUE);
    g_array_unref(rq->piece_ends);
    g_hash_table_unref(rq->reorder);
    g_free(rq);
}

struct fw_request *
Fw_Request_ByTicket(const struct fw_requests *rs, uint64_t ticket)
{
    return g_hash_table_lookup(rs->by_ticket, &ticket);
}

void
Fw_Request_ClearOp(struct fw_requests *rs, struct fw_request *rq)
{
    if (rq->op) {
        g_hash_table_remove(rs->by_op, &rq->op);
        rq->op = 0;
    }
}

void
Fw_Request_AssignOp(struct fw_requests *rs, struct fw_request *rq)
{
    Fw_Request_ClearOp(rs, rq);
    rq->op = Fw_Owner_MakeId(FW_OWNER_REQUEST, ++rs->next_op);
    g_hash_table_insert(rs->by_op, &rq->op, rq);
}

void
Fw_Request_AssignSeq(struct fw_requests *rs, struct fw_request *rq)
{
    if (rq->seq) {
        g_hash_table_remove(rs->by_seq, &rq->seq);
    }
    rq->seq = ++rs->next_seq;
    g_hash_table_insert(rs->by_seq, &rq->seq, rq);
}

void
Fw_Request_EngineId(const struct fw_requests *rs, uint64_t seq, char *out,
                    size_t size)
{
    g_snprintf(out, (gulong)size, "%s.%" PRIx64 ".%" PRIu64,
               rs->deps.self->name, rs->deps.self->boot, seq);
}

const char *
Fw_Request_StageName(enum fw_stage stage)
{
    static const char *const names[] = {
        "lookup", "budget", "queue", "prefill", "import", "decode",
        "strike", "remote", "idem",  "service", "idle",   "done",
    };
    return names[stage];
}

void
Fw_Request_Trace(struct fw_requests *rs, const struct fw_request *rq,
                 int64_t now_us, const char *fmt, ...)
{
    char text[200];
    va_list ap;

    va_start(ap, fmt);
    g_vsnprintf(text, sizeof(text), fmt, ap);
    va_end(ap);
    Fw_Explain_Add(rs->deps.explain, rq->id, now_us,
                   Fw_Request_StageName(rq->stage), "%s", text);
}

int
Fw_Requests_Count(const struct fw_requests *rs)
{
    return (int)g_hash_table_size(rs->by_ticket) - rs->n_retained;
}

int
Fw_Requests_HasAttempt(const struct fw_requests *rs, uint64_t seq)
{
    return g_hash_table_contains(rs->by_seq, &seq);
}

void
Fw_Requests_Each(const struct fw_requests *rs, int64_t now_us,
                 void (*row)(const struct fw_request_row *r, void *ctx),
                 void *ctx)
{
    struct fw_list *pos;

    FW_LIST_EACH (pos, &rs->all) {
        const struct fw_request *rq =
            FW_LIST_ENTRY(pos, struct fw_request, link);
        struct fw_request_row r = {
            .stage = Fw_Request_StageName(rq->stage),
            .age_us = now_us - rq->arrived_us,
            .output_tokens = rq->piece_ends->len,
        };

        if (rq->stage == FW_STAGE_DONE) {
            continue;
        }
        g_strlcpy(r.id, rq->id, sizeof(r.id));
        g_strlcpy(r.team, rq->team, sizeof(r.team));
        g_strlcpy(r.prefill, rq->prefill, sizeof(r.prefill));
        g_strlcpy(r.decode, rq->decode, sizeof(r.decode));
        row(&r, ctx);
    }
}
