/* Declarations private to src/request. */
#ifndef FW_REQUEST_INTERNAL_H
#define FW_REQUEST_INTERNAL_H

#include <glib.h>

#include "base/list.h"
#include "request/directory.h"
#include "request/poison.h"
#include "request/request.h"

#define FW_ATTEMPTS_MAX 3 /* attempts per request */
#define FW_RESUMES_MAX 3  /* resumes of one attempt's decode stream */
/* Out-of-order pieces are buffered up to this far ahead of the next one. */
#define FW_REORDER_PIECES_MAX 1024
#define FW_LOOKUP_TIMEOUT_US (50 * FW_MSEC)  /* directory lookup */
#define FW_STRIKE_TIMEOUT_US (200 * FW_MSEC) /* reply to a strike report */
#define FW_JOIN_TIMEOUT_US (500 * FW_MSEC)   /* reply to a join */
#define FW_OWNER_TIMEOUT_US (10 * FW_SEC)    /* silence of a joined owner */
/* How long a request with a caller's id decodes on without subscribers. */
#define FW_REJOIN_GRACE_US (2 * FW_SEC)
/* Finished answers of requests with a caller's id are retained this long. */
#define FW_RETENTION_US (60 * FW_SEC)
#define FW_RETAINED_BYTES_MAX (4L * 1024 * 1024)
#define FW_PREFILL_TIMEOUT_US (30 * FW_SEC)
#define FW_IMPORT_TIMEOUT_US (3 * FW_SEC)
#define FW_PIECE_TIMEOUT_US (3 * FW_SEC) /* silence of a decode stream */
#define FW_SERVICE_TIMEOUT_US (10 * FW_SEC)
#define FW_SERVICE_ATTEMPTS_MAX 3

/** enum fw_stage - what a request waits for. */
enum fw_stage {
    FW_STAGE_LOOKUP,  /* the directory's reply */
    FW_STAGE_BUDGET,  /* tokens from its team's budget */
    FW_STAGE_QUEUE,   /* a prefill and a decode engine */
    FW_STAGE_PREFILL, /* the prefill engine */
    FW_STAGE_IMPORT,  /* the KV transfer to the decode engine */
    FW_STAGE_DECODE,  /* pieces from the decode engine */
    FW_STAGE_STRIKE,  /* the coordinator's reply to a strike report */
    FW_STAGE_REMOTE,  /* the answer from the instance that runs it */
    FW_STAGE_IDEM,    /* the idempotency record of a service call */
    FW_STAGE_SERVICE, /* the server of a service call */
    FW_STAGE_IDLE,    /* nothing: between stages, holds no resources */
    FW_STAGE_DONE,    /* nothing: finished, the answer is retained */
};

/**
 * struct fw_subscriber - receives the answer of a request: a caller of this
 * instance, or another instance that joined the request.
 * @call: handle of the caller, 0 for an instance
 * @peer: name of the instance, empty for a caller
 * @ticket: the joined request's ticket on @peer
 * @next_index: index of the next piece to send
 * @started: nonzero once the start of the answer was sent
 */
struct fw_subscriber {
    struct fw_list link;
    struct fw_request *rq;
    uint64_t call;
    char peer[FW_NAME_MAX];
    uint64_t ticket;
    int64_t next_index;
    int started;
};

/**
 * struct fw_request - a completion or a service call.
 * @ticket: identifies it to the limiter, router and idempotency records;
 *          carries no FW_OWNER_* bits, since those subsystems may derive log
 *          tickets from it
 * @id: from the caller, or generated
 * @key: Fw_Join_Key of team and the caller's request id, 0 when the caller
 *       gave none
 * @digest: hash of the caller's bearer key
 * @body: prompt, or body of the service call
 * @fingerprint: hash of model and prompt, see poison.h
 * @arrived_us: when its wait began; reset when it is taken over from another
 *              instance
 * @stage_deadline_us: when the stage times out, 0 for never
 * @granted_tokens: tokens requested from the budget and not yet refunded
 * @ran: strongest verdict over all attempts
 * @seq: number of the running attempt in its engine-side id, 0 for none
 * @op: running upstream call, 0 for none
 * @prefill: prefill engine
 * @decode: decode engine, or the server of a service call
 * @kv_id: the prefill engine's id of the KV
 * @resumes: resumes within the running attempt
 * @strikes: strikes that this request has reported
 * @failed_upstreams: engines or servers to avoid in the next attempt
 * @output: text emitted so far
 * @piece_ends: end offset in @output of each piece emitted, guint32
 * @reorder: pieces received ahead of their turn, index to text
 * @expected_pieces: number of pieces once the engine has reported it, else -1
 * @owner: instance that runs it, in FW_STAGE_REMOTE
 * @probing: a join was sent to @owner and not yet acknowledged
 * @sent_us: when the service call was sent
 */
