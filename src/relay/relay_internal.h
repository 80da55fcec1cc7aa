/* Shared by the files of src/relay. */
#ifndef FW_RELAY_INTERNAL_H
#define FW_RELAY_INTERNAL_H

#include <msgpack.h>
#include <syslog.h>

#include "decide/learned.h"
#include "relay/peers.h"
#include "relay/relay.h"
#include "route/queue.h"

/* Servers that one request may meet before it is given up. */
#define FW_RL_TRIED_MAX 6
/*
 * A kept connection is used again for a request that must not be repeated
 * only when it was idle for less: one that went silent meanwhile takes the
 * request with it, and a new connection costs a millisecond.
 */
#define FW_RL_REUSE_ONCE_US (1 * FW_SEC)
/* For one that may be repeated: the upstream's own idle limit binds. */
#define FW_RL_REUSE_US (60 * FW_SEC)
/*
 * A server that hasn't accepted by then is taken as unreachable: a hundred
 * times the round trip in a region, less than half of the objective.
 */
#define FW_RL_CONNECT_US (250 * FW_MSEC)
/* Giving back a reservation or a KV cache that lapse by themselves anyway. */
#define FW_RL_HOUSEKEEPING_US (1 * FW_SEC)
/*
 * After the store's return, until a lapse of that time counts: entries of
 * servers that live are back within two seconds. See servers.c.
 */
#define FW_RL_RELIST_GRACE_US (2200 * FW_MSEC)
/* Without a message of any peer for so long an instance is on its own. */
#define FW_RL_ISOLATED_US (3 * FW_SEC)

/**
 * struct fw_rl_server - a server in one lifetime.
 * @refs: calls that name it; it is freed when it is gone and none does
 * @running, @reserved, @reading: requests, tokens of memory that these are
 *     expected to take on average, and tokens of prompts that are read
 * @full_us: when it last had no room for @full_tokens
 * @suspect_us: not chosen before, after it could not be reached
 * @connect_failures: failures to reach it in a row
 * @timeouts: calls in a row that it took and did not answer in time
 * @errors: part of its answers that were failures, moving mean
 * @took_us: moving mean of its time to answer
 * @work_us: the same of answers to requests that found a free slot
 * @rejected_runs: runs refused in a row that had a reservation there
 * @to_stage, @stage_change_until_us: a stage change under way, over by then at
 * the latest
 * @unsent: the others don't know yet what was last taken of it here
 */
struct fw_rl_server {
    struct fw_list link;
    struct fw_rl_server_entry e;
    uint64_t hash;
    int refs;
    int gone;
    int listed;
    int64_t removal_us;
    int running;
    int64_t reserved;
    int64_t reading;
    int64_t full_us;
    int64_t full_tokens;
    int64_t suspect_us;
    int connect_failures;
    int timeouts;
    int rejected_runs;
    double errors;
    double took_us;
    double work_us;
    enum fw_rl_stage to_stage;
    int64_t stage_change_until_us;
    int unsent;
};

/**
 * struct fw_rl_allowance - a team's allowance as known here.
 * @hash: of the team's name
 * @level: tokens; below zero when others spent what was not known here yet
 * @fleet_share: of the fleet that is in touch, as of @at_us
 * @spent: tokens spent here since the start
 * @leaves: tokens that leaves of this hub have spent, as counted here
 * @sent: of both together, what the other hubs were sent
 * @counted: of @spent, what hubs are known to have counted
 * @reported: @spent as of the last report
 * @created_us, @adopted: the level of an instance that has just started is a
 *     guess until another one's was taken over
 */
struct fw_rl_allowance {
    uint64_t hash;
    int64_t rate;
    int64_t burst;
    double level;
    double fleet_share;
    int64_t at_us;
    int64_t spent;
    int64_t leaves;
    int64_t sent;
    int64_t counted;
    int64_t reported;
    int64_t created_us;
    int adopted;
};

/**
 * struct fw_rl_watch - how the store is kept up with; see watch.c.
 * @asked_us, @nonce: the question that is out, @nonce 0 for none
 * @list_offset: how far the servers' entries were read here
 * @rules_from, @list_from: address of an instance that knows of something
 *     newer, "" for none
 * @store_lost: the store does not answer here
 * @members_known: the instances were read from the store
 */
struct fw_rl_watch {
    int64_t asked_us;
    uint64_t nonce;
    uint64_t last_nonce;
    uint64_t list_offset;
    char rules_from[FW_URL_MAX];
    char list_from[FW_URL_MAX];
    int store_lost;
    int members_known;
};

