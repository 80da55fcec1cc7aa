/*
 * The relay's core: routes callers' requests to upstreams that run in their
 * own wire form. It does no I/O: what happens is told to it with the time,
 * what is to be done comes back as actions. Bytes of bodies pass from one
 * connection to the other in the shell; the core sees ids, sizes and times.
 */
#ifndef FW_RELAY_RELAY_H
#define FW_RELAY_RELAY_H

#include "base/metrics.h"
#include "base/verdict.h"
#include "relay/types.h"

struct fw_relay;

/** enum fw_rl_up_kind - what an upstream is asked for. */
enum fw_rl_up_kind {
    FW_RL_UP_RUN,       /* the caller's request */
    FW_RL_UP_PREFILL,   /* read the prompt, keep its KV cache */
    FW_RL_UP_HOLD,      /* reserve a slot and memory */
    FW_RL_UP_DROP_HOLD, /* give a reservation back */
    FW_RL_UP_DROP_KV,   /* free a KV cache that nobody will take */
    FW_RL_UP_REPORT,    /* state of an engine */
    FW_RL_UP_STAGE,     /* order: change the engine's stage */
};

/**
 * struct fw_rl_up_call - one call to an upstream.
 * @xid: names it in what is told back
 * @call: the caller's request, 0 when it serves none
 * @addr, @server: where, and the id that must be there
 * @left_us: time limit handed on
 * @team: for the upstream; empty for none
 * @urgency: 0 first, 9 last; -1 for the upstream's default
 * @whole: report only the end, with the response kept, unless it is large
 * @reuse_us: longest idle time of a kept connection that may be used
 * @connect_us: longest time for a new connection
 * @hold, @kv_addr, @kv: reservation and KV cache that the run goes on from
 * @tokens, @ttl_us: of a reservation
 * @stage, @fence, @expected: of an order; @expected: orders that the engine
 *                            has accepted so far
 */
struct fw_rl_up_call {
    enum fw_rl_up_kind kind;
    uint64_t xid;
    uint64_t call;
    char addr[FW_URL_MAX];
    char server[FW_NAME_MAX];
    int64_t left_us;
    char team[FW_NAME_MAX];
    int urgency;
    int whole;
    int64_t reuse_us;
    int64_t connect_us;
    char hold[FW_RL_KEY_MAX];
    char kv_addr[FW_URL_MAX];
    char kv[FW_RL_KEY_MAX];
    int64_t tokens;
    int64_t ttl_us;
    enum fw_rl_stage stage;
    uint64_t fence;
    int64_t expected;
};

/* Runs of a report that are taken in. */
#define FW_RL_RUNS_MAX 32

/**
 * struct fw_rl_run - a stream at an engine, as the engine reports it.
 * @id: hash of the request's id
 * @tokens: in memory, its prompt included
 * @events: made so far
 */
struct fw_rl_run {
    uint64_t id;
    int64_t tokens;
    int64_t events;
};

/**
 * struct fw_rl_up_answer - what an upstream said.
 * @not_run: it states that it has not run the request
 * @moved: another server has the address
 * @name: reservation or KV cache made
 * @events: of a stream, so far
 * @stage, @busy, @orders, @runs: of a report
 */
struct fw_rl_up_answer {
    int status;
    int not_run;
    int moved;
    char name[FW_RL_KEY_MAX];
    int64_t events;
    enum fw_rl_stage stage;
    int busy;
    int64_t orders;
    int n_runs;
    struct fw_rl_run runs[FW_RL_RUNS_MAX];
};

/** enum fw_rl_act_kind - tag of struct fw_rl_act. */
enum fw_rl_act_kind {
    FW_RL_DO_REFUSE, /* a final answer of our own */
    FW_RL_DO_PASS,   /* hand @xid's response to the caller, as it comes */
    FW_RL_DO_FINISH, /* the response that was passed is whole */
    FW_RL_DO_CUT,    /* it will never be whole */
    FW_RL_DO_ASK,    /* call an upstream */
    FW_RL_DO_STOP_ASK,
    FW_RL_DO_LEAD,   /* write a record that claims the order role */
    FW_RL_DO_FORGET, /* close idle connections to @addr */
    FW_RL_DO_LOG,
};

/**
 * struct fw_rl_refusal - @retry_us: when to come back, 0 to say nothing.
 * @reason: one of a small set, a literal; also the metric's label
 */
struct fw_rl_refusal {
    uint64_t call;
    int status;
    int64_t retry_us;
    const char *reason;
    enum fw_ran ran;
};

/* The longest line names a caller's id, a route, a team and two servers. */
#define FW_RL_LOG_TEXT 640

/** struct fw_rl_log_line - @text: JSON members, without braces. */
struct fw_rl_log_line {
    int severity;
    const char *event;
    char text[FW_RL_LOG_TEXT];
};

