/*
 * fwload: an open-loop load generator.
 *
 * The arrival times are computed from a seed before the run, and each request
 * is sent at its time whether or not earlier ones have been answered.
 */
#ifndef FW_LOAD_LOAD_H
#define FW_LOAD_LOAD_H

#include <glib.h>
#include <json-glib/json-glib.h>
#include <libsoup/soup.h>
#include <stdint.h>

#include "base/limits.h"
#include "base/ran.h"

#define FW_LOADGEN_TEAMS 5
#define FW_LOADGEN_INSTANCES_MAX 16

/** enum fw_loadgen_fault - the fault injected during a run. */
enum fw_loadgen_fault {
    FW_LOADGEN_FAULT_NONE,
    FW_LOADGEN_FAULT_KILL,     /* SIGKILL to the last instance, which gets no
                                  requests, after a third of the run */
    FW_LOADGEN_FAULT_LOG_DOWN, /* the log answers 503 for the whole run */
};

/**
 * struct fw_loadgen_team - a team that sends requests.
 * @weight: share of all arrivals, relative to the weights of the other teams
 * @rate: rate limit in tokens per second
 * @burst: capacity of the token bucket in tokens
 */
struct fw_loadgen_team {
    char name[FW_NAME_MAX];
    int weight;
    int64_t rate;
    int64_t burst;
};

/**
 * struct fw_experiment - parameters of a run; see docs/operations.
 * @arrivals_per_s: mean arrival rate of all requests, without the surplus of
 *                  the noisy team
 * @domains: number of failure domains
 * @noisy_team: index of the team whose weight is multiplied by
 *              @noisy_factor, or -1
 * @docs_per_team: documents per team; a prompt is a document and a suffix
 * @doc_bytes: least and largest size of a document
 * @suffix_bytes: least and largest size of a suffix
 * @output_tokens: least and largest max_tokens of a completion
 * @order_permille: fraction of all arrivals that are orders
 * @service_get_permille: fraction of all arrivals that are GETs to a service
 * @cancel_permille: fraction of the completions that the client cancels
 * @deadline_permille: fraction of the completions that carry a deadline
 * @settle_s: pause before the first arrival, for the budget leaders to be
 *            elected and the token buckets to fill
 * @stand_options: command-line options of the stand-in servers
 */
struct fw_experiment {
    char workload[FW_NAME_MAX];
    uint32_t seed;
    int duration_s;
    double arrivals_per_s;
    int instances;
    int domains;
    int prefill_engines;
    int decode_engines;
    int service_servers;
    struct fw_loadgen_team team[FW_LOADGEN_TEAMS];
    int noisy_team;
    int noisy_factor;
    int docs_per_team;
    int doc_bytes[2];
    int suffix_bytes[2];
    int output_tokens[2];
    int order_permille;
    int service_get_permille;
    int cancel_permille;
    int deadline_permille;
    int deadline_s;
    int settle_s;
    int64_t ttft_target_us;
    int64_t itl_target_us;
    enum fw_loadgen_fault fault;
    char stand_options[256];
};

enum fw_loadgen_kind {
    FW_LOADGEN_COMPLETION,
    FW_LOADGEN_ORDER,
    FW_LOADGEN_SERVICE_GET,
};

/**
 * struct fw_loadgen_request - a scheduled request and its outcome.
 * @arrival_us: scheduled time since the start of the run
 * @doc_index: which of the team's documents the prompt starts with
 * @cancel_after_us: time from sending to cancelling, 0 for never
 * @deadline_us: deadline relative to the time of sending, 0 for none
 * @id: request id, also the idempotency key of an order
 * @within_limit: the team's rate limit, as modelled by fwload, allowed it
 * @sent_us: monotonic time, as are @first_us and @last_us
 * @first_us: time of the first piece of a completion
 * @last_us: time of the last piece, or of the end of the response if later
 * @pieces: stream events with generated text
 * @status: HTTP status, 0 without a response
 * @not_executed: the response says that the request was not executed
 * @complete: a completion's stream reached [DONE]; any other request got 200
 * @finished: the response ended, or the client stopped waiting for it
 */
