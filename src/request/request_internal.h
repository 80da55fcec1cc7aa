/* What the files of this directory share. */
#ifndef FW_REQUEST_INTERNAL_H
#define FW_REQUEST_INTERNAL_H

#include <glib.h>

#include "base/list.h"
#include "request/directory.h"
#include "request/poison.h"
#include "request/request.h"

#define FW_ATTEMPTS_MAX 3 /* engines tried before a request is given up */
#define FW_RESUMES_MAX 3  /* times a broken stream is taken up again */
#define FW_EARLY_MAX 1024 /* pieces kept while an earlier one is missing */
#define FW_LOOKUP_US (50 * FW_MSEC) /* wait for the directory */
#define FW_STRIKE_US (200 * FW_MSEC)
#define FW_JOIN_US (500 * FW_MSEC) /* silence of an owner at a join */
#define FW_REMOTE_US (10 * FW_SEC) /* silence of an owner later on */
#define FW_REJOIN_US (2 * FW_SEC)  /* a named request outlives its caller */
#define FW_KEEP_US (60 * FW_SEC)   /* finished answers of named requests */
#define FW_KEEP_BYTES (4L * 1024 * 1024)
#define FW_PREFILL_TIMEOUT_US (30 * FW_SEC)
#define FW_IMPORT_TIMEOUT_US (3 * FW_SEC)
#define FW_PIECE_TIMEOUT_US (3 * FW_SEC) /* silence of a decode stream */
#define FW_SERVICE_TIMEOUT_US (10 * FW_SEC)
#define FW_SERVICE_TRIES 3

/** enum fw_stage - what a request waits for. */
enum fw_stage {
    FW_STAGE_LOOKUP,  /* the directory */
    FW_STAGE_BUDGET,  /* tokens of its team */
    FW_STAGE_QUEUE,   /* a pair of engines */
    FW_STAGE_PREFILL, /* the prefill engine */
    FW_STAGE_IMPORT,  /* the transfer of the KV */
    FW_STAGE_DECODE,  /* pieces */
    FW_STAGE_STRIKE,  /* word on whether it may be tried again */
    FW_STAGE_REMOTE,  /* another instance runs it */
    FW_STAGE_IDEM,    /* the right to run a call once */
    FW_STAGE_SERVICE, /* a plain service */
    FW_STAGE_IDLE,    /* between two attempts: holds nothing */
    FW_STAGE_DONE,    /* finished, the answer is kept for a while */
};

/**
 * struct fw_reader - who gets the answer: a caller here or a joined instance.
 * @call: shell's handle, or 0 for an instance
 * @peer: instance, and its @ticket
 * @next: index of the next piece to send
 */
struct fw_reader {
    struct fw_list link;
    struct fw_request *rq;
    uint64_t call;
    char peer[FW_NAME_MAX];
    uint64_t ticket;
    int64_t next;
    int started;
};

/**
 * struct fw_request - one request.
 * @ticket: names it to the other subsystems; no owner bits, since they may
 *          make log tickets of it
 * @key: hash of team and caller's request id, 0 when the caller gave none
 * @digest: of the caller's key
 * @body: prompt or body of the service call
 * @seq: engine-side number of the attempt running, 0 for none
 * @op: upstream call running, 0 for none
 * @ran: the worst that is known over all attempts
 * @text, @ends: what was emitted and where each piece ends
 * @early: pieces that came before their turn, index to text
 * @expect: number of pieces once the engine said so, else -1
 * @at_us: the stage's timeout, 0 for none
 * @lost: engines lost so far, for the router to avoid
 * @probing: the owner was asked whether it still runs the request
 */
struct fw_request {
    struct fw_list link;
    struct fw_list readers;
    uint64_t ticket;
    enum fw_call_kind kind;
    enum fw_stage stage;
    char id[FW_ID_MAX];
    uint64_t key;
    char digest[FW_DIGEST_HEX];
    char team[FW_NAME_MAX];
    char model[FW_NAME_MAX];
    GBytes *body;
    uint64_t print;
    int64_t prompt_tokens;
    int64_t max_tokens;
    int64_t deadline_us;
    int64_t arrived_us;
    int64_t at_us;
    int64_t granted;
    enum fw_ran ran;

