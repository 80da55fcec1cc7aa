/*
 * Rest that a server asks of this instance when it rejects a request.
 *
 * During the rest it is sent nothing. After it the instance probes with single
 * requests until one is accepted: a server that still rejects all would
 * otherwise get, and reject, as many as arrive before its first response.
 */
#ifndef FW_DECIDE_SERVER_REST_H
#define FW_DECIDE_SERVER_REST_H

#include <stdint.h>

/**
 * struct fw_server_rest - state of one server.
 * @until_us: it is sent nothing before this time
 * @probing: it has accepted no request since it asked for rest
 * @next_probe_us: earliest time of the next request while @probing
 */
struct fw_server_rest {
    int64_t until_us;
    int probing;
    int64_t next_probe_us;
};

/* The server has rejected a request and asks for @rest_us of rest. */
void
Fw_ServerRest_NoteRejected(struct fw_server_rest *r, int64_t rest_us,
                           int64_t now_us);
/* It has accepted a request, which may have been sent before the rest. */
void
Fw_ServerRest_NoteAccepted(struct fw_server_rest *r, int64_t now_us);
/* A request is being sent to it. */
void
Fw_ServerRest_NoteSent(struct fw_server_rest *r, int64_t now_us);
/* Whether the rest is over. */
int
Fw_ServerRest_IsOver(const struct fw_server_rest *r, int64_t now_us);
/* Earliest time from @now_us on at which a new request may be sent. */
int64_t
Fw_ServerRest_AvailableUs(const struct fw_server_rest *r, int64_t now_us);

#endif