/** struct fw_rl_act - one thing to do. */
struct fw_rl_act {
    enum fw_rl_act_kind kind;
    union {
        struct fw_rl_refusal refuse;
        struct {
            uint64_t call;
            uint64_t xid;
        } pass;
        uint64_t call; /* FINISH, CUT */
        struct fw_rl_up_call ask;
        uint64_t xid; /* STOP_ASK */
        uint64_t lead_end;
        char addr[FW_URL_MAX];
        struct fw_rl_log_line log;
    } u;
};

/** struct fw_rl_acts - in order; cleared by who has carried them out. */
struct fw_rl_acts {
    GArray *all; /* of struct fw_rl_act */
};

/** enum fw_rl_policy - how servers are chosen. */
enum fw_rl_policy {
    FW_RL_POLICY_FULL,         /* by room, wait, errors and time taken */
    FW_RL_POLICY_LEAST_LOADED, /* by requests that run there; to compare */
    FW_RL_POLICY_RANDOM,       /* any that is usable; to compare */
};

/**
 * struct fw_relay_opts - from the settings; see docs/OPERATIONS.md.
 * @retry_ratio_ppm, @retry_extra, @retry_window_us: repeats that all
 *     instances together may make of a service's requests
 * @key_stale_us: keyed requests are refused when the configuration in force
 *     is not known to be the newest as of so long ago
 * @policy: how servers are chosen
 * @queue_us: longest wait for room at an engine; 0: as long as the route's
 *     objective can still be met
 * @reserve_permille: part of the tokens that may be generated which is
 *     reserved
 * @read_here_us: a prompt that would be read later than this elsewhere is
 *     read by its decode engine
 * @prefill_permille: part of a service's engines that prefill keeps busy,
 *     until the load was seen
 * @overage_ppm, @tolerance: what the operator tolerates beyond a team's rate
 *     and burst: part of them, and tokens
 * @lease_us: how long the order role lasts
 * @cpu_ppm: part of a core that this instance has: large ones serve others
 * @digest_every_us: between digests, and between reports
 * @grace_us: from SIGTERM until the process is killed
 * @log_level: lines of a lower severity are left out
 * @log_sample: of the requests that go well one in so many is logged
 */
struct fw_relay_opts {
    char name[FW_NAME_MAX];
    char domain[FW_NAME_MAX];
    uint64_t boot;
    uint32_t seed;
    int64_t retry_ratio_ppm;
    int64_t retry_extra;
    int64_t retry_window_us;
    int64_t key_stale_us;
    enum fw_rl_policy policy;
    int64_t queue_us;
    int reserve_permille;
    int64_t read_here_us;
    int prefill_permille;
    int64_t overage_ppm;
    int64_t tolerance;
    int64_t lease_us;
    int64_t grace_us;
    int64_t cpu_ppm;
    int64_t digest_every_us;
    int log_level;
    int log_sample;
};

struct fw_relay *
Fw_Relay_New(const struct fw_relay_opts *opts, int64_t now_us);
void
Fw_Relay_Free(struct fw_relay *r);
void
Fw_Relay_SetOpts(struct fw_relay *r, const struct fw_relay_opts *opts);
struct fw_metrics *
Fw_Relay_Metrics(struct fw_relay *r);

void
Fw_Acts_Init(struct fw_rl_acts *acts);
void
Fw_Acts_Clear(struct fw_rl_acts *acts);

/* A caller's request came; @call names it from now on. */
void
Fw_Relay_Open(struct fw_relay *r, uint64_t call, const struct fw_rl_ask *ask,
              int64_t now_us, struct fw_rl_acts *out);
/* Its caller has left. */
void
Fw_Relay_Gone(struct fw_relay *r, uint64_t call, int64_t now_us,
              struct fw_rl_acts *out);

/* A response has begun that is not kept; only for FW_RL_UP_RUN. */
void
Fw_Relay_Begun(struct fw_relay *r, uint64_t xid,
               const struct fw_rl_up_answer *ans, int64_t now_us,
               struct fw_rl_acts *out);
/* A response is whole. */
void
Fw_Relay_Answered(struct fw_relay *r, uint64_t xid,
                  const struct fw_rl_up_answer *ans, int64_t now_us,
                  struct fw_rl_acts *out);
/* A call failed; @sent: some of it may have reached the upstream. */
void
Fw_Relay_Failed(struct fw_relay *r, uint64_t xid, int err, int sent,
                int64_t now_us, struct fw_rl_acts *out);

/* The operator's newest configuration, or one that can't be read (NULL). */
void
Fw_Relay_Rules(struct fw_relay *r, struct fw_rl_rules *rules, uint64_t offset,
               int64_t now_us, struct fw_rl_acts *out);
/* All that the store held at @as_of_us is in force. */
void
Fw_Relay_Fresh(struct fw_relay *r, int64_t as_of_us);
/* A server's entry; @entry NULL: it is no longer listed. */
void
Fw_Relay_Server(struct fw_relay *r, const char *id,
                const struct fw_rl_server_entry *entry, int64_t now_us,
                struct fw_rl_acts *out);
