/*
 * Fault soak: real instances of the router as separate processes, under faults
 * from outside, before stand-ins of the platform in this process. While it
 * runs it checks what callers, servers and the store see.
 */
#ifndef FW_SOAK_SOAK_H
#define FW_SOAK_SOAK_H

#include <glib.h>

#include "base/limits.h"
#include "http/client.h"
#include "soak/proxy.h"
#include "stand/wire/wire.h"

#define FW_SOAK_RELAYS_MAX 64
/* The first engines are prefill engines, the others decode. */
#define FW_SOAK_PREFILL 2
#define FW_SOAK_ENGINES 5
#define FW_SOAK_PLAIN 4
#define FW_SOAK_SERVERS (FW_SOAK_ENGINES + FW_SOAK_PLAIN)
/* Setting retry-extra of the instances. */
#define FW_SOAK_RETRY_EXTRA 58
/* Value of struct soak.crowded_relay for none. */
#define FW_SOAK_NOBODY (-1)
/* A fault may have effects for this long after its end. */
#define FW_SOAK_CALM_US (3 * FW_SEC)
/* Value of a time of disturbance that has not ended. */
#define FW_SOAK_ONGOING INT64_MAX

/**
 * struct soak_relay - one instance of the router.
 * @pid: 0 while it does not run
 * @life: number of its process
 * @disturbed_us: end of the last fault that affected it, FW_SOAK_ONGOING
 *     while it is killed
 * @n_faults: faults that affect it now
 * @term_us: when it was sent SIGTERM, 0 for not
 * @planned_stop: nothing else had affected it when it was
 * @store_proxy: between it and the store
 */
struct soak_relay {
    struct soak *soak;
    int index;
    char name[FW_NAME_MAX];
    GPid pid;
    int life;
    int ports[4];
    char callers[FW_URL_MAX];
    char settings[256];
    int64_t started_us;
    int64_t disturbed_us;
    int n_faults;
    int64_t term_us;
    int planned_stop;
    int expects_exit;
    struct fw_proxy *store_proxy;
};

/**
 * struct soak_server - a stand-in server.
 * @draining_us: since when its entry says that it drains, 0 if it does not
 * @last_after_us: time from then to the last request that has reached it
 * @limit_us: since when it names a limit, 0 if it does not
 * @limit: requests a second
 * @rests: it rejects all requests and asks for rest
 * @arrivals: arrivals while it names a limit, of struct soak_arrival
 * @crash_timer: it is about to crash, 0 if not
 * @is_down: it has crashed and has not been started again
 * @told_us: by relay, when that first passed on a response with the limit
 * @rest_us: by relay, when it was last asked for rest, 0 for not
 * @rest_arrivals: by relay, arrivals since then
 * @left_us: by relay, when it passed on that the server leaves, 0 for not
 */
struct soak_server {
    struct soak *soak;
    const struct fw_wire_opts *opts;
    struct fw_wire_server *stand;
    struct fw_proxy *proxy;
    int64_t disturbed_us;
    int64_t draining_us;
    int64_t last_after_us;
    int64_t limit_us;
    double limit;
    int rests;
    guint crash_timer;
    int is_down;
    GArray *arrivals;
    int64_t told_us[FW_SOAK_RELAYS_MAX];
    int64_t rest_us[FW_SOAK_RELAYS_MAX];
    int rest_arrivals[FW_SOAK_RELAYS_MAX];
    int64_t left_us[FW_SOAK_RELAYS_MAX];
};

/** struct soak_arrival - a request that reached a server. */
struct soak_arrival {
    int64_t at_us;
    int relay;
};

enum soak_kind {
    FW_SOAK_READ,
    FW_SOAK_ORDER,
    FW_SOAK_PUBLIC,
    FW_SOAK_STREAM,
    FW_SOAK_LEFT_STREAM, /* a long one, which its caller leaves */
    FW_SOAK_KINDS,
};

/**
 * struct soak_request - a caller's request.
 * @life: of its relay when it was sent
 * @key: number of the key that it was sent with
 * @status: of its response, 0 for none
 * @runs: times that a server began to run it, other than prefills
 * @arrivals: times that it has reached a server, prefills included
 * @server: the last one that did, NULL for none
 * @culprit: number of a part in it that crashes engines, 0 for none
 * @has_reached: it has reached an engine after that was known
 * @cancel_us: when its caller leaves, 0 for never
 * @left_us: when it has left, 0 for not
 */
struct soak_request {
    struct soak *soak;
    char id[FW_ID_MAX];
    enum soak_kind kind;
    int relay;
    int life;
    int key;
    int64_t sent_us;
    int64_t deadline_us;
    int64_t cancel_us;
    int64_t left_us;
    struct fw_exchange *exchange;
    int status;
    int is_whole;
    int is_ended;
    int runs;
    int arrivals;
    int culprit;
    int has_reached;
    struct soak_server *server;
    GString *body;
};

/**
 * struct soak_culprit - a part of prompts that crashes engines.
 * @part: its number
 * @on: callers send requests with it
 * @bound_us: from when on it may reach only a few engines, 0 if not yet
 * @n_reached: requests that have
 */
