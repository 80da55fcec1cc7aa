#include "explore/relay_call.h"

struct fw_rl_upstream_call
Fw_RelayCall_Copy(const struct fw_rl_upstream_call *up)
{
    struct fw_rl_upstream_call copy = *up;

    copy.server = g_intern_string(up->server);
    copy.team = g_intern_string(up->team);
    copy.path = g_intern_string(up->path);
    return copy;
}

/* Duration of a stream. */
#define FW_STREAM_US (300 * FW_MSEC)

void
Fw_RelayCall_Cancel(GArray *calls, const struct fleet *fleet, int i,
                    uint64_t xid)
{
    for (guint k = 0; k < calls->len; k++) {
        const struct relay_call *c =
            &g_array_index(calls, struct relay_call, k);

        if (c->instance == i && c->call.xid == xid &&
            c->boot == fleet->instances[i].boot) {
            g_array_remove_index_fast(calls, k);
            return;
        }
    }
}

void
Fw_RelayCall_Fail(struct fleet *fleet, const struct relay_call *c, int err,
                  int sent)
{
    struct fleet_instance *inst = &fleet->instances[c->instance];

    Fw_Relay_UpstreamFailed(inst->relay, c->call.xid, err, sent,
                            Fw_RelayFleet_Now(fleet, c->instance),
                            &inst->acts);
}

static void
respond(struct fleet *fleet, const struct relay_call *c, int rejects,
        int begins)
{
    struct fleet_instance *inst = &fleet->instances[c->instance];
    int64_t now = Fw_RelayFleet_Now(fleet, c->instance);
    struct fw_rl_upstream_response ans = {.status = rejects ? 503 : 200,
                                          .limit_milli = FW_NO_LIMIT,
                                          .not_run = rejects,
                                          .orders = -1};

    if (!rejects) {
        g_strlcpy(ans.handle, "h", sizeof(ans.handle));
    }
    if (!c->has_begun) {
        Fw_Relay_ResponseHead(inst->relay, c->call.xid, &ans, now,
                              &inst->acts);
    }
    if (begins) {
        Fw_Relay_ResponseBegan(inst->relay, c->call.xid, &ans, now,
                               &inst->acts);
    }
    else {
        Fw_Relay_ResponseEnded(inst->relay, c->call.xid, &ans, now,
                               &inst->acts);
    }
}

int
Fw_RelayCall_Answer(struct fleet *fleet, struct relay_call *c, int rejects)
{
    int streams = c->call.kind == FW_RL_UP_RUN && !c->call.buffer_response;

    if (streams && !c->has_begun && !rejects) {
        c->due_us += c->stream_us ? c->stream_us : FW_STREAM_US;
        respond(fleet, c, 0, 1);
        c->has_begun = 1;
        return 0;
    }
    respond(fleet, c, rejects && !c->has_begun, 0);
    return 1;
}
