/* Callers' requests and the upstream calls that serve them. */
#ifndef FW_RELAY_CALLS_H
#define FW_RELAY_CALLS_H

#include "decide/finish_time.h"
#include "decide/length.h"
#include "relay/servers.h"
#include "route/queue.h"

struct fw_rl_member;

/* Maximum number of servers that one request may try. */
#define FW_RL_TRIED_MAX 6
/*
 * Maximum idle time of a connection reused for a request that must not be
 * retried: if the connection has died meanwhile, the request is lost with it.
 */
#define FW_RL_REUSE_NON_IDEMPOTENT_US (1 * FW_SEC)
/* Maximum idle time of a connection reused for any other request. */
#define FW_RL_REUSE_US (60 * FW_SEC)
/* A server that does not accept a connection in time is unreachable. */
#define FW_RL_CONNECT_TIMEOUT_US (250 * FW_MSEC)
/* Retry-After when another instance can serve the request now. */
#define FW_RL_RETRY_ELSEWHERE_US (50 * FW_MSEC)
/* Timeout for releasing a reservation or KV cache, which expire anyway. */
#define FW_RL_RELEASE_TIMEOUT_US (1 * FW_SEC)

enum fw_rl_call_state {
    FW_RL_QUEUED,     /* waiting for an engine with enough memory */
    FW_RL_RESERVING,  /* a reservation was requested of an engine */
    FW_RL_PREFILLING, /* a prefill engine prefills the prompt */
    FW_RL_RUNNING,    /* sent to the server that generates the response */
    FW_RL_STARTING,   /* waiting for this instance to have started */
};

/**
 * struct fw_rl_call - a caller's request until its response has ended.
 * @rules: configuration that @route and @service are part of, NULL before it
 *     is routed
 * @team_rules: configuration that @team and @team_regions are part of, which
 *     may be newer; NULL for none
 * @route: its route, never NULL
 * @service: name of its service, empty before it is routed
 * @team: name of its team, empty for none
 * @team_regions: regions that its team is restricted to
 * @priority: 0 most urgent
 * @opened_us: when it was received
 * @deadline_us: when it times out
 * @queue_limit_us: maximum time in the queue
 * @queue_until_us: when it is rejected if still queued
 * @cost: tokens that it costs of its team's allowance
 * @is_charged: @cost was taken, and is refunded if it never runs
 * @kv_tokens: expected KV cache use, averaged over its run; 0 for a plain
 *     request
 * @length: predicted length of its answer
 * @reservation_tokens: KV cache tokens to reserve at the engine
 * @prefill_queue_tokens: prompt tokens queued at @prefill_server when its
 *     prompt was sent there, its own included
 * @server: server that it runs on
 * @prefill_server: engine that prefills its prompt, NULL for @server
 * @reservation: reservation at @server, empty for none
 * @kv_handle: KV cache at @prefill_server, empty for none
 * @kv_addr: address of the engine that holds @kv_handle
 * @is_prefilling: its prompt counts in @prefill_server's prefill_tokens
 * @is_committed: counted in @server's sends as a request to follow
 * @reserved_us: when its reservation was granted, 0 if not yet
 * @sent_us: when it was sent to @server, 0 if not yet
 * @response_us: when its response began, 0 if not yet
 * @op: pending call to an upstream, NULL for none
 * @attempts: servers that may have run it
 * @calls_received: its prefills and runs that an engine may have received
 * @calls_charged: those of them that the retry budget was charged for
 * @n_unconnected: tries that ended as no connection to the server was
 *     established
 * @is_declined: a server has received it and said that it does not run it
 * @counted_us: when it was counted as a request of its service, 0 if it is
 *     not
 * @sent_by_us: when its caller has sent it at the earliest, as counted then
 * @is_too_late: this instance stops before a further try could finish
 * @retries_charged: retries of a plain request that the retry budget was
 *     charged for
 * @handovers: instances that it was handed over to
 * @resumes: if no other instance takes it, it goes on here
 * @gives_up: the reason for which it is rejected if no other instance takes
 *     it, NULL for none
 * @is_forwarded: its response has begun
 * @status: status of the server's response, 0 if it has none
 * @is_response_good: that status says that it was served
 * @lasting_us: tick at which its response had first lasted so long that it has
 *     not crashed its server, 0 for none
 * @has_lasted: it still did at a later tick
 * @is_noted_sound: it counts as having run well
 * @ran: whether it was run
 * @tried: hashes of the servers to avoid
 * @service_hash: hash of the name of its service, for generation requests
 * @is_waiting: it counts as waiting, with @waiting_tokens
 * @is_less_urgent: requests of its service may have more urgent ranks
 * @late_from_us: when it can no longer meet its objective if it is queued
 * @is_late: it counts as late
 * @is_held: it was held back for others, and waits for a reservation
 * @is_hold_logged: the log says that it was held back
 * @decided_us: when it was last decided whether to place it
 * @chance, @chance_us: what it drew, and when; see decide/precedence.h
 * @yields: reservations that it has given up for more urgent requests
 * @is_repeat: its caller has been rejected before
 * @spent_before_us: time that its caller had spent before, 0 if unknown
 * @is_wait_known: @expected_wait_us is set
 * @expected_wait_us: expected wait for a slot at its server
 */
