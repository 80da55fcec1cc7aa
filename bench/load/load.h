/*
 * fwload: open-loop load on a fleet, and what came of it.
 *
 * Arrivals are drawn in advance from a seed and sent at their time whether or
 * not earlier ones were answered, so a slow router can't slow its own load.
 */
#ifndef FW_LOAD_LOAD_H
#define FW_LOAD_LOAD_H

#include <glib.h>
#include <json-glib/json-glib.h>
#include <libsoup/soup.h>
#include <stdint.h>

#include "base/limits.h"
#include "base/ran.h"

#define FW_LOAD_TEAMS 5
#define FW_LOAD_CALLERS 16

/** enum fw_load_fault - what is done to the fleet half way. */
enum fw_load_fault {
    FW_LOAD_NO_FAULT,
    FW_LOAD_KILL, /* one instance, which takes no callers, is killed */
    FW_LOAD_LOG_DOWN,
};

/**
 * struct fw_load_team - a tenant.
 * @weight: its part of the arrivals, of the sum of all
 * @rate, @burst: what it is entitled to, in tokens
 */
struct fw_load_team {
    char name[FW_NAME_MAX];
    int weight;
    int64_t rate;
    int64_t burst;
};

/**
 * struct fw_experiment - what is run; see docs/operations.
 * @per_s: arrivals a second of all kinds
 * @noisy: index of the team that sends @noisy_times as much, or -1
 * @docs: documents of each team, whose text its prompts begin with
 * @doc_bytes, @tail_bytes: of the document and of the caller's own part
 * @out_tokens: wanted of an answer, least and most
 * @order_permille ... of all arrivals; @cancel_permille, @deadline_permille
 *                 of the completions
 * @settle_s: pause before the first arrival, in which leaders of the teams
 *            settle and buckets fill
 * @stand: options for the stand-ins
 */
struct fw_experiment {
    char workload[FW_NAME_MAX];
    uint32_t seed;
    int seconds;
    double per_s;
    int instances;
    int domains;
    int prefill;
    int decode;
    int services;
    struct fw_load_team team[FW_LOAD_TEAMS];
    int noisy;
    int noisy_times;
    int docs;
    int doc_bytes[2];
    int tail_bytes[2];
    int out_tokens[2];
    int order_permille;
    int reading_permille;
    int cancel_permille;
    int deadline_permille;
    int deadline_s;
    int settle_s;
    int64_t ttft_us;
    int64_t itl_us;
    enum fw_load_fault fault;
    char stand[256];
};

/** enum fw_shot_kind - what a caller asks for. */
enum fw_shot_kind {
    FW_SHOT_COMPLETION,
    FW_SHOT_ORDER,
    FW_SHOT_READING,
};

/**
 * struct fw_shot - one arrival and what became of it.
 * @within: its team was within its rate and burst when it was sent, by this
 *          tool's own account
 * @status: HTTP status, 0 when none came
 * @whole: all pieces and the closing line came
 */
struct fw_shot {
    int64_t at_us;
    enum fw_shot_kind kind;
    int team;
    int doc;
    int tail_bytes;
    int64_t prompt_tokens;
    int64_t max_tokens;
    int64_t cancel_after_us;
    int64_t deadline_us;
    char id[FW_ID_MAX];
    int within;
    int cancelled;
    int64_t sent_us;
    int64_t first_us;
    int64_t last_us;
    int64_t pieces;
    int status;
    int ran_no;
    int whole;
    int ended;
};

/* workload.c */
/* Return: 0, or -EINVAL for an unknown name. */
int
Fw_Load_Builtin(struct fw_experiment *e, const char *workload);
/* Reads an INI file; @err names file, group and key of what is wrong. */
int
Fw_Load_Read(struct fw_experiment *e, const char *file, GString *err);

/* plan.c */
/* Array of struct fw_shot in order of time. */
GArray *
Fw_Load_Plan(const struct fw_experiment *e, uint32_t seed);
/* The prompt of @shot; the same document text for the same team and doc. */
char *
Fw_Load_Prompt(const struct fw_experiment *e, const struct fw_shot *shot);

/**
 * struct fw_histogram - counts in buckets a 32nd of an octave wide: a value
 * read back is at most 1.1 % off.
 */
