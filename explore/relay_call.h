/* Calls of a simulated fleet to servers, and how these end. */
#ifndef FW_EXPLORE_RELAY_CALL_H
#define FW_EXPLORE_RELAY_CALL_H

#include "explore/relay_fleet.h"

/**
 * struct relay_call - a call on its way to a server, or being served.
 * @instance, @boot: the instance that made it, and its lifetime
 * @server: index of the server
 * @arrive_us: when it reaches the server
 * @due_us: when it is to be answered
 * @opens_conn: it needs a new connection
 * @has_begun: its response has begun
 * @stream_us: duration of a stream, 0 for the usual one
 */
struct relay_call {
    struct fw_rl_upstream_call call;
    int instance;
    uint64_t boot;
    int server;
    int64_t arrive_us;
    int64_t due_us;
    int has_arrived;
    int opens_conn;
    int has_begun;
    int64_t stream_us;
};

/* A copy of an action's call that outlives the action. */
struct fw_rl_upstream_call
Fw_RelayCall_Copy(const struct fw_rl_upstream_call *up);
/* Removes the call @xid of instance @i, if any, from @calls. */
void
Fw_RelayCall_Cancel(GArray *calls, const struct fleet *fleet, int i,
                    uint64_t xid);
/* Tells the instance that the call has failed. */
void
Fw_RelayCall_Fail(struct fleet *fleet, const struct relay_call *c, int err,
                  int sent);
/*
 * Answers the call; a stream begins first, and is due again. @rejects: the
 * server says that it does not run the request. Return: nonzero if the call
 * has ended.
 */
int
Fw_RelayCall_Answer(struct fleet *fleet, struct relay_call *c, int rejects);

#endif