struct fw_request {
    struct fw_list link;
    struct fw_list subscribers;
    uint64_t ticket;
    enum fw_call_kind kind;
    enum fw_stage stage;
    char id[FW_ID_MAX];
    uint64_t key;
    char digest[FW_DIGEST_HEX_SIZE];
    char team[FW_NAME_MAX];
    char model[FW_NAME_MAX];
    GBytes *body;
    uint64_t fingerprint;
    int64_t prompt_tokens;
    int64_t max_tokens;
    int64_t deadline_us;
    int64_t arrived_us;
    int64_t stage_deadline_us;
    int64_t granted_tokens;
    enum fw_ran ran;

    uint64_t seq;
    uint64_t op;
    char prefill[FW_NAME_MAX];
    char decode[FW_NAME_MAX];
    char kv_id[FW_ID_MAX];
    int attempts;
    int resumes;
    int strikes;
    char failed_upstreams[FW_ATTEMPTS_MAX][FW_NAME_MAX];
    int n_failed_upstreams;
    int64_t cached_tokens;
    int64_t transfer_us;

    GString *output;
    GArray *piece_ends;
    GHashTable *reorder;
    int64_t expected_pieces;
    char finish_reason[16];

    char owner[FW_NAME_MAX];
    int probing;

    /* Service calls. */
    char service[FW_NAME_MAX];
    char method[16];
    char *path;
    char content_type[64];
    char idem_key[FW_ID_MAX];
    int idempotent;
    int64_t sent_us;
};

/**
 * struct fw_orphan_candidate - a request found on an engine whose owner is
 * suspected dead, dead or unknown.
 * @first_seen_us: first poll that listed it without a live owner
 * @last_seen_us: latest such poll
 */
struct fw_orphan_candidate {
    int64_t first_seen_us;
    int64_t last_seen_us;
};

/**
 * struct fw_orphans - state of the orphan collector, see orphan.c.
 * @next_poll_us: when the engines coordinated here are polled next
 * @fast_poll_until_us: polls are frequent until then
 * @alive_members: members alive at the last tick
 * @pending_polls: running poll's op to the engine's name
 * @candidates: engine-side id to struct fw_orphan_candidate
 */
struct fw_orphans {
    int64_t next_poll_us;
    int64_t fast_poll_until_us;
    guint alive_members;
    GHashTable *pending_polls;
    GHashTable *candidates;
};

struct fw_request_counters {
    struct fw_metric opened;
    struct fw_metric finished;
    struct fw_metric refused;
    struct fw_metric failed;
    struct fw_metric cancelled;
    struct fw_metric joined;
    struct fw_metric retried;
    struct fw_metric resumed;
    struct fw_metric quarantined;
    struct fw_metric orphans;
    struct fw_metric wasted;
};

/**
 * struct fw_requests - all requests of one instance.
 * @all: in order of arrival; finished ones move to the end
 * @by_call: caller's handle to struct fw_subscriber
 * @by_op: running upstream call to struct fw_request
 * @by_seq: running attempt to struct fw_request
 * @by_key: struct fw_request.key to struct fw_request
 * @retained_bytes: output of the finished requests that are retained
 * @n_retained: number of these requests
 */
struct fw_requests {
    struct fw_request_deps deps;
    struct fw_list all;
    GHashTable *by_ticket;
    GHashTable *by_call;
    GHashTable *by_op;
    GHashTable *by_seq;
    GHashTable *by_key;
    uint64_t next_ticket;
    uint64_t next_op;
    uint64_t next_seq;
    int64_t retained_bytes;
    int n_retained;
    struct fw_directory directory;
    struct fw_poison poison;
    struct fw_orphans orphans;
    struct fw_request_counters counters;
};

/* request.c */
struct fw_request *
Fw_Request_New(struct fw_requests *rs, int64_t now_us);
/* Creates a request for @call, with the caller's id or a generated one, and
 * subscribes the caller to it. */
struct fw_request *
Fw_Request_FromCall(struct fw_requests *rs, const struct fw_call *call,
                    const struct fw_team *team, int64_t now_us);
