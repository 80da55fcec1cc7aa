/*
 * Admission of plain calls when servers are short: which calls are sent to a
 * server, and when a rejected caller should retry.
 *
 * Loads of other instances are known late, so that a bound on the queues
 * alone alternates between admitting all calls and none. The share admitted
 * follows the arrival rate against the rate at which the servers complete
 * calls. The backlog corrects this share over a horizon that is longer than
 * the age of the loads. All instances compute the same share.
 *
 * Under overload first attempts go before repeats: a repeat is late by the
 * time it arrives, and would make a first attempt late as well.
 */
#ifndef FW_DECIDE_PLAIN_ADMISSION_H
#define FW_DECIDE_PLAIN_ADMISSION_H

#include <stdint.h>

/* Slots of announced retries, FW_PLAIN_RETRY_SLOT_US each. */
#define FW_PLAIN_RETRY_SLOTS 24
#define FW_PLAIN_RETRY_SLOT_US 100000

/** enum fw_plain_verdict - why a call is admitted or rejected. */
enum fw_plain_verdict {
    FW_PLAIN_ADMIT,
    FW_PLAIN_NO_TIME,    /* it can't be answered by its deadline */
    FW_PLAIN_LATE,       /* late, and would delay calls that are in time */
    FW_PLAIN_OVER_RATE,  /* above the rate that the servers complete */
    FW_PLAIN_CROWDED,    /* the chosen server's queue is too long */
    FW_PLAIN_OVER_SHARE, /* above this instance's share of the servers */
};

/**
 * struct fw_plain_servers - the servers of one service, as seen here.
 * @running: requests of all instances there
 * @slots: requests that they run at once
 * @completions: requests that they complete a second with all slots busy
 * @asked: calls a second of all ranks and instances
 * @age_us: age of the other instances' loads
 * @instances: size of the fleet
 * @is_isolated: this instance knows no load of others, and there are some
 */
struct fw_plain_servers {
    int running;
    int slots;
    double completions;
    double asked;
    int64_t age_us;
    int instances;
    int is_isolated;
};

/**
 * struct fw_plain_server - the server chosen for a call.
 * @running: requests of all instances there
 * @service_us: time that a request takes in a slot, 0 if unknown
 * @speed: relative to the time above; 1 if unknown
 * @response_us: mean response time of late, as seen here; 0 if unknown
 */
struct fw_plain_server {
    int running;
    int slots;
    double service_us;
    double speed;
    double response_us;
};

/**
 * struct fw_plain_call - a call to be admitted.
 * @objective_us: limit for an answer in time, from the first attempt
 * @left_us: time to its deadline
 * @spent_us: time since the caller's first attempt
 * @is_repeat: the caller was rejected before; @spent_us may be unknown
 * @asked: calls of its rank a second, of all instances
 * @asked_before: the same for more urgent ranks
 */
struct fw_plain_call {
    int64_t objective_us;
    int64_t left_us;
    int64_t spent_us;
    int is_repeat;
    double asked;
    double asked_before;
};

/**
 * struct fw_plain_decision - outcome for one call.
 * @wait_us: expected wait for a slot
 * @probability: share of such calls that is admitted
 * @rate: calls a second that all instances together may admit now
 */
struct fw_plain_decision {
    enum fw_plain_verdict verdict;
    int64_t wait_us;
    double probability;
    double rate;
};

/**
 * struct fw_plain_admission - what an instance remembers for one service.
 * @local: calls a second here
 * @noted_us: when it was updated
 * @slot_us: mean time of a request in a slot, 0 if unknown
 * @n_slot_us: samples of it, up to a limit
 * @credit: calls that may be admitted in isolation
 * @credit_us: when it was updated
 * @retries: callers asked to retry, by the time of the retry
 * @retry_slot: number of the earliest slot in @retries
 */
struct fw_plain_admission {
    double local;
    int64_t noted_us;
    double slot_us;
    int n_slot_us;
    double credit;
    int64_t credit_us;
    int retries[FW_PLAIN_RETRY_SLOTS];
    int64_t retry_slot;
};

/**
 * struct fw_declared_time - the time that most callers of a route declare.
 * @usual_us: the time that most of them leave for their calls
 * @votes: by how many calls it leads over all others
 */
struct fw_declared_time {
    int64_t usual_us;
    int votes;
};

/*
 * A call arrived whose caller declares @left_us to its deadline, 0 for none.
 * Return: nonzero if callers usually leave more time, so that it is a repeat.
 */
int
Fw_DeclaredTime_Note(struct fw_declared_time *d, int64_t left_us);
/* A call arrived here. */
void
Fw_PlainAdmission_NoteCall(struct fw_plain_admission *a, int64_t now_us);
/* A call that certainly found a free slot took this time. */
void
Fw_PlainAdmission_NoteSlotTime(struct fw_plain_admission *a, int64_t took_us);
/* Mean time of a request in a slot; a default if unknown. */
double
Fw_PlainAdmission_SlotUs(const struct fw_plain_admission *a);
/* Adds to the share of an isolated instance what has become free. */
void
Fw_PlainAdmission_Refill(struct fw_plain_admission *a,
                         const struct fw_plain_servers *all, int64_t now_us);
/* A call was admitted. */
void
Fw_PlainAdmission_NoteAdmitted(struct fw_plain_admission *a);
/* A rejected caller was asked to retry after @retry_us. */
void
Fw_PlainAdmission_NoteRetry(struct fw_plain_admission *a, int64_t retry_us,
                            int64_t now_us);
/*
 * Whether to send the call to the server.
 * @chance: uniform in [0, 1)
 */
void
Fw_PlainAdmission_Decide(const struct fw_plain_admission *a,
                         const struct fw_plain_servers *all,
                         const struct fw_plain_server *s,
                         const struct fw_plain_call *c, double chance,
                         struct fw_plain_decision *out);
/*
 * The longest Retry-After for a caller that will wait for @left_us, a third of
 * it. 0 if a retry can't help.
 */
int64_t
Fw_PlainAdmission_LongestRetryUs(int64_t left_us);
/*
 * Retry-After for a rejected call: when the backlog and the retries already
 * announced are expected to be worked off, spread, and at most the longest
 * one. 0 if no retry can help.
 */
int64_t
Fw_PlainAdmission_RetryUs(const struct fw_plain_admission *a,
                          const struct fw_plain_servers *all,
                          const struct fw_plain_call *c, double chance,
                          int64_t now_us);

#endif
