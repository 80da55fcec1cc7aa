/*
 * Core of the relay, which routes callers' requests to upstreams. It does no
 * I/O: the shell passes it events with the current time and carries out the
 * actions that it returns. Bodies are copied between connections by the
 * shell; the core sees only ids, sizes and times.
 */
#ifndef FW_RELAY_RELAY_H
#define FW_RELAY_RELAY_H

#include "base/metrics.h"
#include "base/ran.h"
#include "decide/server_limit.h"
#include "relay/types.h"

/*
 * Time from SIGTERM until no load balancer sends new connections: it checks
 * readiness once a second, until two checks have failed.
 */
#define FW_RL_STOP_NOTICED_US (2500 * FW_MSEC)
/*
 * Part of the grace period before its end that is reserved for answering the
 * requests which are still open.
 */
#define FW_RL_ANSWER_MARGIN_US (400 * FW_MSEC)

struct fw_relay;

/** enum fw_rl_upstream_kind - operation requested of an upstream. */
enum fw_rl_upstream_kind {
    FW_RL_UP_RUN,       /* run the caller's request */
    FW_RL_UP_PREFILL,   /* prefill the prompt and keep its KV cache */
    FW_RL_UP_RESERVE,   /* reserve a slot and KV cache memory */
    FW_RL_UP_RELEASE,   /* release a reservation */
    FW_RL_UP_FREE_KV,   /* free the KV cache of a prefill */
    FW_RL_UP_REPORT,    /* report the engine's state and streams */
    FW_RL_UP_SET_STAGE, /* change the engine's stage */
    FW_RL_UP_PROBE,     /* any response shows that the link works */
    FW_RL_UP_HANDOVER,  /* have another instance serve the caller's request */
};

/**
 * struct fw_rl_upstream_call - a call to an upstream.
 * @xid: id under which the shell reports the outcome
 * @call: id of the caller's request, 0 if the call serves none
 * @addr: address to connect to
 * @server: server id that must answer there, empty for any; an action owns a
 *     copy
 * @timeout_us: time limit to send to the upstream
 * @team: team to send to the upstream, empty for none; an action owns a copy
 * @priority: 0 most urgent, 9 least; -1 for the upstream's default
 * @buffer_response: buffer the response and report only its end; a large
 *     response is forwarded as it arrives
 * @is_streaming: responses to requests of the route are event streams (RUN,
 *     HANDOVER)
 * @reuse_us: maximum idle time of a connection that may be reused; 0 for a
 *     new connection
 * @connect_us: connect timeout
 * @reservation: reservation to use (RUN) or to release (RELEASE)
 * @kv_addr: engine that holds the KV cache to fetch
 * @kv_handle: KV cache to fetch (RUN) or to free (FREE_KV)
 * @tokens: size of the reservation (RESERVE)
 * @ttl_us: lifetime of the reservation (RESERVE)
 * @stage: new stage (SET_STAGE)
 * @fence: fencing token (SET_STAGE)
 * @expected_orders: number of orders that the engine must have accepted so
 *     far for this one to be valid (SET_STAGE)
 * @path: target (PROBE); an action owns a copy
 */
struct fw_rl_upstream_call {
    enum fw_rl_upstream_kind kind;
    uint64_t xid;
    uint64_t call;
    char addr[FW_URL_MAX];
    const char *server;
    int64_t timeout_us;
    const char *team;
    int priority;
    int buffer_response;
    int is_streaming;
    int64_t reuse_us;
    int64_t connect_us;
    char reservation[FW_RL_HANDLE_MAX];
    char kv_addr[FW_URL_MAX];
    char kv_handle[FW_RL_HANDLE_MAX];
    int64_t tokens;
    int64_t ttl_us;
    enum fw_rl_stage stage;
    uint64_t fence;
    int64_t expected_orders;
    const char *path;
};

/* Maximum number of streams read from an engine's report. */
#define FW_RL_STREAM_REPORTS_MAX 32

/**
 * struct fw_rl_stream_report - a stream as its engine reports it.
 * @id: hash of the request id
 * @tokens: tokens in the KV cache, prompt included
 * @events: events generated so far
 */