/* Frees @rq and its subscribers without notifying anyone. */
void
Fw_Request_Free(struct fw_requests *rs, struct fw_request *rq);
/* Return: the request, or NULL when there is none with @ticket. */
struct fw_request *
Fw_Request_ByTicket(const struct fw_requests *rs, uint64_t ticket);
/* Gives @rq a new upstream call number and indexes it. */
void
Fw_Request_AssignOp(struct fw_requests *rs, struct fw_request *rq);
void
Fw_Request_ClearOp(struct fw_requests *rs, struct fw_request *rq);
/* Gives @rq a new attempt number and indexes it. */
void
Fw_Request_AssignSeq(struct fw_requests *rs, struct fw_request *rq);
/* Formats the engine-side id "INSTANCE.BOOT.SEQ", with BOOT in hex. */
void
Fw_Request_EngineId(const struct fw_requests *rs, uint64_t seq, char *out,
                    size_t size);
const char *
Fw_Request_StageName(enum fw_stage stage);
/* Adds a line to the trace of @rq that `explain` shows. */
void
Fw_Request_Trace(struct fw_requests *rs, const struct fw_request *rq,
                 int64_t now_us, const char *fmt, ...)
    __attribute__((format(printf, 4, 5)));

/* subscriber.c */
void
Fw_Subscriber_AddCall(struct fw_requests *rs, struct fw_request *rq,
                      uint64_t call);
void
Fw_Subscriber_AddPeer(struct fw_request *rq, const char *peer,
                      uint64_t ticket);
void
Fw_Subscriber_Remove(struct fw_requests *rs, struct fw_subscriber *sub);
struct fw_subscriber *
Fw_Subscriber_FindCall(const struct fw_requests *rs, uint64_t call);
struct fw_subscriber *
Fw_Subscriber_FindPeer(const struct fw_request *rq, const char *peer,
                       uint64_t ticket);
/* Sends each subscriber the pieces it lacks; in FW_STAGE_DONE also the end,
 * after which the subscriber is removed. */
void
Fw_Subscriber_Flush(struct fw_requests *rs, struct fw_request *rq,
                    struct fw_actions *out);
/* Sends @fail to all subscribers and removes them; @fail->call is set for
 * each caller. */
void
Fw_Subscriber_FailAll(struct fw_requests *rs, struct fw_request *rq,
                      struct fw_call_fail *fail, struct fw_actions *out);

/* fail.c */
/* Answers @call with an error before a request was created for it. */
void
Fw_Request_Refuse(struct fw_actions *out, const struct fw_call *call,
                  int status, const char *code, const char *message,
                  int64_t retry_after_us);
/* Releases what @rq holds, sends the error to its subscribers, frees @rq. */
void
Fw_Request_Fail(struct fw_requests *rs, struct fw_request *rq, int status,
                const char *code, const char *message, int64_t retry_after_us,
                int64_t now_us, struct fw_actions *out);
/* Stops the running call, cancels the request on its engines and refunds
 * unused tokens, as the stage requires. */
void
Fw_Request_Release(struct fw_requests *rs, struct fw_request *rq,
                   int64_t now_us, struct fw_actions *out);

/* open.c */
/* Asks the limiter for the request's tokens; moves to FW_STAGE_BUDGET. */
void
Fw_Request_AcquireBudget(struct fw_requests *rs, struct fw_request *rq,
                         int64_t now_us, struct fw_actions *out);

/* attempt.c */
/* Asks the router for engines; moves to FW_STAGE_QUEUE. */
void
Fw_Request_Enqueue(struct fw_requests *rs, struct fw_request *rq,
                   int64_t now_us, struct fw_actions *out);
void
Fw_Request_OnPrefill(struct fw_requests *rs, struct fw_request *rq,
                     const struct fw_up_event *ev, int64_t now_us,
                     struct fw_actions *out);
void
Fw_Request_OnImport(struct fw_requests *rs, struct fw_request *rq,
                    const struct fw_up_event *ev, int64_t now_us,
                    struct fw_actions *out);
/* Starts a call of @kind, FW_UP_DECODE or FW_UP_RESUME, from the next piece.
 * Return: 0, or -ENOENT when the engine is no longer configured. */
int
Fw_Request_StartDecode(struct fw_requests *rs, struct fw_request *rq,
                       enum fw_up_kind kind, struct fw_actions *out);
/* Cancels attempt @seq at @upstream, to free all that it holds there. */
void
Fw_Request_SendCancel(struct fw_requests *rs, const char *upstream,
                      uint64_t seq, struct fw_actions *out);

/* pieces.c */
void
Fw_Request_OnDecode(struct fw_requests *rs, struct fw_request *rq,
                    const struct fw_up_event *ev, int64_t now_us,
                    struct fw_actions *out);