#define FW_RL_RETRY_BUDGET_SLOTS 16

/** struct fw_rl_retry_budget - repeats of one service's requests; ring by
 * time. */
struct fw_rl_retry_budget {
    char service[FW_NAME_MAX];
    int64_t slot;
    int requests[FW_RL_RETRY_BUDGET_SLOTS];
    int retries[FW_RL_RETRY_BUDGET_SLOTS];
};

enum fw_rl_state {
    FW_RL_QUEUED, /* waits for room at an engine */
    FW_RL_HOLD,   /* asked an engine for a reservation */
    FW_RL_READ,   /* its prompt is being read */
    FW_RL_RUN,    /* sent to the server that answers */
};

/**
 * struct fw_rl_call - a caller's request until its answer is out.
 * @cost: tokens of its team's allowance; @paid: taken, and given back if it
 *     never runs
 * @need: tokens of an engine's memory that it is expected to take, averaged
 *     over its run; 0 for a plain request
 * @answer: how long its answer is expected to be
 * @hold_tokens: reserved for it at the engine
 * @ahead: tokens that @reader had to read when it was asked, its own included
 * @server, @reader: where it runs, and where its prompt is read
 * @op: the call to an upstream that it waits for
 * @tries: servers that it was sent to run on
 * @passed: its answer has begun
 */
struct fw_rl_call {
    struct fw_list link;
    uint64_t id;
    struct fw_rl_ask ask;
    struct fw_rl_route_rule route;
    char service[FW_NAME_MAX];
    char team[FW_NAME_MAX];
    int urgency;
    enum fw_rl_state state;
    int64_t opened_us;
    int64_t deadline_us;
    int64_t queue_us;
    int64_t queue_until_us;
    int64_t cost;
    int paid;
    int64_t need;
    struct fw_length_guess answer;
    int64_t hold_tokens;
    int64_t ahead;
    struct fw_rl_server *server;
    struct fw_rl_server *reader;
    char hold[FW_RL_KEY_MAX];
    char kv[FW_RL_KEY_MAX];
    char kv_addr[FW_URL_MAX];
    int reading;      /* its prompt counts as load of @reader */
    int64_t room_us;  /* when it had room at an engine */
    int64_t run_us;   /* when it was sent to run */
    int64_t first_us; /* when its answer began */
    struct fw_rl_op *op;
    int tries;
    int passed;
    enum fw_ran ran;
    uint64_t tried[FW_RL_TRIED_MAX];
    int n_tried;
    struct fw_queue_item item;
};

/** struct fw_rl_op - a call to an upstream under way. */
struct fw_rl_op {
    struct fw_list link;
    uint64_t xid;
    enum fw_rl_up_kind kind;
    struct fw_rl_call *call; /* NULL for housekeeping */
    struct fw_rl_server *server;
    int64_t sent_us;
    int64_t until_us;   /* given up then */
    int found_slot;     /* the server had one free when it was sent */
    int is_calibration; /* a report for what its streams have in memory */
};

/** struct fw_rl_strike - servers lost while they ran one request. */
struct fw_rl_strike {
    uint64_t digest;
    int count;
    int64_t at_us;
};

/** struct fw_rl_crash_suspect - a request was cut off by a server's end. */
struct fw_rl_crash_suspect {
    uint64_t digest;
    uint64_t server;
    int64_t at_us;
};

#define FW_RL_CRASH_SUSPECTS_MAX 64
#define FW_RL_STRIKES_MAX 64

/**
 * struct fw_rl_order_lease - the order role; see order.c.
 * @log_end: where the next claim would go
 * @last_claim_us: when the last claim was learnt of
 * @claim_pending: a claim of ours is on its way
 * @fence, @until_us: of the lease held here; @fence 0 for none
 */
struct fw_rl_order_lease {
    uint64_t log_end;
    int64_t last_claim_us;
    int claim_pending;
    uint64_t fence;
    int64_t until_us;
    int reports_requested;    /* the engines were asked under this lease */
    int64_t reports_until_us; /* until when only their state is taken in */
};

static inline int64_t
Fw_Relay_Ms(int64_t us)
{
    return us / FW_MSEC;
}

/* Kinds of refusal that are counted apart. */
#define FW_RL_REASONS_MAX 24

/**
 * struct fw_rl_metrics - metrics of the relay.
 * @reasons, @labels: refusals and failures by reason, made when first met
 * @queued_s: from a generation's arrival until it has room
 * @read_s: until its prompt is read, from then on
 * @first_s: until an answer begins, from the request's arrival
 * @whole_s: until it is whole
 */