struct fw_rl_stream_report {
    uint64_t id;
    int64_t tokens;
    int64_t events;
};

/* Higher limits of upstreams are taken for this one, milli per second. */
#define FW_RL_LIMIT_MILLI_MAX (1000 * 1000 * 1000)
/* Longer times of rest are taken for this one. */
#define FW_RL_REST_MAX_US (3600 * FW_SEC)

/**
 * struct fw_rl_upstream_response - response of an upstream.
 * @status: HTTP status
 * @limit_milli: rate that the upstream takes from all instances together,
 *     thousandths of a request a second; FW_NO_LIMIT if it names none
 * @invalid_limit: it names a limit that could not be parsed
 * @rest_us: the upstream rejects this request and wants none from this
 *     instance for this long; 0 for none
 * @invalid_rest: it names a time of rest that could not be parsed
 * @leaving: it is about to shut down
 * @invalid_leaving: it says so in a form that could not be parsed
 * @not_run: the upstream states that it did not run the request
 * @wrong_server: another server now uses the address
 * @handover_refused: the instance can't serve requests, and has sent this one
 *     to no server (HANDOVER)
 * @handle: reservation or KV cache created, empty for none
 * @events: events of the stream so far
 * @stage: stage of the engine (REPORT)
 * @changing_stage: the engine is changing its stage (REPORT)
 * @orders: number of orders that the engine has accepted, negative if not
 *     reported (REPORT)
 * @streams: streams running at the engine (REPORT)
 */
struct fw_rl_upstream_response {
    int status;
    int64_t limit_milli;
    int invalid_limit;
    int64_t rest_us;
    int invalid_rest;
    int leaving;
    int invalid_leaving;
    int not_run;
    int wrong_server;
    int handover_refused;
    char handle[FW_RL_HANDLE_MAX];
    int64_t events;
    enum fw_rl_stage stage;
    int changing_stage;
    int64_t orders;
    int n_streams;
    struct fw_rl_stream_report streams[FW_RL_STREAM_REPORTS_MAX];
};

/** enum fw_rl_action_kind - tag of struct fw_rl_action. */
enum fw_rl_action_kind {
    FW_RL_DO_REJECT,      /* answer the caller with an error response */
    FW_RL_DO_FORWARD,     /* forward the response of @xid as it arrives */
    FW_RL_DO_FINISH,      /* end the forwarded response */
    FW_RL_DO_ABORT,       /* abort the forwarded response */
    FW_RL_DO_CALL,        /* call an upstream */
    FW_RL_DO_CANCEL_CALL, /* cancel the call @xid to an upstream */
    FW_RL_DO_CLAIM_ROLE,  /* append a claim of the order role to the log */
    FW_RL_DO_CLOSE_IDLE,  /* close idle connections to @addr */
    FW_RL_DO_LOG,
};

/**
 * struct fw_rl_rejection - an error response to a caller.
 * @retry_us: Retry-After, 0 for none
 * @reason: string literal; also the value of the metric's label
 * @ran: whether the request was run
 * @refuses_handover: another instance handed it over, and may hand it to a
 *     third one, as this one can't serve requests
 */
struct fw_rl_rejection {
    uint64_t call;
    int status;
    int64_t retry_us;
    const char *reason;
    enum fw_ran ran;
    int refuses_handover;
};

/* Fits a request id, a route, a team and two servers; longer text is cut. */
#define FW_RL_LOG_TEXT_MAX 640

/**
 * struct fw_rl_log_line - a structured log line.
 * @severity: syslog severity
 * @event: string literal
 * @text: JSON members, without braces
 */
struct fw_rl_log_line {
    int severity;
    const char *event;
    char text[FW_RL_LOG_TEXT_MAX];
};

/**
 * struct fw_rl_action - an action for the shell to carry out.
 * @u: argument, by @kind; for FW_RL_DO_CLAIM_ROLE, @u.claim_offset is the log
 *     offset at which the claim must be appended
 */