/* Accepts pieces in any order; duplicates are dropped. */
void
Fw_Request_AddPiece(struct fw_request *rq, int64_t index, const char *text);
/* Sends the end to the subscribers; retains @rq when its caller named it, else
 * frees it. */
void
Fw_Request_Finish(struct fw_requests *rs, struct fw_request *rq,
                  int64_t now_us, struct fw_actions *out);

/* retry.c */
/* Handles the failure of @upstream: resumes the stream, retries, or fails. */
void
Fw_Request_OnUpstreamLost(struct fw_requests *rs, struct fw_request *rq,
                          const char *upstream, const struct fw_up_event *ev,
                          int64_t now_us, struct fw_actions *out);
/* Queues a new attempt, or fails @rq when no retry is allowed. */
void
Fw_Request_Retry(struct fw_requests *rs, struct fw_request *rq, int64_t now_us,
                 struct fw_actions *out);

/* strike.c */
/* Reports to the coordinator that an engine crashed while running @rq; waits
 * for its reply in FW_STAGE_STRIKE. */
void
Fw_Request_ReportStrike(struct fw_requests *rs, struct fw_request *rq,
                        int64_t now_us, struct fw_actions *out);
/* Retries @rq, or fails it as quarantined when @ttl_us is not 0. */
void
Fw_Request_OnStrikeResult(struct fw_requests *rs, struct fw_request *rq,
                          int64_t ttl_us, int64_t now_us,
                          struct fw_actions *out);
/* Handles STRIKE, STRIKE_RESULT and QUARANTINE. */
void
Fw_Poison_OnMsg(struct fw_requests *rs, const char *from,
                const struct fw_request_msg *msg, int64_t now_us,
                struct fw_actions *out);
/* The coordinator did not reply: counts the strike on this instance. */
void
Fw_Poison_OnStrikeTimeout(struct fw_requests *rs, struct fw_request *rq,
                          int64_t now_us, struct fw_actions *out);

/* service.c */
void
Fw_Service_Open(struct fw_requests *rs, const struct fw_call *call,
                const struct fw_team *team, int64_t now_us,
                struct fw_actions *out);
void
Fw_Service_OnUp(struct fw_requests *rs, struct fw_request *rq,
                const struct fw_up_event *ev, int64_t now_us,
                struct fw_actions *out);
/* Closes the connection of a running call; the call may have run. */
void
Fw_Service_Abandon(struct fw_requests *rs, struct fw_request *rq,
                   int64_t now_us, struct fw_actions *out);

/* join.c */
/* Hash of @team and request id @id, never 0. */
uint64_t
Fw_Join_Key(const char *team, const char *id);
/* Asks the directory which instance runs @rq. */
void
Fw_Join_LookUpOwner(struct fw_requests *rs, struct fw_request *rq,
                    int64_t now_us, struct fw_actions *out);
/* Notifies the owner that @rq no longer waits for its response. */
void
Fw_Join_Leave(struct fw_requests *rs, struct fw_request *rq,
              struct fw_actions *out);
/* Handles LOOKUP to LEAVE of enum fw_request_msg_kind. */
void
Fw_Join_OnMsg(struct fw_requests *rs, const char *from,
              const struct fw_request_msg *msg, int64_t now_us,
              struct fw_actions *out);
/* The owner timed out: probes it once, then runs @rq on this instance from
 * the last piece received. */
void
Fw_Join_OnOwnerTimeout(struct fw_requests *rs, struct fw_request *rq,
                       int64_t now_us, struct fw_actions *out);

/* orphan.c */
void
Fw_Orphans_Tick(struct fw_requests *rs, int64_t now_us,
                struct fw_actions *out);
/* Handles the result of a poll; ignores results of other calls. */
void
Fw_Orphans_OnUp(struct fw_requests *rs, const struct fw_up_event *ev,
                int64_t now_us, struct fw_actions *out);
/* Handles HELD and DISOWN. */
void
Fw_Orphans_OnMsg(struct fw_requests *rs, const char *from,
                 const struct fw_request_msg *msg, int64_t now_us,
                 struct fw_actions *out);

/* outbound.c */
/* Sends @msg to the member @to; drops it when there is no such member. What
 * @msg owns is taken over. */
void
Fw_Request_Send(struct fw_requests *rs, const char *to,
                const struct fw_request_msg *msg, struct fw_actions *out);

/* Starts call @op to @up; the caller fills in the part of @kind. */
struct fw_up_start *
Fw_Request_StartUpstreamCall(struct fw_actions *out, uint64_t op,
                             enum fw_up_kind kind,
                             const struct fw_upstream *up, int64_t timeout_us);

#endif