#define FW_HIST_PER_OCTAVE 32
#define FW_HIST_BUCKETS (32 * FW_HIST_PER_OCTAVE)
struct fw_histogram {
    int64_t n;
    int64_t bucket[FW_HIST_BUCKETS];
};

/* histogram.c; @us from 1 on. */
void
Fw_Hist_Add(struct fw_histogram *h, int64_t us);
double
Fw_Hist_Quantile(const struct fw_histogram *h, double q);

/** struct fw_account - this tool's own model of a team's rate and burst. */
struct fw_account {
    double tokens;
    int64_t at_us;
};

/* account.c */
int
Fw_Account_Take(struct fw_account *a, const struct fw_load_team *t,
                int64_t tokens, int64_t now_us);
void
Fw_Account_Give(struct fw_account *a, const struct fw_load_team *t,
                int64_t tokens);

/** struct fw_load_fleet - where everything is, from fleet.json. */
struct fw_load_fleet {
    int n_callers;
    char *caller[FW_LOAD_CALLERS];
    GHashTable *stands; /* name to base URL */
    GHashTable *pids;   /* name to pid */
};

/* fleet_file.c */
struct fw_load_fleet *
Fw_LoadFleet_Read(const char *file, GString *err);
void
Fw_LoadFleet_Free(struct fw_load_fleet *f);

/* http.c: one call at a time, waited for. Return: status or 0. */
int
Fw_LoadHttp_Call(SoupSession *session, const char *method, const char *url,
                 const char *json, const char *key, GBytes **body);

/* teams.c: gives the teams and their keys to the fleet, and waits until all
 * instances know them. @keys: FW_LOAD_TEAMS texts, to be freed. */
int
Fw_LoadTeams_Apply(const struct fw_experiment *e,
                   const struct fw_load_fleet *f, SoupSession *session,
                   char **keys);

/**
 * struct fw_score - what a run is judged by; see docs/operations.
 * @worst_quiet_share: the same among the teams that keep to their share
 * @wrongful: answered with an error though within rate and burst
 * @failed: neither whole nor answered with an error
 */
struct fw_score {
    double good_per_s;
    double good_share;
    double wasted_tokens;
    double prefill_tokens;
    double worst_team_share;
    char worst_team[FW_NAME_MAX];
    double worst_quiet_share;
    double wrongful;
    double wrongful_rate; /* of them by rate limit */
    double wrongful_permille;
    double sent;
    double failed;
    double orders_sent;
    double orders_doubled;
    double orders_dropped;
    double orders_false_no;
    struct fw_histogram ttft;
    struct fw_histogram itl;
    int journal_whole;
};

/* shoot.c: sends the plan; returns when all are answered or given up. */
void
Fw_Load_Shoot(const struct fw_experiment *e, const struct fw_load_fleet *f,
              SoupSession *session, char **keys, GArray *plan,
              struct fw_score *score);

/* score.c */
void
Fw_Score_Shots(const struct fw_experiment *e, const GArray *plan,
               struct fw_score *s);
/* journal.c: wasted prefill and orders, from the stand-ins. */
void
Fw_Score_Journals(const struct fw_load_fleet *f, SoupSession *session,
                  const GArray *plan, struct fw_score *s);

/* run.c: one run against a running fleet. Return: 0 or -errno. */
int
Fw_Load_Run(const struct fw_experiment *e, uint32_t seed,
            const char *fleet_file, struct fw_score *score);

/** struct fw_compare - interleaved runs of several policies. */
#define FW_POLICIES_MAX 4
struct fw_compare {
    int n;
    char *policy[FW_POLICIES_MAX];
    int repeats;
    const char *dir;
    struct fw_score *score; /* repeats times n */
};

/* compare.c: starts and ends the fleets itself. */
int
Fw_Compare_Run(const struct fw_experiment *e, struct fw_compare *c);

/* report.c */
char *
Fw_Report_Json(const struct fw_experiment *e, const struct fw_compare *c);
void
Fw_Report_Table(const struct fw_experiment *e, const struct fw_compare *c);
/* plot.c: goodput, wasted prefill, worst team, wrongful refusals as SVG. */
char *
Fw_Plot_Svg(const struct fw_experiment *e, const struct fw_compare *c);

#endif
