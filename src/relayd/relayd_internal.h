/* Shared by the files of src/relayd. */
#ifndef FW_RELAYD_INTERNAL_H
#define FW_RELAYD_INTERNAL_H

#include <gio/gio.h>
#include <syslog.h>

#include "decide/response_end.h"
#include "held/held.h"
#include "http/client.h"
#include "platform/platform.h"
#include "relayd/relayd.h"

struct fw_peer_snapshot;

/**
 * struct fw_caller_request - a caller's request that has no full response yet.
 * @id: the number by which the core knows the request
 * @head, @body: owned by the caller's connection
 * @request_id: the caller's own id for it; may be empty
 * @forwarded_xid: upstream call whose response it receives, 0 for none
 */
struct fw_caller_request {
    uint64_t id;
    struct fw_http_caller *caller;
    const struct fw_http_head *head;
    GBytes *body;
    char *request_id;
    uint64_t forwarded_xid;
};

/**
 * struct fw_upstream_call - a call to an upstream.
 * @xid: id of the call
 * @caller_request_id: id in struct fw_caller_request, 0 when the call serves
 *                     no caller
 * @server: id of the server that it is meant for, empty for another instance
 * @fields: header lines to forward to the caller
 * @content_length: bytes of the response's body, -1 if unknown
 * @body: part of the response that is buffered
 * @body_size: memory of @body
 * @buffered: hold the response back until it is complete, unless it exceeds
 *            the buffer
 * @is_streaming: the route's responses are event streams
 * @is_refused: not sent, as too much waits to be read by the upstream or no
 *              descriptor is left
 * @has_no_body: the response has no body, whatever its head says
 * @response_started: the body is no longer buffered: it is forwarded to the
 *                    caller, or dropped when there is none
 * @complete: the response has been received in full
 * @framing: how the server marks the end of the response
 * @response_body: follows a response that is sent to the caller
 * @started_us: when it was started
 * @last_chunk_us: arrival of the last forwarded chunk, 0 for none
 * @addr: address of the upstream
 * @given: bytes of the request's body that the upstream holds
 * @account: what @fields and @body are charged to
 * @wait: pause until the caller's connection may hold more
 */
struct fw_upstream_call {
    struct fw_relayd *d;
    uint64_t xid;
    uint64_t caller_request_id;
    enum fw_rl_upstream_kind kind;
    char *request_id;
    char *server;
    struct fw_exchange *exchange;
    struct fw_rl_upstream_response answer;
    GString *fields;
    int64_t content_length;
    GByteArray *body;
    size_t body_size;
    int buffered;
    int is_streaming;
    int is_refused;
    int has_no_body;
    int response_started;
    int complete;
    enum fw_http_framing framing;
    struct fw_response_body response_body;
    int64_t started_us;
    int64_t last_chunk_us;
    char addr[FW_URL_MAX];
    size_t given;
    struct fw_held_account *account;
    size_t charged;
    struct fw_held_wait wait;
};

/**
 * struct fw_relayd - @outbox: messages to be sent to other instances.
 * @own_account: what is held for no connection
 * @held_level, @held_logged_us: the last level that was logged
 * @rejection_logged_us: when a request that can't be held was last logged
 */
struct fw_relayd {
    struct fw_relayd_opts opts;
    char *settings_path;
    int64_t settings_mtime_us;
    int64_t settings_checked_us; /* last check of the modification time */
    struct fw_relay *relay;
    struct fw_held *held;
    struct fw_held_account *own_account;
    size_t charged_log;
    enum fw_held_level held_level;
    int64_t held_logged_us;
    int64_t rejection_logged_us;
    struct fw_conn_pool *pool;
    struct fw_http_server *caller_server;
    struct fw_http_server *ready_server;
    struct fw_http_server *metrics_server;
    struct fw_http_server *peer_server; /* serves other instances */
    GSocket *peer_socket;
    GSource *peer_source;
    struct fw_rl_outbox outbox;
    struct fw_metric digests_unsent;
    struct fw_metric peer_messages_sent;
    struct fw_metric peer_bytes_sent;
    struct fw_metric peer_messages_received;
    struct fw_histogram chunk_gap_s;
    /* struct fw_http_caller to struct fw_caller_request */
    GHashTable *requests_by_caller;
    GHashTable *requests_by_id; /* id to struct fw_caller_request */
    GHashTable *upstream_calls; /* xid to struct fw_upstream_call */
    GQueue failed_calls;        /* xids of calls that failed to start */
    uint64_t last_request_id;
    struct fw_store_client *store;
    GSource *timer;
    guint signals[3];
    int64_t last_tick_us;
    int64_t drain_start_us;
    int stopped;
};

/* relayd.c */
/*
 * Has the core serve a request. @is_handed_over: it comes from another
 * instance, not from a caller
 */
void
Fw_Relayd_OpenRequest(struct fw_relayd *d, struct fw_http_caller *caller,
                      const struct fw_http_head *head, GBytes *body,
                      int is_handed_over);
