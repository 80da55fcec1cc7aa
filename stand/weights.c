/* Weight store: fetches are served one after another at a limited rate. */
#include <inttypes.h>

#include "stand/stand.h"

struct fw_stand_weights {
    struct fw_stand_port port;
    int64_t idle_us; /* time when all queued fetches are complete */
};

static int64_t
fetch_bytes_per_s(const struct fw_stand_weights *w)
{
    const struct fw_stand_fault *f =
        Fw_StandFault_Find(&w->port, "weights-rate");

    return MAX(f ? f->count : w->port.stand->opts.weights_bytes_per_s, 1);
}

int64_t
Fw_StandWeights_QueueFetch(struct fw_stand_port *weights)
{
    struct fw_stand_weights *w = weights->owner;
    int64_t now = g_get_monotonic_time();
    int64_t us =
        weights->stand->opts.weights_bytes * FW_SEC / fetch_bytes_per_s(w);

    if (Fw_StandFault_Find(weights, "die") ||
        Fw_StandFault_Trigger(weights, "refuse", "/weights")) {
        return -1;
    }
    w->idle_us = MAX(w->idle_us, now) + us;
    return (w->idle_us - now) / FW_MSEC;
}

static void
on_fetched(struct fw_stand_reply *r)
{
    Fw_StandReply_Text(r, 200, "application/json", "{}");
}

static void
handle(struct fw_stand_reply *r)
{
    struct fw_stand_weights *w = r->port->owner;
    int64_t left = w->idle_us - g_get_monotonic_time();
    int64_t each =
        w->port.stand->opts.weights_bytes * FW_SEC / fetch_bytes_per_s(w);

    if (g_str_has_prefix(r->path, "/weights/")) {
        Fw_StandReply_Schedule(r, Fw_StandWeights_QueueFetch(r->port),
                               on_fetched);
        return;
    }
    Fw_StandReply_Json(
        r, 200, "{\"rate_bytes_per_s\":%" PRId64 ",\"active\":%" PRId64 "}",
        fetch_bytes_per_s(w), left > 0 ? left / MAX(each, 1) + 1 : 0);
}

struct fw_stand_port *
Fw_StandWeights_New(struct fw_stand *s)
{
    struct fw_stand_weights *w = g_new0(struct fw_stand_weights, 1);

    w->port.owner = w;
    w->port.handle = handle;
    return Fw_StandPort_Open(&w->port, s, "weights", "weights", "");
}