struct fw_rl_action {
    enum fw_rl_action_kind kind;
    union {
        struct fw_rl_rejection rejection;
        struct {
            uint64_t call;
            uint64_t xid;
        } forward;
        uint64_t call; /* FINISH, ABORT */
        struct fw_rl_upstream_call upstream_call;
        uint64_t xid; /* CANCEL_CALL */
        uint64_t claim_offset;
        char addr[FW_URL_MAX];
        struct fw_rl_log_line log;
    } u;
};

/** struct fw_rl_actions - actions in order; the shell frees them. */
struct fw_rl_actions {
    GArray *all; /* of struct fw_rl_action */
};

/** enum fw_rl_policy - load balancing policy. */
enum fw_rl_policy {
    FW_RL_POLICY_FULL,         /* by memory, queue, error rate, latency */
    FW_RL_POLICY_LEAST_LOADED, /* by running requests; a baseline */
    FW_RL_POLICY_RANDOM,       /* any usable server; a baseline */
};

/** enum fw_rl_precedence - services whose requests have precedence by rank. */
enum fw_rl_precedence {
    FW_RL_PRECEDENCE_OFF,
    FW_RL_PRECEDENCE_ON,     /* those whose routes or teams differ in rank */
    FW_RL_PRECEDENCE_ROUTES, /* those whose routes differ in rank */
};

/**
 * struct fw_relay_opts - settings; see docs/OPERATIONS.md.
 * @domain: failure domain of this instance
 * @regions: region of each failure domain
 * @boot: identifies this run of the process
 * @seed: seed of the random number generator
 * @retry_ratio_ppm: retries of all instances together, in proportion to the
 *     requests for a service within @retry_window_us
 * @retry_extra: retries allowed on top of that, all instances together
 * @retry_window_us: window of the retry budget
 * @key_stale_us: requests with a key are rejected unless the configuration
 *     is known to have been the newest less than this long ago
 * @queue_limit_us: maximum wait for an engine's reservation; 0 to derive it
 *     from the route's objective
 * @reserve_permille: part of a request's maximum output tokens to reserve
 * @local_prefill_us: the decode engine prefills the prompt itself if a
 *     prefill engine would take longer than this
 * @prefill_permille: part of a service's engines assumed to be busy with
 *     prefill until prompts have been received long enough to estimate it
 * @patience_objectives: callers abandon a stream whose first event takes
 *     longer than this many times its objective; 0 if they don't
 * @precedence: where requests of less urgent ranks wait for more urgent ones
 * @admission_forecast: plain requests are admitted by a forecast of what the
 *     servers can carry
 * @speed_spread_ppm: servers of a service are chosen by their speeds if the
 *     ratio of the fastest to the slowest exceeds this, in millionths; 0 for
 *     never
 * @overage_ppm: tolerated excess over a team's rate
 * @tolerance_tokens: tolerated excess over a team's burst
 * @cold_overage_ppm: factor of the rate that cold servers tolerate
 * @cold_tolerance: requests that they tolerate beyond that in any second
 * @start_wait_us: requests that arrive before this instance can serve wait
 *     until this long after its start
 * @lease_us: duration of a lease of the order role
 * @grace_us: time from SIGTERM until the process is killed
 * @cpu_ppm: CPU share of this instance, one core being 1,000,000; instances
 *     with larger shares are preferred as hubs
 * @digest_period_us: interval between digests, and between reports
 * @log_level: least severe syslog severity to log
 * @log_sample: one in this many successful requests is logged
 */