struct fw_rl_metrics {
    struct fw_metric requests;
    struct fw_metric passed;
    struct fw_metric refused;
    struct fw_metric failed;
    struct fw_metric left;
    struct fw_metric cut;
    struct fw_metric repeats;
    struct fw_metric holds;
    struct fw_metric holds_refused;
    struct fw_metric reads;
    struct fw_metric open;
    struct fw_metric queued;
    struct fw_metric members;
    struct fw_metric version;
    struct fw_metric rules_age_ms;
    struct fw_metric servers_usable;
    struct fw_metric tokens_reserved;
    struct fw_metric role_held;
    struct fw_metric reasons[FW_RL_REASONS_MAX];
    char labels[FW_RL_REASONS_MAX][FW_NAME_MAX + 16];
    int n_reasons;
    struct fw_histogram queued_s;
    struct fw_histogram read_s;
    struct fw_histogram first_s;
    struct fw_histogram whole_s;
};

struct fw_relay {
    struct fw_relay_opts opts;
    GRand *rand;
    int64_t start_us;
    struct fw_metrics metrics;
    struct fw_rl_metrics n;
    struct fw_rl_rules *rules;
    uint64_t rules_offset;
    int64_t fresh_us;
    int64_t store_back_us;
    int list_known;
    struct fw_list servers;
    GHashTable *calls; /* id to struct fw_rl_call */
    struct fw_list call_list;
    GHashTable *ops; /* xid to struct fw_rl_op */
    struct fw_list op_list;
    struct fw_queue queue;
    uint64_t last_xid;
    struct fw_list members;
    struct fw_rl_exchange x;
    uint64_t hash;      /* of the own name */
    GHashTable *census; /* hash of a name to when it was in touch */
    GHashTable *loads;  /* hash of a server's id to what peers have there */
    GHashTable *allowances; /* hash of a team to struct fw_rl_allowance */
    GPtrArray *retry_budgets;
    struct fw_rl_crash_suspect crash_suspects[FW_RL_CRASH_SUSPECTS_MAX];
    int n_crash_suspects;
    struct fw_rl_strike strikes[FW_RL_STRIKES_MAX];
    int n_strikes;
    struct fw_rl_order_lease order_lease;
    struct fw_rl_watch watch;
    GPtrArray *learned; /* of struct fw_learned */
    uint64_t digest_seq;
    int64_t stage_check_us; /* when engines are looked at next */
    int stages_settled;     /* the stages were as wanted once */
    int64_t
        imbalance_since_us; /* since when a stage has too many or too few */
    int draining;
    int64_t drain_us;
};

/* acts.c */
struct fw_rl_act *
Fw_Acts_Add(struct fw_rl_acts *acts, enum fw_rl_act_kind kind);
void
Fw_Acts_Log(struct fw_rl_acts *acts, const struct fw_relay *r, int severity,
            const char *event, const char *fmt, ...)
    __attribute__((format(printf, 5, 6)));

/* servers.c */
/* A run that had a reservation there was refused. */
void
Fw_Servers_Refused(struct fw_rl_server *s, int64_t now_us);
/* It took a call and did not answer in time. */
void
Fw_Servers_Silent(struct fw_rl_server *s, int64_t now_us);
struct fw_rl_server *
Fw_Servers_Find(const struct fw_relay *r, const char *id);
struct fw_rl_server *
Fw_Servers_Ref(struct fw_rl_server *s);
void
Fw_Servers_Unref(struct fw_rl_server *s);
/* May new work go there? */
int
Fw_Servers_Usable(const struct fw_rl_server *s, int64_t now_us);
/* Is its stage being changed? */
int
Fw_Servers_Switching(const struct fw_rl_server *s, int64_t now_us);
void
Fw_Servers_Missed(struct fw_rl_server *s, int64_t now_us);
void
Fw_Servers_Served(struct fw_rl_server *s, int failed, int64_t took_us);
/* It answered a request that had not to wait there. */
void
Fw_Servers_Worked(struct fw_rl_server *s, int64_t took_us);
void
Fw_Servers_Tick(struct fw_relay *r, int64_t now_us, struct fw_rl_acts *out);
void
Fw_Servers_Clear(struct fw_relay *r);