struct fw_loadgen_request {
    int64_t arrival_us;
    enum fw_loadgen_kind kind;
    int team;
    int doc_index;
    int suffix_bytes;
    int64_t prompt_tokens;
    int64_t max_tokens;
    int64_t cancel_after_us;
    int64_t deadline_us;
    char id[FW_ID_MAX];
    int within_limit;
    int cancelled;
    int64_t sent_us;
    int64_t first_us;
    int64_t last_us;
    int64_t pieces;
    int status;
    int not_executed;
    int complete;
    int finished;
};

/* workload.c */
/* Sets @e to a built-in workload. Returns 0, or -EINVAL for an unknown one. */
int
Fw_Experiment_InitBuiltin(struct fw_experiment *e, const char *workload);
/*
 * Reads an INI file. Returns 0, or a negative errno with a message in @err
 * that names the file and, if there is one, the key.
 */
int
Fw_Experiment_Read(struct fw_experiment *e, const char *file, GString *err);

/* schedule.c */
/* Returns an array of struct fw_loadgen_request, ordered by arrival time. */
GArray *
Fw_Loadgen_BuildSchedule(const struct fw_experiment *e, uint32_t seed);
/*
 * Returns the prompt of @req, to be freed with g_free(). Requests with the
 * same team and document share a prefix.
 */
char *
Fw_Loadgen_BuildPrompt(const struct fw_experiment *e,
                       const struct fw_loadgen_request *req);

/*
 * Latencies in us are counted in logarithmic buckets, 32 per octave, so a
 * quantile is within 1.1 % of the true value.
 */
#define FW_LATENCY_BUCKETS_PER_OCTAVE 32
#define FW_LATENCY_BUCKETS (32 * FW_LATENCY_BUCKETS_PER_OCTAVE)
struct fw_latency_histogram {
    int64_t count;
    int64_t counts[FW_LATENCY_BUCKETS];
};

/* histogram.c */
/* Adds a latency; less than 1 us counts as 1 us. */
void
Fw_LatencyHistogram_Add(struct fw_latency_histogram *h, int64_t us);
/* Returns quantile @q, from 0 to 1, in us, or 0 for an empty histogram. */
double
Fw_LatencyHistogram_Quantile(const struct fw_latency_histogram *h, double q);

/**
 * struct fw_loadgen_bucket - token bucket that models a team's rate limit.
 * @updated_us: time of the last refill; 0 for a new bucket, which is full
 */
struct fw_loadgen_bucket {
    double tokens;
    int64_t updated_us;
};

/* bucket.c */
/* Refills the bucket and takes @tokens. Returns 0 if it holds fewer. */
int
Fw_LoadgenBucket_TryTake(struct fw_loadgen_bucket *b,
                         const struct fw_loadgen_team *t, int64_t tokens,
                         int64_t now_us);
void
Fw_LoadgenBucket_Refund(struct fw_loadgen_bucket *b,
                        const struct fw_loadgen_team *t, int64_t tokens);

/**
 * struct fw_loadgen_fleet - addresses and processes from fleet.json.
 * @caller_urls: base URLs of the instances for callers
 * @stand_urls: base URLs of the stand-in servers, by name
 * @pids: process ids of the instances and of fwstand, by name
 */
struct fw_loadgen_fleet {
    int n_instances;
    char *caller_urls[FW_LOADGEN_INSTANCES_MAX];
    GHashTable *stand_urls;
    GHashTable *pids;
};

/* fleet_file.c */
/* Returns NULL with a message in @err if the file is invalid. */
struct fw_loadgen_fleet *
Fw_LoadgenFleet_Read(const char *file, GString *err);
void
Fw_LoadgenFleet_Free(struct fw_loadgen_fleet *f);

/* http.c */
/*
 * Sends a request and waits for the response. @key, if not NULL, is the
 * bearer token. If @body isn't NULL, it is set to the response body, which
 * the caller unrefs and which may be NULL. Returns the HTTP status, or 0 if
 * there was no complete response.
 */
int
Fw_LoadgenHttp_Call(SoupSession *session, const char *method, const char *url,
                    const char *json, const char *key, GBytes **body);

