/*
 * Statistics of each service's streams, and their transfer to instances that
 * have just started, which would otherwise predict lengths from the prior.
 */
#include <errno.h>
#include <string.h>

#include "base/hash.h"
#include "core/pack.h"
#include "relay/relay_internal.h"

#define FW_MSG_TYPE_SERVICE_STATS 5
/*
 * Reports are first requested after this number of complete streams, then at
 * this interval, because tokens per event may change with the engine's
 * version.
 */
#define FW_REPORT_MIN_STREAMS 4
#define FW_REPORT_PERIOD_US (60 * FW_SEC)
/* Minimum age of a running stream; a report may be a second old. */
#define FW_REPORT_MIN_AGE_US (1500 * FW_MSEC)
/* Minimum events of a stream, since the first may have fewer tokens. */
#define FW_REPORT_MIN_EVENTS 4
/* Parameters are sent as integers, in thousandths. */
#define FW_PARAM_SCALE 1000.0
/* Columns of a row: hash of the service's name, then its parameters. */
#define FW_PARAMS_ROW_WIDTH (1 + FW_LENGTH_PARAMS)

struct fw_service_stats *
Fw_ServiceStats_Get(const struct fw_relay *r, const char *service)
{
    struct fw_service_stats *stats;

    for (guint i = 0; i < r->service_stats->len; i++) {
        stats = g_ptr_array_index(r->service_stats, i);
        if (strcmp(stats->service, service) == 0) {
            return stats;
        }
    }
    stats = g_new(struct fw_service_stats, 1);
    Fw_ServiceStats_Init(stats, service);
    g_ptr_array_add(r->service_stats, stats);
    return stats;
}

/* Returns a server with a stream that its report will contain, or NULL. */
static struct fw_rl_server *
find_server_to_report(const struct fw_relay *r, const char *service,
                      int64_t now_us)
{
    struct fw_list *pos;

    FW_LIST_EACH (pos, &r->call_list) {
        const struct fw_rl_call *c =
            FW_LIST_ENTRY(pos, struct fw_rl_call, link);

        if (c->kv_tokens && c->is_forwarded && c->server &&
            Fw_Servers_IsInService(c->server) &&
            now_us - c->response_us >= FW_REPORT_MIN_AGE_US &&
            strcmp(c->service, service) == 0) {
            return c->server;
        }
    }
    return NULL;
}

/*
 * Engines report the tokens of an event exactly; callers' estimates give only
 * an approximation, if they are sent at all.
 */
void
Fw_ServiceStats_Tick(struct fw_relay *r, int64_t now_us,
                     struct fw_rl_actions *out)
{
    struct fw_rl_upstream_call up = {.kind = FW_RL_UP_REPORT,
                                     .priority = -1,
                                     .buffer_response = 1,
                                     .reuse_us = FW_RL_REUSE_US,
                                     .connect_us = FW_RL_CONNECT_TIMEOUT_US};

    for (guint i = 0; i < r->service_stats->len; i++) {
        struct fw_service_stats *stats =
            g_ptr_array_index(r->service_stats, i);
        struct fw_rl_server *s;

        if (stats->length.n < FW_REPORT_MIN_STREAMS ||
            (stats->report_requested_us &&
             now_us - stats->report_requested_us < FW_REPORT_PERIOD_US)) {
            continue;
        }
        s = find_server_to_report(r, stats->service, now_us);
        if (s && Fw_Admission_MaySend(r, s, 1, now_us)) {
            stats->report_requested_us = now_us;
            Fw_Call_Upstream(r, NULL, s, &up,
                             now_us + FW_RL_RELEASE_TIMEOUT_US, now_us, out)
                ->is_calibration = 1;
        }
    }
}

static const struct fw_rl_call *
find_call(const struct fw_relay *r, uint64_t id)
{
    struct fw_list *pos;

    FW_LIST_EACH (pos, &r->call_list) {
        const struct fw_rl_call *c =
            FW_LIST_ENTRY(pos, struct fw_rl_call, link);

        if (c->kv_tokens && Fw_Hash_Str(c->info.id) == id) {
            return c;
        }
    }
    return NULL;
}

void
Fw_ServiceStats_ApplyReport(struct fw_relay *r, const char *service,
                            const struct fw_rl_upstream_response *ans)
{
    int64_t tokens = 0;
    int64_t events = 0;

    for (int i = 0; i < ans->n_streams; i++) {
        const struct fw_rl_stream_report *run = &ans->streams[i];
        const struct fw_rl_call *c = find_call(r, run->id);

        if (c && c->info.last_event_id < 0 &&
            run->events >= FW_REPORT_MIN_EVENTS &&
            run->tokens > c->info.tokens_in) {
            tokens += run->tokens - c->info.tokens_in;
            events += run->events;
        }
    }
    Fw_Length_SetTokensPerEvent(&Fw_ServiceStats_Get(r, service)->length,
                                tokens, events);
}

int
Fw_ServiceStats_Write(const struct fw_relay *r, GByteArray *out)
{
    msgpack_packer pk;

    if (!r->service_stats->len) {
        return 0;
    }
    Fw_Pack_Begin(&pk, out);
    msgpack_pack_array(&pk, 2);
    msgpack_pack_int(&pk, FW_MSG_TYPE_SERVICE_STATS);
    msgpack_pack_array(&pk, r->service_stats->len);
    for (guint i = 0; i < r->service_stats->len; i++) {
        const struct fw_service_stats *stats =
            g_ptr_array_index(r->service_stats, i);
        double params[FW_LENGTH_PARAMS];

        Fw_Length_Export(&stats->length, params);
        msgpack_pack_array(&pk, FW_PARAMS_ROW_WIDTH);
        msgpack_pack_uint64(&pk, Fw_Hash_Str(stats->service));
        for (int k = 0; k < FW_LENGTH_PARAMS; k++) {
            msgpack_pack_int64(&pk, (int64_t)(params[k] * FW_PARAM_SCALE));
        }
    }
    return 1;
}

static void
import_params(struct fw_relay *r, const char *service,
              const msgpack_object_array *rows)
{
    uint64_t hash = Fw_Hash_Str(service);

    for (uint32_t i = 0; i < rows->size; i++) {
        double params[FW_LENGTH_PARAMS];

        if ((uint64_t)Fw_Rows_Cell(rows, i, 0) != hash) {
            continue;
        }
        for (int k = 0; k < FW_LENGTH_PARAMS; k++) {
            params[k] = (double)Fw_Rows_Cell(rows, i, k + 1) / FW_PARAM_SCALE;
        }
        Fw_Length_Import(&Fw_ServiceStats_Get(r, service)->length, params);
    }
}

int
Fw_ServiceStats_Read(struct fw_relay *r, const msgpack_object *o)
{
    const msgpack_object_array *rows;
    uint64_t type;

    if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size != 2 ||
        Fw_Unpack_U64(o, 0, &type) || type != FW_MSG_TYPE_SERVICE_STATS) {
        return -EBADMSG;
    }
    rows = Fw_Rows_Unpack(o, 1, FW_PARAMS_ROW_WIDTH);
    if (!rows) {
        return -EBADMSG;
    }
    for (guint i = 0; r->rules && i < r->rules->services->len; i++) {
        const struct fw_rl_service_rule *s =
            g_ptr_array_index(r->rules->services, i);

        if (s->has_engines) {
            import_params(r, s->name, rows);
        }
    }
    return 0;
}