struct fw_rl_call {
    struct fw_list link;
    uint64_t id;
    struct fw_rl_request_info info;
    struct fw_rl_rules *rules;
    struct fw_rl_rules *team_rules;
    const struct fw_rl_route_rule *route;
    const char *service;
    const char *team;
    struct fw_rl_regions team_regions;
    int priority;
    enum fw_rl_call_state state;
    int64_t opened_us;
    int64_t deadline_us;
    int64_t queue_limit_us;
    int64_t queue_until_us;
    int64_t cost;
    int is_charged;
    int64_t kv_tokens;
    struct fw_length_estimate length;
    int64_t reservation_tokens;
    int64_t prefill_queue_tokens;
    struct fw_rl_server *server;
    struct fw_rl_server *prefill_server;
    char reservation[FW_RL_HANDLE_MAX];
    char kv_handle[FW_RL_HANDLE_MAX];
    char kv_addr[FW_URL_MAX];
    int is_prefilling;
    int is_committed;
    int64_t reserved_us;
    int64_t sent_us;
    int64_t response_us;
    struct fw_rl_op *op;
    int attempts;
    int calls_received;
    int calls_charged;
    int n_unconnected;
    int is_declined;
    int64_t counted_us;
    int64_t sent_by_us;
    int is_too_late;
    int retries_charged;
    int handovers;
    int resumes;
    const char *gives_up;
    int is_forwarded;
    int status;
    int is_response_good;
    int64_t lasting_us;
    int has_lasted;
    int is_noted_sound;
    enum fw_ran ran;
    uint64_t tried[FW_RL_TRIED_MAX];
    int n_tried;
    uint64_t service_hash;
    int is_waiting;
    int64_t waiting_tokens;
    int is_less_urgent;
    int64_t late_from_us;
    int is_late;
    int is_held;
    int is_hold_logged;
    int64_t decided_us;
    double chance;
    int64_t chance_us;
    int yields;
    int is_repeat;
    int64_t spent_before_us;
    int is_wait_known;
    int64_t expected_wait_us;
    struct fw_queue_item item;
};

/**
 * struct fw_rl_op - a pending call to an upstream.
 * @call: the caller's request, NULL if it serves none
 * @server: the server called, NULL if another instance is
 * @instance: hash of the name of the instance called
 * @deadline_us: when it times out
 * @overdue_us: when a second attempt is looked for, 0 for never
 * @is_overdue: its server was found to be late
 * @n_running: requests of all instances at the server then
 * @had_free_slot: the server had a free slot when the call was sent
 * @had_idle_server: half of the server's slots were free then
 * @is_calibration: a report requested only to learn the tokens per event
 */
struct fw_rl_op {
    struct fw_list link;
    uint64_t xid;
    enum fw_rl_upstream_kind kind;
    struct fw_rl_call *call;
    struct fw_rl_server *server;
    uint64_t instance;
    int64_t sent_us;
    int64_t deadline_us;
    int64_t overdue_us;
    int is_overdue;
    int n_running;
    int had_free_slot;
    int had_idle_server;
    int is_calibration;
};