/* Callback of struct fw_http_ops. */
void
Fw_Relayd_CloseRequest(void *ctx, struct fw_http_caller *caller);
/*
 * Logs a request that violated a limit or the protocol. A callback of struct
 * fw_http_ops.
 */
void
Fw_Relayd_LogMalformed(void *ctx, int status, const char *why);

/* memory.c */
void
Fw_Memory_Init(struct fw_relayd *d);
void
Fw_Memory_Free(struct fw_relayd *d);
void
Fw_Memory_ApplySettings(struct fw_relayd *d);
/* Ends pauses and logs a change of what is free. */
void
Fw_Memory_Tick(struct fw_relayd *d, int64_t now_us);
/*
 * Whether a request that can't be held is logged: one a second is, the metric
 * counts all.
 */
int
Fw_Memory_MayLogRejection(struct fw_relayd *d);
/* Pauses the upstream if the response's reader has too much to read. */
void
Fw_Memory_PauseIfBehind(struct fw_upstream_call *call,
                        struct fw_http_caller *caller);
/* Callbacks of struct fw_http_ops: everything, or a part of it, was sent. */
void
Fw_Relayd_ResumeResponse(void *ctx, struct fw_http_caller *caller);
void
Fw_Relayd_ContinueResponse(void *ctx, struct fw_http_caller *caller);
/* Writes the response to a request that was rejected for its size. */
void
Fw_Relayd_FormatRejection(void *ctx, const struct fw_http_head *head,
                          int status, const char *why, GString *fields,
                          GString *body);

/* upstream.c */
void
Fw_UpstreamCall_AddMetrics(struct fw_relayd *d);
/*
 * Sends a request to an upstream. A failure to start is reported to the core
 * by Fw_Relayd_ExecuteActions.
 */
void
Fw_UpstreamCall_Start(struct fw_relayd *d,
                      const struct fw_rl_upstream_call *c);
/* Reports the call @xid, which failed to start, to the core. */
void
Fw_UpstreamCall_ReportFailed(struct fw_relayd *d, uint64_t xid,
                             struct fw_rl_actions *acts);
/* Frees the call @xid, and cancels it when it is in flight. */
void
Fw_UpstreamCall_Remove(struct fw_relayd *d, uint64_t xid);
void
Fw_UpstreamCall_Free(gpointer data);
/* Whether the caller is sent the response. */
int
Fw_UpstreamCall_AnswersCaller(const struct fw_upstream_call *call);
/* Starts the response to @to with what @call has received so far. */
void
Fw_UpstreamCall_Forward(struct fw_upstream_call *call,
                        struct fw_caller_request *to);

/* upstream_log.c */
/*
 * Logs a response that is not whole: how the server marks the end of its body,
 * the @err of the connection, 0 if the server ended it, and where the events
 * of a stream end.
 */
void
Fw_UpstreamCall_LogBroken(const struct fw_upstream_call *call, int err);
/* Logs an answer that is not taken for the one to the call. */
void
Fw_UpstreamCall_LogUnmatched(const struct fw_upstream_call *call,
                             const struct fw_http_head *h);
/*
 * Logs a run that is given up before its upstream has answered, which may
 * still read and run what has been sent.
 */
void
Fw_UpstreamCall_LogAbandoned(const struct fw_upstream_call *call);

/* actions.c */
/*
 * Executes @acts and the actions that result from them, then clears @acts. May
 * free caller requests and upstream calls.
 */
void
Fw_Relayd_ExecuteActions(struct fw_relayd *d, struct fw_rl_actions *acts);

/* store_client.c */
struct fw_store_client *
Fw_StoreClient_New(struct fw_relayd *d);
void
Fw_StoreClient_Free(struct fw_store_client *s);
void
Fw_StoreClient_Tick(struct fw_store_client *s, int64_t now_us);
/*
 * Appends a claim of leadership at offset @end of its topic. The leader orders
 * stage changes of engines.
 */
void
Fw_StoreClient_ClaimLeadership(struct fw_store_client *s, uint64_t end);

/* store_apply.c */
/* Applies the records in @response to the core and, if any, to @snapshot. */
void
Fw_StoreClient_ApplyRecords(struct fw_relayd *d, enum fw_store_topic topic,
                            struct fw_peer_snapshot *snapshot,
                            const struct fw_store_response *response,
                            struct fw_rl_actions *acts);

/* peer_socket.c */
int
Fw_PeerSocket_Open(struct fw_relayd *d);
/* Sends the messages to other instances that are due. */
void
Fw_PeerSocket_SendDue(struct fw_relayd *d);
void
Fw_PeerSocket_Close(struct fw_relayd *d);

/* status.c */
int
Fw_Status_Listen(struct fw_relayd *d);
/* Nonzero when @path is the target of the request. */
int
Fw_Status_IsPath(const struct fw_http_head *h, const char *path);

/* peer_snapshot.c */
int
Fw_PeerSnapshot_Listen(struct fw_relayd *d);

#endif