struct fw_relay_opts {
    char name[FW_NAME_MAX];
    char domain[FW_NAME_MAX];
    struct fw_rl_domain_regions regions;
    uint64_t boot;
    uint32_t seed;
    int64_t retry_ratio_ppm;
    int64_t retry_extra;
    int64_t retry_window_us;
    int64_t key_stale_us;
    enum fw_rl_policy policy;
    int64_t queue_limit_us;
    int reserve_permille;
    int64_t local_prefill_us;
    int prefill_permille;
    int patience_objectives;
    enum fw_rl_precedence precedence;
    int admission_forecast;
    int64_t speed_spread_ppm;
    int64_t overage_ppm;
    int64_t tolerance_tokens;
    int64_t cold_overage_ppm;
    int64_t cold_tolerance;
    int64_t start_wait_us;
    int64_t lease_us;
    int64_t grace_us;
    int64_t cpu_ppm;
    int64_t digest_period_us;
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
Fw_RelayActions_Init(struct fw_rl_actions *acts);
void
Fw_RelayActions_Clear(struct fw_rl_actions *acts);

/* A caller's request was received; @call is its id until it has ended. */
void
Fw_Relay_Open(struct fw_relay *r, uint64_t call,
              const struct fw_rl_request_info *info, int64_t now_us,
              struct fw_rl_actions *out);
/* The caller has disconnected. */
void
Fw_Relay_CallerLeft(struct fw_relay *r, uint64_t call, int64_t now_us,
                    struct fw_rl_actions *out);

/*
 * Answers the requests that are still open, as the process is about to end,
 * and aborts the responses that have begun.
 */
void
Fw_Relay_EndRequests(struct fw_relay *r, int64_t now_us,
                     struct fw_rl_actions *out);

/* The headers of any response were received; called once for each. */
void
Fw_Relay_ResponseHead(struct fw_relay *r, uint64_t xid,
                      const struct fw_rl_upstream_response *ans,
                      int64_t now_us, struct fw_rl_actions *out);
/*
 * The headers of an unbuffered response were received (FW_RL_UP_RUN and
 * FW_RL_UP_HANDOVER only).
 */
void
Fw_Relay_ResponseBegan(struct fw_relay *r, uint64_t xid,
                       const struct fw_rl_upstream_response *ans,
                       int64_t now_us, struct fw_rl_actions *out);
/* A response was received completely. */
void
Fw_Relay_ResponseEnded(struct fw_relay *r, uint64_t xid,
                       const struct fw_rl_upstream_response *ans,
                       int64_t now_us, struct fw_rl_actions *out);
/*
 * A call to an upstream failed.
 * @err: negative errno
 * @sent: part of the request may have reached the upstream
 */
void
Fw_Relay_UpstreamFailed(struct fw_relay *r, uint64_t xid, int err, int sent,
                        int64_t now_us, struct fw_rl_actions *out);

/*
 * Sets the configuration read at the log's @offset if it is newer than the
 * current one; takes a reference. @rules is NULL if it was invalid.
 */
void
Fw_Relay_SetRules(struct fw_relay *r, struct fw_rl_rules *rules,
                  uint64_t offset, int64_t now_us, struct fw_rl_actions *out);
/*
 * Sets whether the failure domain @domain is evacuated, as the record at the
 * log's @offset says. Ignored if a newer record about the domain is known.
 */
void
Fw_Relay_SetEvacuation(struct fw_relay *r, const char *domain, int active,
                       uint64_t offset, int64_t now_us,
                       struct fw_rl_actions *out);
/*
 * Enclose a complete listing of the evacuations as of the log's offset @end.
 * Those not set in between have ended, unless their record is not older.
 */
void
Fw_Relay_BeginEvacuationList(struct fw_relay *r);
void
Fw_Relay_EndEvacuationList(struct fw_relay *r, uint64_t end, int64_t now_us,
                           struct fw_rl_actions *out);
/* All records of the operator before the log's @offset were read. */
void
Fw_Relay_SetRulesOffset(struct fw_relay *r, uint64_t offset);
/*
 * The newest configuration in the store at @as_of_us was read. It says nothing
 * of the one in force while the newest can't be used.
 */
void
Fw_Relay_SetFreshAsOf(struct fw_relay *r, int64_t as_of_us);
/* How long ago the configuration was known to be the newest, -1 if never. */
int64_t
Fw_Relay_RulesAgeUs(const struct fw_relay *r, int64_t now_us);
/*
 * Adds or updates a server; @entry is NULL if it is no longer listed. Return:
 * zero if the entry says nothing new, but for how long the server is cold.
 */
int
Fw_Relay_UpdateServer(struct fw_relay *r, const char *id,
                      const struct fw_rl_server_entry *entry, int64_t now_us,
                      struct fw_rl_actions *out);
/*
 * Enclose a complete listing of the servers; those not updated in between are
 * removed.
 */
void
Fw_Relay_BeginServerList(struct fw_relay *r);
void
Fw_Relay_EndServerList(struct fw_relay *r, int64_t now_us,
                       struct fw_rl_actions *out);
/* The store has stopped answering. */
void
Fw_Relay_StoreUnreachable(struct fw_relay *r, int64_t now_us);
/* The store answers again. */
void
Fw_Relay_StoreRecovered(struct fw_relay *r, int64_t now_us);

/** enum fw_rl_claim_result - outcome of a claim of the order role. */
enum fw_rl_claim_result {
    FW_RL_CLAIM_WON,     /* the claim was appended to the log */
    FW_RL_CLAIM_LOST,    /* another claim was appended first */
    FW_RL_CLAIM_UNKNOWN, /* the log did not answer */
};

/*
 * Outcome of an FW_RL_DO_CLAIM_ROLE that was sent at @sent_us.
 * @offset: offset of the claim if it was appended, otherwise the log's end
 */
void
Fw_Relay_ClaimEnded(struct fw_relay *r, enum fw_rl_claim_result claim,
                    uint64_t offset, int64_t sent_us, int64_t now_us);

/** struct fw_rl_datagram - a message to the instance at @addr. */
struct fw_rl_datagram {
    char addr[FW_URL_MAX];
    GBytes *data;
};

/** struct fw_rl_outbox - outgoing messages, of struct fw_rl_datagram. */
struct fw_rl_outbox {
    GPtrArray *all;
};

void
Fw_Outbox_Init(struct fw_rl_outbox *outbox);
/* Frees the messages. */
void
Fw_Outbox_Clear(struct fw_rl_outbox *outbox);
/* Appends the messages to other instances that are due. */
void
Fw_Relay_WriteMessages(struct fw_relay *r, int64_t now_us,
                       struct fw_rl_outbox *out);
/* Requests reservations for queued requests as far as engines have room. */
void
Fw_Relay_PlaceQueued(struct fw_relay *r, int64_t now_us,
                     struct fw_rl_actions *out);
/* Time at which Fw_Relay_WriteMessages() must be called again. */
int64_t
Fw_Relay_NextMessageUs(const struct fw_relay *r);
/*
 * Handles a message from another instance at @addr and appends replies to
 * @out. Return: 1 if the sender is new or was not live, 0 otherwise,
 * -EBADMSG if the message is invalid.
 */
int
Fw_Relay_ReadMessage(struct fw_relay *r, const char *addr, const void *data,
                     size_t len, int64_t now_us, struct fw_rl_outbox *out);
/* Whether this instance reads the store itself rather than rely on others. */
int
Fw_Relay_ReadsStore(const struct fw_relay *r, int64_t now_us);
/* Long-poll timeout in us of a configuration read, at most @base_us. */
int64_t
Fw_Relay_RulesPollUs(struct fw_relay *r, int64_t base_us, int64_t now_us);
/*
 * Whether another instance knows a newer configuration, or newer servers.
 * @addr receives its address. Each such notice is returned only once.
 */
int
Fw_Relay_TakeRulesSource(struct fw_relay *r, char addr[FW_URL_MAX]);
int
Fw_Relay_TakeServerListSource(struct fw_relay *r, char addr[FW_URL_MAX]);
/* The servers' entries were read up to the log's @offset. */
void
Fw_Relay_SetServerListOffset(struct fw_relay *r, uint64_t offset);
/**
 * struct fw_rl_peer - registration of another instance.
 * @domain: its failure domain
 * @cpu_ppm: its CPU share, one core being 1,000,000
 */
struct fw_rl_peer {
    char name[FW_NAME_MAX];
    char addr[FW_URL_MAX];
    char domain[FW_NAME_MAX];
    int64_t cpu_ppm;
};

/* Adds or updates a registered instance. */
void
Fw_Relay_AddMember(struct fw_relay *r, const struct fw_rl_peer *peer,
                   int64_t now_us);
/**
 * enum fw_rl_crash_record_kind - what a record in the store says about a key,
 * which stands for a request or a part of a prompt.
 * @FW_RL_RECORD_CRASH: it has crashed servers
 * @FW_RL_RECORD_RELEASE: it has crashed none until then
 */
enum fw_rl_crash_record_kind {
    FW_RL_RECORD_CRASH,
    FW_RL_RECORD_RELEASE
};

/**
 * struct fw_rl_crash_record - a record in the store; see crash_store.c.
 * @at_us: the last crash, or until when it was cleared of crashes
 * @n_crashes: crashes that it is blamed for
 * @is_deleted: the record is to be removed
 */
struct fw_rl_crash_record {
    enum fw_rl_crash_record_kind kind;
    uint64_t key;
    int64_t at_us;
    int n_crashes;
    int is_deleted;
};

/*
 * Forgets the records about crashes that were read before. It is followed by
 * Fw_Relay_NoteCrashRecord() for each one and by Fw_Relay_EndMemberList().
 */
void
Fw_Relay_BeginCrashRecords(struct fw_relay *r);
void
Fw_Relay_NoteCrashRecord(struct fw_relay *r,
                         const struct fw_rl_crash_record *rec);
/*
 * The next record to append to the store. Return: nonzero if there is one, 0
 * for none, or -EAGAIN if the records have to be read first. An appended
 * record counts as written once it was read back.
 */
int
Fw_Relay_DueCrashRecord(struct fw_relay *r, int64_t now_us,
                        struct fw_rl_crash_record *out);
/*
 * All registered instances have been added with Fw_Relay_AddMember(), and all
 * records about crashes were noted.
 */
void
Fw_Relay_EndMemberList(struct fw_relay *r, int64_t now_us);
/*
 * Whether to read the registrations and what other instances have published
 * every few seconds, because instances are missing.
 */
int
Fw_Relay_WatchesPresence(const struct fw_relay *r);
/*
 * The instances seen here, hashes of their names, if they are to be published
 * now; NULL otherwise. The caller frees it.
 */
GArray *
Fw_Relay_TakePresence(struct fw_relay *r, int64_t now_us);
/* The instance @publisher has published what it sees at the log's @offset. */
void
Fw_Relay_NotePresence(struct fw_relay *r, const char *publisher,
                      uint64_t offset, const GArray *seen, int64_t now_us);
/* Whether no message of any other instance was received recently. */
int
Fw_Relay_IsIsolated(const struct fw_relay *r, int64_t now_us);

/* Starts draining: the instance is no longer ready. */
void
Fw_Relay_Drain(struct fw_relay *r, int64_t now_us, struct fw_rl_actions *out);
/* Handles timeouts and periodic work. */
void
Fw_Relay_Tick(struct fw_relay *r, int64_t now_us, struct fw_rl_actions *out);
/* Time of the next call of Fw_Relay_Tick(). */
int64_t
Fw_Relay_NextTickUs(const struct fw_relay *r, int64_t now_us);
/* Instances of the fleet, this one included; at least 1. */
int
Fw_Relay_CountInstances(struct fw_relay *r, int64_t now_us);
int
Fw_Relay_IsReady(const struct fw_relay *r, int64_t now_us);
/* Whether to close callers' connections so that they reconnect elsewhere. */
int
Fw_Relay_ShedsConnections(const struct fw_relay *r, int64_t now_us);
/* Whether the server @id is known, usable or not. */
int
Fw_Relay_HasServer(const struct fw_relay *r, const char *id);
/* Whether new requests may be sent to the server @id. */
int
Fw_Relay_IsServerUsable(const struct fw_relay *r, const char *id,
                        int64_t now_us);
/* Returns the current configuration, NULL if there is none; borrowed. */
const struct fw_rl_rules *
Fw_Relay_CurrentRules(const struct fw_relay *r);

#endif