/* The list of servers was read whole: what wasn't named since is gone. */
void
Fw_Relay_ListBegin(struct fw_relay *r);
void
Fw_Relay_ListEnd(struct fw_relay *r, int64_t now_us, struct fw_rl_acts *out);
/* The store does not answer. */
void
Fw_Relay_StoreLost(struct fw_relay *r);
/* It answers again after it did not. */
void
Fw_Relay_StoreBack(struct fw_relay *r, int64_t now_us);

/** enum fw_rl_claim - what became of a claim of the order role. */
enum fw_rl_claim {
    FW_RL_CLAIM_MADE,    /* it stands in the log */
    FW_RL_CLAIM_TAKEN,   /* another came first */
    FW_RL_CLAIM_UNKNOWN, /* no answer */
};

/*
 * What became of FW_RL_DO_LEAD sent at @sent_us. @offset: where it stands, or
 * where the next one would go when another came first.
 */
void
Fw_Relay_Lead(struct fw_relay *r, enum fw_rl_claim claim, uint64_t offset,
              int64_t sent_us, int64_t now_us);

/** struct fw_rl_datagram - a message to the instance at @addr. */
struct fw_rl_datagram {
    char addr[FW_URL_MAX];
    GBytes *data;
};

/** struct fw_rl_mail - messages to go out, of struct fw_rl_datagram. */
struct fw_rl_mail {
    GPtrArray *all;
};

void
Fw_Mail_Init(struct fw_rl_mail *mail);
/* Drops the messages. */
void
Fw_Mail_Clear(struct fw_rl_mail *mail);
/* What other instances should get by now. */
void
Fw_Relay_Exchange(struct fw_relay *r, int64_t now_us, struct fw_rl_mail *out);
/* What waits for an engine is placed, where there is room by now. */
void
Fw_Relay_Place(struct fw_relay *r, int64_t now_us, struct fw_rl_acts *out);
/* When there is something at the latest. */
int64_t
Fw_Relay_ExchangeDue(const struct fw_relay *r);
/*
 * A message of another instance at @addr; @out takes what goes back. Return:
 * 1 when its sender has just been met, 0, or -EBADMSG.
 */
int
Fw_Relay_ReadMessage(struct fw_relay *r, const char *addr, const void *data,
                     size_t len, int64_t now_us, struct fw_rl_mail *out);
/* Does this instance read the store itself, or learn from others? */
int
Fw_Relay_ReadsStore(const struct fw_relay *r, int64_t now_us);
/* How long a read of the configuration may wait for a change. */
int64_t
Fw_Relay_RulesWait(struct fw_relay *r, int64_t base_us, int64_t now_us);
/*
 * Does another instance know a newer configuration, or newer entries of
 * servers? @addr takes its address; asked about, it is taken as done.
 */
int
Fw_Relay_TakeWantRules(struct fw_relay *r, char addr[FW_URL_MAX]);
int
Fw_Relay_TakeWantList(struct fw_relay *r, char addr[FW_URL_MAX]);
/* The servers' entries were read up to @offset. */
void
Fw_Relay_ListOffset(struct fw_relay *r, uint64_t offset);
/**
 * struct fw_rl_peer - another instance as it is registered.
 * @cpu_ppm: part of a core that it has
 */
struct fw_rl_peer {
    char name[FW_NAME_MAX];
    char addr[FW_URL_MAX];
    char domain[FW_NAME_MAX];
    int64_t cpu_ppm;
};

void
Fw_Relay_AddMember(struct fw_relay *r, const struct fw_rl_peer *peer,
                   int64_t now_us);
/* All that are registered were named. */
void
Fw_Relay_MembersEnd(struct fw_relay *r, int64_t now_us);
/* Has no other instance sent anything for a while? */
int
Fw_Relay_IsIsolated(const struct fw_relay *r, int64_t now_us);

/* SIGTERM: no longer ready. */
void
Fw_Relay_Drain(struct fw_relay *r, int64_t now_us, struct fw_rl_acts *out);
void
Fw_Relay_Tick(struct fw_relay *r, int64_t now_us, struct fw_rl_acts *out);
/* When the next tick is wanted. */
int64_t
Fw_Relay_Wake(const struct fw_relay *r, int64_t now_us);
int
Fw_Relay_Ready(const struct fw_relay *r, int64_t now_us);
/* Should callers with kept connections open their next one elsewhere? */
int
Fw_Relay_SendsAway(const struct fw_relay *r, int64_t now_us);
/* May new requests go to the server @id? */
int
Fw_Relay_Usable(const struct fw_relay *r, const char *id, int64_t now_us);
const struct fw_rl_rules *
Fw_Relay_InForce(const struct fw_relay *r);

#endif