/* call.c */
/*
 * Calls the upstream @s; the call times out at the given time.
 * @c: the request that the call serves, NULL for none
 * @up: the call; ids and address are filled in
 */
struct fw_rl_op *
Fw_Call_Upstream(struct fw_relay *r, struct fw_rl_call *c,
                 struct fw_rl_server *s, struct fw_rl_upstream_call *up,
                 int64_t until_us, int64_t now_us, struct fw_rl_actions *out);
/*
 * Calls the instance @m to serve @c.
 * @up: the call; ids and address are filled in
 */
void
Fw_Call_Handover(struct fw_relay *r, struct fw_rl_call *c,
                 const struct fw_rl_member *m, struct fw_rl_upstream_call *up,
                 int64_t now_us, struct fw_rl_actions *out);
/* The pending call, NULL if there is none. */
struct fw_rl_op *
Fw_Relay_FindOp(const struct fw_relay *r, uint64_t xid);
/* Frees @op; a response that arrives later is ignored. */
void
Fw_Op_End(struct fw_relay *r, struct fw_rl_op *op);
/* Time that the caller will wait, which may be more than to the deadline. */
int64_t
Fw_Call_LeftUs(const struct fw_rl_call *c, int64_t now_us);
/*
 * Ends @c with an error response. A status that says that the request was not
 * run is replaced by 502 if it may have run.
 */
void
Fw_Call_Reject(struct fw_relay *r, struct fw_rl_call *c, int status,
               int64_t retry_us, const char *reason, int64_t now_us,
               struct fw_rl_actions *out);
/* Frees @c and what it holds; its response has ended or has no recipient. */
void
Fw_Call_End(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us,
            struct fw_rl_actions *out);
/* Cancels @c's pending call and releases its reservation and KV cache. */
void
Fw_Call_Release(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us,
                struct fw_rl_actions *out);
/* Starts forwarding the response of @c's pending call. */
void
Fw_Call_Forward(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us,
                struct fw_rl_actions *out);
/* Detaches @c from its server without releasing its reservation there. */
void
Fw_Call_DetachServer(struct fw_rl_call *c);
/* Removes @c's prompt from the load of its prefill engine. */
void
Fw_Call_EndPrefill(struct fw_rl_call *c);
/* Severity of @c's log lines that report no problem; depends on sampling. */
int
Fw_Call_LogSeverity(const struct fw_relay *r, const struct fw_rl_call *c);
/* Ends the forwarded response of @c, complete if @whole, else aborted. */
void
Fw_Call_Finish(struct fw_relay *r, struct fw_rl_call *c, int whole,
               int64_t now_us, struct fw_rl_actions *out);

/* open.c */
/* Checks the key and the allowance of @c, and sends it to a server. */
void
Fw_Relay_Admit(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us,
               struct fw_rl_actions *out);
/* Whether callers' keys may be accepted; see open.c. */
int
Fw_Relay_AreKeysFresh(const struct fw_relay *r, int64_t now_us);
/*
 * Takes back that @c was counted and charged, as another instance will count
 * and charge it. Its team stays known.
 */
void
Fw_Relay_Uncount(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us);
/*
 * Counts and charges @c again, which no other instance has taken. Return:
 * nonzero if it may be sent to a server, 0 if it was rejected and freed.
 */
int
Fw_Relay_Recount(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us,
                 struct fw_rl_actions *out);
/* Whether @c goes through prefill and decode. */
int
Fw_Relay_NeedsEngines(const struct fw_relay *r, const struct fw_rl_call *c);
/* Retry-After in us for requests rejected because keys are stale. */
int64_t
Fw_Relay_StaleRetryUs(struct fw_relay *r, int64_t now_us);
/* Whether @c may still be sent to a server; checked again before sending. */
int
Fw_Relay_MayServe(const struct fw_relay *r, const struct fw_rl_call *c,
                  int64_t now_us);

/* Routes @c and admits or rejects it. */
void
Fw_Relay_Serve(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us,
               struct fw_rl_actions *out);

/* starting.c */
/* Return: nonzero if @c has to wait until this instance can serve it. */
int
Fw_Starting_Hold(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us);
/* @c no longer waits, if it did. */
void
Fw_Starting_Forget(struct fw_relay *r, struct fw_rl_call *c);
/* Serves the requests that waited if this instance can, or has waited long. */
void
Fw_Starting_Resume(struct fw_relay *r, int64_t now_us,
                   struct fw_rl_actions *out);