/* place.c */
/* The server for a plain request of @c, or NULL. */
struct fw_rl_server *
Fw_Place_Plain(struct fw_relay *r, const struct fw_rl_call *c, int64_t now_us);
/* Would @c wait at @s beyond its objective? Decided by chance in between. */
int
Fw_Place_IsCrowded(struct fw_relay *r, const struct fw_rl_call *c,
                   const struct fw_rl_server *s, int64_t now_us);
/* The engine that most likely has room for @c, or NULL. */
struct fw_rl_server *
Fw_Place_Decode(struct fw_relay *r, const struct fw_rl_call *c,
                int64_t now_us);
/* The engine that reads @c's prompt first, or NULL; @wait_us: until read. */
struct fw_rl_server *
Fw_Place_Read(struct fw_relay *r, const struct fw_rl_call *c, int64_t now_us,
              int64_t *wait_us);
void
Fw_Place_Load(const struct fw_relay *r, const struct fw_rl_server *s,
              int64_t now_us, struct fw_rl_load *out);
int
Fw_Call_Tried(const struct fw_rl_call *c, const struct fw_rl_server *s);

/* call.c */
struct fw_rl_op *
Fw_Call_Ask(struct fw_relay *r, struct fw_rl_call *c, struct fw_rl_server *s,
            struct fw_rl_up_call *up, int64_t until_us, int64_t now_us,
            struct fw_rl_acts *out);
void
Fw_Op_End(struct fw_relay *r, struct fw_rl_op *op);
/* Ends @c with an answer of our own. */
void
Fw_Call_Refuse(struct fw_relay *r, struct fw_rl_call *c, int status,
               int64_t retry_us, const char *reason, int64_t now_us,
               struct fw_rl_acts *out);
/* Ends @c after its answer is out or cut, or its caller is gone. */
void
Fw_Call_End(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us,
            struct fw_rl_acts *out);
/* Frees what @c still holds at engines. */
void
Fw_Call_Release(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us,
                struct fw_rl_acts *out);
void
Fw_Call_Pass(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us,
             struct fw_rl_acts *out);
/* Lets go of @c's server without giving anything back there. */
void
Fw_Call_LeaveServer(struct fw_rl_call *c);
/* The prompt is read, or won't be: no load at its reader any more. */
void
Fw_Call_ReadDone(struct fw_rl_call *c);
/* Of the lines that tell of a request that goes well. */
int
Fw_Call_Severity(const struct fw_relay *r, const struct fw_rl_call *c);
/* The answer that was passed is whole, or never will be. */
void
Fw_Call_Finish(struct fw_relay *r, struct fw_rl_call *c, int whole,
               int64_t now_us, struct fw_rl_acts *out);

/* open.c */
/* Do callers' keys count, see there. */
int
Fw_Relay_KeysFresh(const struct fw_relay *r, int64_t now_us);
/* When a caller that is refused for stale keys should come back. */
int64_t
Fw_Relay_UnreadyRetry(struct fw_relay *r, int64_t now_us);
/* Looked at again right before a request goes to a server. */
int
Fw_Relay_MayServe(const struct fw_relay *r, const struct fw_rl_call *c,
                  int64_t now_us);

/* plain.c */
void
Fw_Plain_Send(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us,
              struct fw_rl_acts *out);
void
Fw_Plain_Answered(struct fw_relay *r, struct fw_rl_op *op,
                  const struct fw_rl_up_answer *ans, int64_t now_us,
                  struct fw_rl_acts *out);
void
Fw_Plain_Failed(struct fw_relay *r, struct fw_rl_op *op, int err, int sent,
                int64_t now_us, struct fw_rl_acts *out);

/* stream.c */
void
Fw_Stream_Open(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us,
               struct fw_rl_acts *out);
/* Asks for room for as many waiting requests as there seems to be. */
void
Fw_Stream_Pump(struct fw_relay *r, int64_t now_us, struct fw_rl_acts *out);
void
Fw_Stream_Answered(struct fw_relay *r, struct fw_rl_op *op,
                   const struct fw_rl_up_answer *ans, int64_t now_us,
                   struct fw_rl_acts *out);
void
Fw_Stream_Failed(struct fw_relay *r, struct fw_rl_op *op, int err, int sent,
                 int64_t now_us, struct fw_rl_acts *out);
/* When a refused stream has a fair chance of room. */
int64_t
Fw_Stream_RetryAfter(struct fw_relay *r, const struct fw_rl_call *c);