    uint64_t seq;
    uint64_t op;
    char prefill[FW_NAME_MAX];
    char decode[FW_NAME_MAX];
    char kv[FW_ID_MAX];
    int attempts;
    int resumes;
    int struck;
    char lost[FW_ATTEMPTS_MAX][FW_NAME_MAX];
    int n_lost;
    int64_t cached_tokens;
    int64_t transfer_us;

    GString *text;
    GArray *ends;
    GHashTable *early;
    int64_t expect;
    char reason[16];

    char owner[FW_NAME_MAX];
    int probing;

    /* Plain services. */
    char service[FW_NAME_MAX];
    char method[16];
    char *path;
    char content_type[64];
    char idem_key[FW_ID_MAX];
    int idempotent;
    int64_t sent_us;
};

/** struct fw_suspect - seen without a living owner from @first_us on. */
struct fw_suspect {
    int64_t first_us;
    int64_t last_us;
};

/** struct fw_orphans - looks after engines coordinated here; orphan.c. */
struct fw_orphans {
    int64_t next_us;
    int64_t urgent_until_us;
    guint alive;
    GHashTable *polls;    /* op to engine name */
    GHashTable *suspects; /* engine-side id to struct fw_suspect */
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

struct fw_requests {
    struct fw_request_deps deps;
    struct fw_list all;
    GHashTable *by_ticket;
    GHashTable *by_call; /* shell's handle to struct fw_reader */
    GHashTable *by_op;
    GHashTable *by_seq;
    GHashTable *by_key;
    uint64_t next_ticket;
    uint64_t next_op;
    uint64_t next_seq;
    int64_t kept_bytes;
    int kept; /* finished, the answer still here */
    struct fw_directory directory;
    struct fw_poison poison;
    struct fw_orphans orphans;
    struct fw_request_counters n;
};

/* request.c */
struct fw_request *
Fw_Request_New(struct fw_requests *rs, int64_t now_us);
/* What all kinds of a caller's request have, under its id or a new one. */
struct fw_request *
Fw_Request_FromCall(struct fw_requests *rs, const struct fw_call *call,
                    const struct fw_team *team, int64_t now_us);
void
Fw_Request_Drop(struct fw_requests *rs, struct fw_request *rq);
struct fw_request *
Fw_Request_ByTicket(const struct fw_requests *rs, uint64_t ticket);
void
Fw_Request_SetOp(struct fw_requests *rs, struct fw_request *rq);
void
Fw_Request_ClearOp(struct fw_requests *rs, struct fw_request *rq);
void
Fw_Request_SetSeq(struct fw_requests *rs, struct fw_request *rq);
void
Fw_Request_EngineId(const struct fw_requests *rs, uint64_t seq, char *out,
                    size_t size);
const char *
Fw_Request_StageName(enum fw_stage stage);
void
Fw_Request_Trace(struct fw_requests *rs, const struct fw_request *rq,
                 int64_t now_us, const char *fmt, ...)
    __attribute__((format(printf, 4, 5)));

/* reader.c */
void
Fw_Reader_AddCall(struct fw_requests *rs, struct fw_request *rq,
                  uint64_t call);
void
Fw_Reader_AddPeer(struct fw_request *rq, const char *peer, uint64_t ticket);
void
Fw_Reader_Drop(struct fw_requests *rs, struct fw_reader *rd);
struct fw_reader *
Fw_Reader_OfCall(const struct fw_requests *rs, uint64_t call);
struct fw_reader *
Fw_Reader_OfPeer(const struct fw_request *rq, const char *peer,
                 uint64_t ticket);
/* Sends what each reader lacks, and the end when the request is done. */
void
Fw_Reader_Flush(struct fw_requests *rs, struct fw_request *rq,
                struct fw_actions *out);
/* The final error to each reader. */
void
Fw_Reader_Fail(struct fw_requests *rs, struct fw_request *rq,
               struct fw_call_fail *fail, struct fw_actions *out);

/* fail.c */
void
Fw_Request_Refuse(struct fw_actions *out, const struct fw_call *call,
                  int status, const char *code, const char *message,
                  int64_t retry_after_us);
/* Final answer to all readers; frees the engines; @rq is gone after. */
void
Fw_Request_Fail(struct fw_requests *rs, struct fw_request *rq, int status,
                const char *code, const char *message, int64_t retry_after_us,
                int64_t now_us, struct fw_actions *out);
/* Frees all that @rq holds anywhere, whatever its stage. */
void
Fw_Request_Release(struct fw_requests *rs, struct fw_request *rq,
                   int64_t now_us, struct fw_actions *out);

/* open.c */
void
Fw_Request_AskBudget(struct fw_requests *rs, struct fw_request *rq,
                     int64_t now_us, struct fw_actions *out);

/* run.c */
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
/* DECODE or RESUME; -ENOENT when the engine is no longer configured. */
int
Fw_Request_Decode(struct fw_requests *rs, struct fw_request *rq,
                  enum fw_up_kind kind, struct fw_actions *out);
void
Fw_Request_CancelOn(struct fw_requests *rs, const char *upstream, uint64_t seq,
                    struct fw_actions *out);

/* pieces.c */
void
Fw_Request_OnDecode(struct fw_requests *rs, struct fw_request *rq,
                    const struct fw_up_event *ev, int64_t now_us,
                    struct fw_actions *out);
/* Takes a piece in any order; doubles are dropped. */
void
Fw_Request_Piece(struct fw_request *rq, int64_t index, const char *text);
void
Fw_Request_Finish(struct fw_requests *rs, struct fw_request *rq,
                  int64_t now_us, struct fw_actions *out);

/* retry.c */
/* An engine failed: try again, resume or give up. */
void
Fw_Request_Lost(struct fw_requests *rs, struct fw_request *rq,
                const char *upstream, const struct fw_up_event *ev,
                int64_t now_us, struct fw_actions *out);
void
Fw_Request_Again(struct fw_requests *rs, struct fw_request *rq, int64_t now_us,
                 struct fw_actions *out);

/* strike.c */
/* Reports that an engine was lost while running @rq, and waits for word. */
void
Fw_Request_Strike(struct fw_requests *rs, struct fw_request *rq,
                  int64_t now_us, struct fw_actions *out);
void
Fw_Request_Struck(struct fw_requests *rs, struct fw_request *rq,
                  int64_t ttl_us, int64_t now_us, struct fw_actions *out);
void
Fw_Poison_OnMsg(struct fw_requests *rs, const char *from,
                const struct fw_request_msg *msg, int64_t now_us,
                struct fw_actions *out);
/* The coordinator is silent: the strike is counted here. */
void
Fw_Poison_Alone(struct fw_requests *rs, struct fw_request *rq, int64_t now_us,
                struct fw_actions *out);

/* service.c */
void
Fw_Service_Open(struct fw_requests *rs, const struct fw_call *call,
                const struct fw_team *team, int64_t now_us,
                struct fw_actions *out);
void
Fw_Service_OnUp(struct fw_requests *rs, struct fw_request *rq,
                const struct fw_up_event *ev, int64_t now_us,
                struct fw_actions *out);
/* The connection of a call is given up; it may have run. */
void
Fw_Service_Abandon(struct fw_requests *rs, struct fw_request *rq,
                   int64_t now_us, struct fw_actions *out);

/* join.c */
uint64_t
Fw_Join_Key(const char *team, const char *id);
void
Fw_Join_Lookup(struct fw_requests *rs, struct fw_request *rq, int64_t now_us,
               struct fw_actions *out);
void
Fw_Join_Leave(struct fw_requests *rs, struct fw_request *rq,
              struct fw_actions *out);
void
Fw_Join_OnMsg(struct fw_requests *rs, const char *from,
              const struct fw_request_msg *msg, int64_t now_us,
              struct fw_actions *out);
/* The owner fell silent: ask it, then run it here from where it stopped. */
void
Fw_Join_Silent(struct fw_requests *rs, struct fw_request *rq, int64_t now_us,
               struct fw_actions *out);

/* orphan.c */
void
Fw_Orphans_Tick(struct fw_requests *rs, int64_t now_us,
                struct fw_actions *out);
/* The answer to a poll of held requests. */
void
Fw_Orphans_OnUp(struct fw_requests *rs, const struct fw_up_event *ev,
                int64_t now_us, struct fw_actions *out);
void
Fw_Orphans_OnMsg(struct fw_requests *rs, const char *from,
                 const struct fw_request_msg *msg, int64_t now_us,
                 struct fw_actions *out);

/* message.c */
void
Fw_Request_Send(struct fw_requests *rs, const char *to,
                const struct fw_request_msg *msg, struct fw_actions *out);

/* Begins call @op to @up; the caller fills in what is asked. */
struct fw_up_start *
Fw_Request_StartUp(struct fw_actions *out, uint64_t op, enum fw_up_kind kind,
                   const struct fw_upstream *up, int64_t timeout_us);

#endif