/* teams.c */
/*
 * Writes the teams and a new key for each to the configuration log, and waits
 * until every instance accepts the keys and knows all others. @keys has room
 * for FW_LOADGEN_TEAMS strings, which the caller frees, also after an error.
 * Returns 0, -EIO or -ETIMEDOUT.
 */
int
Fw_LoadgenTeams_Apply(const struct fw_experiment *e,
                      const struct fw_loadgen_fleet *f, SoupSession *session,
                      char **keys);

/**
 * struct fw_loadgen_stats - results of a run; see docs/operations.
 * @goodput_per_s: completions per second that met their latency targets or
 *                 their deadline
 * @goodput_share: share of these among the completions within the rate limit
 * @worst_team_share: the least goodput share of a team
 * @worst_compliant_team_share: the least of a team that isn't the noisy one
 * @wrongful_refusals: completions within the rate limit that got an error
 * @wrongful_rate_limited: wrongful refusals with status 429
 * @wrongful_permille: wrongful refusals per 1000 completions within the limit
 * @failed: completions that got neither an error nor a complete response
 * @orders_duplicated: orders that took effect more than once
 * @orders_lost: orders that were answered 200 but did not take effect
 * @orders_false_not_executed: orders that were reported as not executed but
 *                             took effect
 * @journals_complete: zero if a stand-in's journal could not be read in full
 */
struct fw_loadgen_stats {
    double goodput_per_s;
    double goodput_share;
    double wasted_prefill_tokens;
    double prefill_tokens;
    double worst_team_share;
    char worst_team[FW_NAME_MAX];
    double worst_compliant_team_share;
    double wrongful_refusals;
    double wrongful_rate_limited;
    double wrongful_permille;
    double completions_sent;
    double failed;
    double orders_sent;
    double orders_duplicated;
    double orders_lost;
    double orders_false_not_executed;
    struct fw_latency_histogram ttft;
    struct fw_latency_histogram itl;
    int journals_complete;
};

/* sender.c */
/*
 * Sends the requests of @schedule and records their outcome there. Returns
 * when all have finished, or 40 s after the last was sent.
 */
void
Fw_Loadgen_Send(const struct fw_experiment *e,
                const struct fw_loadgen_fleet *f, SoupSession *session,
                char **keys, GArray *schedule, struct fw_loadgen_stats *stats);

/* stats.c */
void
Fw_LoadgenStats_AddRequests(const struct fw_experiment *e,
                            const GArray *schedule,
                            struct fw_loadgen_stats *s);
/* journal.c */
/* Adds prefill tokens and the effects of orders from the stand-ins. */
void
Fw_LoadgenStats_AddJournals(const struct fw_loadgen_fleet *f,
                            SoupSession *session, const GArray *schedule,
                            struct fw_loadgen_stats *s);

/* run.c */
/* Loads a running fleet once. Returns 0 or a negative errno. */
int
Fw_Loadgen_Run(const struct fw_experiment *e, uint32_t seed,
               const char *fleet_file, struct fw_loadgen_stats *stats);

#define FW_POLICIES_MAX 4
/**
 * struct fw_comparison - runs of one experiment with several policies.
 * @repeats: runs of each policy
 * @dir: parent directory of the fleets' directories
 * @stats: of run r with policy p at index r * @n_policies + p
 */
struct fw_comparison {
    int n_policies;
    char *policy[FW_POLICIES_MAX];
    int repeats;
    const char *dir;
    struct fw_loadgen_stats *stats;
};

/* compare.c */
/*
 * Starts a fleet for each run and stops it afterwards. Allocates the stats,
 * which the caller frees, also after an error. Returns 0 or a negative errno.
 */
int
Fw_Comparison_Run(const struct fw_experiment *e, struct fw_comparison *c);

/* report.c */
/* Returns the metrics of all policies as JSON, to be freed with g_free(). */
char *
Fw_Report_Json(const struct fw_experiment *e, const struct fw_comparison *c);
void
Fw_Report_Table(const struct fw_experiment *e, const struct fw_comparison *c);
/* plot.c */
/* Returns a bar chart as SVG, to be freed with g_free(). */
char *
Fw_Plot_Svg(const struct fw_experiment *e, const struct fw_comparison *c);

#endif