/* need.c */
/* Counts @c's memory, at its engine if it has one, as of now. */
void
Fw_Need_Grow(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us);
/* What is reserved for @c at an engine. */
int64_t
Fw_Need_Hold(const struct fw_relay *r, const struct fw_rl_call *c);
/* A stream has ended whole, after @events. */
void
Fw_Need_NoteRun(struct fw_relay *r, const struct fw_rl_call *c, int64_t events,
                int64_t now_us);

/* learned.c */
/* What was learned of @service, as far as anything was. */
struct fw_learned *
Fw_Learned_Of(const struct fw_relay *r, const char *service);
/* Asks engines now and then what an event of their streams holds. */
void
Fw_Learned_Tick(struct fw_relay *r, int64_t now_us, struct fw_rl_acts *out);
/* An engine of @service has reported its streams. */
void
Fw_Learned_TakeRuns(struct fw_relay *r, const char *service,
                    const struct fw_rl_up_answer *ans);
/*
 * What was learned here, for an instance that has just started: appended to
 * @out. Return: nonzero when there is any.
 */
int
Fw_Learned_Write(const struct fw_relay *r, GByteArray *out);
/* What another instance has learned; -EBADMSG for another message. */
int
Fw_Learned_Read(struct fw_relay *r, const msgpack_object *o);

/* allowance.c */
/* A bucket for each team of the configuration in force. */
void
Fw_Allowance_ApplyRules(struct fw_relay *r, int64_t now_us,
                        struct fw_rl_acts *out);
int
Fw_Allowance_Take(struct fw_relay *r, const struct fw_rl_team_rule *t,
                  int64_t cost, int64_t now_us, int64_t *retry_us);
/* What a refusal was decided by: tokens left, and the part of the fleet. */
void
Fw_Allowance_Explain(const struct fw_relay *r, const char *team,
                     int64_t *level, int *part_permille);
void
Fw_Allowance_Return(struct fw_relay *r, const char *team, int64_t cost);
/*
 * Another instance has spent @tokens more of the team with @hash, and has
 * @level of it.
 */
void
Fw_Allowance_Others(struct fw_relay *r, uint64_t hash, int64_t tokens,
                    int64_t level, int64_t now_us);
/* A leaf has spent @tokens more of the team with @hash. */
void
Fw_Allowance_Leaf(struct fw_relay *r, uint64_t hash, int64_t tokens,
                  int64_t now_us);

/**
 * struct fw_rl_level - a team's level as a hub knows it.
 * @counted: what the hub has counted of this instance's spending
 * @may_rise: in reply to the last report, not possibly overtaken
 */
struct fw_rl_level {
    uint64_t hash;
    int64_t level;
    int64_t counted;
    int may_rise;
};

void
Fw_Allowance_Hub(struct fw_relay *r, const struct fw_rl_level *level,
                 int64_t now_us);
/* A hub has counted all that was reported; what it doesn't name is full. */
void
Fw_Allowance_Counted(struct fw_relay *r, int64_t now_us);
int
Fw_Allowance_IsFull(struct fw_relay *r, struct fw_rl_allowance *p,
                    int64_t now_us);

/* budget.c */
void
Fw_Budget_Request(struct fw_relay *r, const char *service, int64_t now_us);
/* Nonzero when @n more arrivals are allowed; they are then counted. */
int
Fw_Budget_Repeat(struct fw_relay *r, const char *service, int n,
                 int64_t now_us);

/* poison.c */
void
Fw_Poison_CutOff(struct fw_relay *r, uint64_t digest,
                 const struct fw_rl_server *s, int64_t now_us);
void
Fw_Poison_ServerLost(struct fw_relay *r, const struct fw_rl_server *s,
                     int64_t now_us, struct fw_rl_acts *out);
int
Fw_Poison_Count(const struct fw_relay *r, uint64_t digest, int64_t now_us);

/* order.c */
void
Fw_StageOrder_Tick(struct fw_relay *r, int64_t now_us, struct fw_rl_acts *out);
void
Fw_StageOrder_HandleResponse(struct fw_relay *r, struct fw_rl_op *op,
                             const struct fw_rl_up_answer *ans, int64_t now_us,
                             struct fw_rl_acts *out);
void
Fw_StageOrder_HandleFailure(struct fw_relay *r, struct fw_rl_op *op,
                            struct fw_rl_acts *out);

/* metrics.c */
void
Fw_Relay_CountReason(struct fw_relay *r, const char *reason);
/* Gauges that are worked out when time passes. */
void
Fw_Relay_UpdateGauges(struct fw_relay *r, int64_t now_us);
void
Fw_Relay_RegisterMetrics(struct fw_relay *r);

#endif