/**
 * struct fw_rl_kind_times - requests of one kind to one service.
 * @whole: from their arrival to the end of the response
 * @run: from when they were last sent to a server
 * @begin: from then until the response began, if it was good
 */
struct fw_rl_kind_times {
    struct fw_finish_times whole;
    struct fw_finish_times run;
    struct fw_finish_times begin;
};

/* kind_times.c */
void
Fw_KindTimes_Init(struct fw_relay *r);
void
Fw_KindTimes_Clear(struct fw_relay *r);
/* The times of requests like @c, NULL if none is known. */
const struct fw_rl_kind_times *
Fw_KindTimes_Find(const struct fw_relay *r, const struct fw_rl_call *c);
/* @c has got a response as a whole, or has timed out. */
void
Fw_KindTimes_NoteEnd(struct fw_relay *r, const struct fw_rl_call *c,
                     int64_t now_us);

/* stopping.c */
/*
 * Whether this instance stops before @c could finish if it was sent to a
 * server now; it is logged then.
 * @is_begun: it has been admitted before, and is about to be sent
 */
int
Fw_Stopping_Rejects(struct fw_relay *r, struct fw_rl_call *c, int is_begun,
                    int64_t now_us, struct fw_rl_actions *out);
/* Return: nonzero if @c was rejected and freed, as the above holds. */
int
Fw_Stopping_RejectIfLate(struct fw_relay *r, struct fw_rl_call *c,
                         int is_begun, int64_t now_us,
                         struct fw_rl_actions *out);

/* plain.c */
void
Fw_Plain_Send(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us,
              struct fw_rl_actions *out);
/* Goes on with @c, which no other instance has taken. */
void
Fw_Plain_Resume(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us,
                struct fw_rl_actions *out);
void
Fw_Plain_HandleResponse(struct fw_relay *r, struct fw_rl_op *op,
                        const struct fw_rl_upstream_response *ans,
                        int64_t now_us, struct fw_rl_actions *out);
/* Ends @op, whose server refused the request, but may have run it. */
void
Fw_Plain_HandleRefusal(struct fw_relay *r, struct fw_rl_op *op, int64_t now_us,
                       struct fw_rl_actions *out);
/*
 * The server of @op, which may be tried elsewhere, has not begun to respond in
 * time. Return: nonzero if the attempt is to be given up.
 */
int
Fw_Plain_GivesUp(struct fw_relay *r, struct fw_rl_op *op, int64_t now_us,
                 struct fw_rl_actions *out);
void
Fw_Plain_HandleFailure(struct fw_relay *r, struct fw_rl_op *op, int err,
                       int sent, int64_t now_us, struct fw_rl_actions *out);

/* stream.c */
void
Fw_Stream_Open(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us,
               struct fw_rl_actions *out);
/* Queues @c again, which no other instance has taken. */
void
Fw_Stream_Resume(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us,
                 struct fw_rl_actions *out);
/*
 * Charges the retry budget for the calls of @c that engines have received in
 * vain, as many of which will be made again. Return: the number of calls
 * charged, or -EDQUOT if the budget does not allow them.
 */
int
Fw_Stream_ChargeRetry(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us,
                      struct fw_rl_actions *out);
/* Requests reservations for queued requests while an engine has room. */
void
Fw_Stream_PlaceQueued(struct fw_relay *r, int64_t now_us,
                      struct fw_rl_actions *out);
void
Fw_Stream_HandleResponse(struct fw_relay *r, struct fw_rl_op *op,
                         const struct fw_rl_upstream_response *ans,
                         int64_t now_us, struct fw_rl_actions *out);
/* Ends @op, whose engine refused the run, but may have begun it. */
void
Fw_Stream_HandleRefusal(struct fw_relay *r, struct fw_rl_op *op,
                        int64_t now_us, struct fw_rl_actions *out);
void
Fw_Stream_HandleFailure(struct fw_relay *r, struct fw_rl_op *op, int err,
                        int sent, int64_t now_us, struct fw_rl_actions *out);
