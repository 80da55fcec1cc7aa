/* The relay's own metrics. */
#ifndef FW_RELAY_METRICS_H
#define FW_RELAY_METRICS_H

#include "base/metrics.h"
#include "relay/relay.h"

/* Maximum number of reasons with a counter of their own. */
#define FW_RL_REJECT_REASONS_MAX 32

/**
 * struct fw_rl_metrics - metrics of the relay; see metrics.c for the others.
 * @reasons: error responses by reason, created at the first of each
 * @labels: label of each of @reasons
 * @queued_s: from receiving a request until its reservation is granted
 * @prefill_s: from then until its prompt is prefilled
 * @response_s: from receiving a request until its response begins
 * @total_s: from receiving a request until its response has ended
 */
struct fw_rl_metrics {
    struct fw_metric requests;
    struct fw_metric forwarded;
    struct fw_metric rejected;
    struct fw_metric failed;
    struct fw_metric abandoned;
    struct fw_metric aborted;
    struct fw_metric retries;
    struct fw_metric retries_denied;
    struct fw_metric reservations;
    struct fw_metric reservations_rejected;
    struct fw_metric prefills;
    struct fw_metric open;
    struct fw_metric queued;
    struct fw_metric members;
    struct fw_metric version;
    struct fw_metric unusable;
    struct fw_metric rules_age_ms;
    struct fw_metric servers_usable;
    struct fw_metric servers_limited;
    struct fw_metric rules_skipped;
    struct fw_metric tokens_reserved;
    struct fw_metric role_held;
    struct fw_metric handed_over;
    struct fw_metric links_lost;
    struct fw_metric plain_admitted;
    struct fw_metric plain_asked;
    struct fw_metric plain_completions;
    struct fw_metric stage_links_lost;
    struct fw_metric speed_samples;
    struct fw_metric servers_slow;
    struct fw_metric reasons[FW_RL_REJECT_REASONS_MAX];
    char labels[FW_RL_REJECT_REASONS_MAX][FW_NAME_MAX + 16];
    int n_reasons;
    struct fw_histogram queued_s;
    struct fw_histogram prefill_s;
    struct fw_histogram response_s;
    struct fw_histogram total_s;
};

/* metrics.c */
/* Counts an error response by its @reason. */
void
Fw_Relay_CountRejection(struct fw_relay *r, const char *reason);
/* Updates the gauges that are derived from other state. */
void
Fw_Relay_UpdateGauges(struct fw_relay *r, int64_t now_us);
void
Fw_Relay_RegisterMetrics(struct fw_relay *r);

#endif