struct soak_culprit {
    int part;
    int on;
    int n_crashes;
    int64_t bound_us;
    int n_reached;
};

/**
 * struct soak - the whole run.
 * @crowded_relay: gets most new connections, FW_SOAK_NOBODY for none
 * @left: requests whose caller has left a moment ago
 * @next_id: number of the next request
 * @load_on: callers send requests
 * @store_disturbed_us: end of the last fault of the whole store
 * @revoked_us: when the key k2 was withdrawn, 0 while it is valid
 * @n_served, @n_sent: in the final calm phase if @is_final
 */
struct soak {
    guint32 seed;
    GRand *rand;
    GMainLoop *loop;
    const char *program;
    const char *fault;
    char *dir;
    int64_t start_us;
    int n_relays;
    struct soak_relay relays[FW_SOAK_RELAYS_MAX];
    struct soak_server servers[FW_SOAK_SERVERS];
    struct fw_wire_store *store;
    struct fw_conn_pool *pool;
    GHashTable *requests;
    GPtrArray *open;
    GPtrArray *left;
    int next_id;
    int load_on;
    int64_t store_disturbed_us;
    int config_version;
    int64_t revoked_us;
    int64_t restored_us;
    struct soak_culprit culprit;
    int crowded_relay;
    int is_final;
    int n_sent;
    int n_served;
    int n_total;
    int n_violations;
    GString *log;
};

/* main.c */
int64_t
Fw_Soak_NowUs(void);
/* Writes a line with the time of the run to the soak's log. */
void
Fw_Soak_Log(struct soak *s, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/* world.c */
void
Fw_SoakWorld_Start(struct soak *s);
void
Fw_SoakWorld_Stop(struct soak *s);
/* Ends the server's process and starts it anew. */
void
Fw_SoakWorld_RestartServer(struct soak_server *v);
void
Fw_SoakWorld_PutConfig(struct soak *s, int with_k2);

/* relays.c */
void
Fw_SoakRelay_Start(struct soak *s, int i);
void
Fw_SoakRelay_Signal(struct soak_relay *r, int signal);
/* Writes the settings file; @log_level: as in the settings. */
void
Fw_SoakRelay_WriteSettings(struct soak_relay *r, const char *log_level);
/* Whether no fault has affected the relay lately. */
int
Fw_SoakRelay_IsCalm(const struct soak_relay *r, int64_t at_us);

/* callers.c */
/* Sends the requests that are due; to be called every 10 ms. */
void
Fw_SoakCallers_Tick(struct soak *s);

/* check.c */
void
Fw_SoakCheck_Violation(struct soak *s, const char *promise, const char *fmt,
                       ...) __attribute__((format(printf, 3, 4)));
/* An observer of the stand-in servers; @ctx: struct soak_server. */
void
Fw_SoakCheck_ServerEvent(void *ctx, const char *server,
                         enum fw_wire_event event, const char *id);
/* The head of a response has reached the caller. */
void
Fw_SoakCheck_ResponseHead(struct soak_request *q,
                          const struct fw_http_head *h);
/* The request has ended, with a whole response if @is_whole. */
void
Fw_SoakCheck_End(struct soak_request *q, int err, enum fw_sent sent);
/* The request has had no response long after its deadline. */
void
Fw_SoakCheck_Unanswered(struct soak_request *q);
/* Checks the requests whose callers have left. */
void
Fw_SoakCheck_Left(struct soak *s);
/* A new process of the relay has been told nothing yet. */
void
Fw_SoakCheck_RelayStarted(struct soak *s, int relay);
/* After the load has ended and all was quiet for a while. */
void
Fw_SoakCheck_Final(struct soak *s);

/* crashes.c */
/* A new part crashes engines from now on. */
void
Fw_SoakCrashes_Begin(struct soak *s);
/*
 * The part that the next of @per_s requests a second has in its prompt and
 * that crashes engines, 0 for none.
 */
int
Fw_SoakCrashes_Draw(struct soak *s, int per_s);
/* Appends the field that names the parts of the request's prompt. */
void
Fw_SoakCrashes_AppendParts(const struct soak_request *q, GString *head);
/* The request has reached the server. */
void
Fw_SoakCrashes_NoteArrival(const struct soak_server *v,
                           struct soak_request *q);
/* The server has begun to run the request. */
void
Fw_SoakCrashes_NoteStart(struct soak_server *v, const struct soak_request *q);

/* budget.c */
/* A caller has sent the request. */
void
Fw_SoakBudget_NoteSent(const struct soak_request *q);
/* The request has reached a server. */
void
Fw_SoakBudget_NoteArrival(struct soak_request *q);
/* Logs the most retries of a window; ends the counts. */
void
Fw_SoakBudget_Report(struct soak *s);

/* plan_answers.c */
/* Schedules the times at which servers answer twice, in a run of @ms. */
void
Fw_SoakAnswers_Plan(struct soak *s, int64_t ms);

/* plan.c */
/* Schedules the faults of a run of @ms. */
void
Fw_SoakPlan_Start(struct soak *s, int64_t ms);

#endif