/* Retry-After in us for a rejected stream. */
int64_t
Fw_Stream_RetryAfter(struct fw_relay *r, const struct fw_rl_call *c);

/* pause.c */
/* To be called at the beginning of each tick. */
void
Fw_Pause_NoteTick(struct fw_relay *r, int64_t now_us);
/* When a request that is read now has been sent at the earliest. */
int64_t
Fw_Pause_EarliestSentUs(const struct fw_relay *r, int64_t now_us);

/* links.c */
/* The links to the servers of @service at @stage, added if new. */
struct fw_rl_stage_links *
Fw_Links_OfStage(struct fw_relay *r, const char *service,
                 enum fw_rl_stage stage);
/* The server @s has responded. */
void
Fw_Links_NoteResponse(struct fw_relay *r, struct fw_rl_server *s,
                      int64_t now_us);
/* The call @op to a server has failed; @sent: it may have received it. */
void
Fw_Links_NoteFailure(struct fw_relay *r, const struct fw_rl_op *op, int sent,
                     int64_t now_us);
/* The server @s is no longer listed. */
void
Fw_Links_NoteGone(struct fw_rl_server *s);
/* Whether this instance has lost its links to all servers. */
int
Fw_Links_AreAllLost(const struct fw_relay *r, int64_t now_us);
/*
 * Whether this instance has lost its links to all servers, to those that @c
 * needs, or can't connect to any of these now. The engines that prefill are
 * not needed, as those that decode do it as well.
 */
int
Fw_Links_AreLostFor(const struct fw_relay *r, const struct fw_rl_call *c,
                    int64_t now_us);
/*
 * Whether it is no sign of a server's end that this instance can't connect to
 * @s: the same holds for the other servers of its service at its stage.
 */
int
Fw_Links_AreInDoubt(const struct fw_relay *r, const struct fw_rl_server *s,
                    int64_t now_us);
/* Asks the server for its health. */
void
Fw_Links_Probe(struct fw_relay *r, struct fw_rl_server *s, int64_t now_us,
               struct fw_rl_actions *out);
/* Probes a server while calls fail and none responds. */
void
Fw_Links_Tick(struct fw_relay *r, int64_t now_us, struct fw_rl_actions *out);

/* handover.c */
/* Return: nonzero if @c was handed over to another instance. */
int
Fw_Handover_Start(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us,
                  struct fw_rl_actions *out);
/*
 * Whether no server has received @c, or said that it does not run it, and no
 * connection was established at one of its tries.
 */
int
Fw_Handover_IsUnconnected(const struct fw_rl_call *c);
/*
 * Hands over @c, which has had its tries at servers, if none of them reached
 * one; or which waits for servers that can't be reached from here.
 * @gives_up: the reason for which it is rejected if no instance takes it;
 *     NULL if it goes on here then
 * Return: nonzero if it was handed over.
 */
int
Fw_Handover_Rescue(struct fw_relay *r, struct fw_rl_call *c,
                   const char *gives_up, int64_t now_us,
                   struct fw_rl_actions *out);
/* The other instance's response is passed on from now on. */
void
Fw_Handover_BeginResponse(struct fw_relay *r, struct fw_rl_op *op,
                          const struct fw_rl_upstream_response *ans,
                          int64_t now_us, struct fw_rl_actions *out);
void
Fw_Handover_HandleResponse(struct fw_relay *r, struct fw_rl_op *op,
                           const struct fw_rl_upstream_response *ans,
                           int64_t now_us, struct fw_rl_actions *out);
void
Fw_Handover_HandleFailure(struct fw_relay *r, struct fw_rl_op *op, int sent,
                          int64_t now_us, struct fw_rl_actions *out);

/* kv_demand.c */
/* Updates the expected KV cache use of @c, also in its server's total. */
void
Fw_KvDemand_Update(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us);
/* KV cache tokens to reserve for @c at an engine. */
int64_t
Fw_KvDemand_Reservation(const struct fw_relay *r, const struct fw_rl_call *c);
/* Updates the statistics after a complete stream of @events events. */
void
Fw_KvDemand_NoteStreamEnd(struct fw_relay *r, const struct fw_rl_call *c,
                          int64_t events, int64_t now_us);

#endif
