/* State of the relay core, shared by the files of src/relay. */
#ifndef FW_RELAY_RELAY_INTERNAL_H
#define FW_RELAY_RELAY_INTERNAL_H

#include <msgpack.h>
#include <syslog.h>

#include "decide/service_stats.h"
#include "decide/upstream_links.h"
#include "relay/calls.h"
#include "relay/crashes.h"
#include "relay/limits.h"
#include "relay/metrics.h"
#include "relay/peers.h"
#include "relay/plain_admission.h"
#include "relay/ranks.h"
#include "relay/relay.h"
#include "relay/servers.h"
#include "relay/service_demand.h"
#include "relay/speeds.h"
#include "relay/stage_order.h"

/* An instance without messages from any peer for this long is isolated. */
#define FW_RL_ISOLATION_TIMEOUT_US (3 * FW_SEC)

/**
 * struct fw_rl_store_sync - state of following the store; see store_sync.c.
 * @query_us: when the pending query to another instance was sent
 * @nonce: nonce of the pending query, 0 for none
 * @last_nonce: nonce of the last query
 * @list_offset: log offset up to which servers' entries were read
 * @rules_offset: log offset up to which the operator's records were read
 * @rules_source: address of an instance with a newer configuration, or empty
 * @list_source: address of an instance with newer servers, or empty
 * @store_lost: the store does not answer this instance
 * @lost_us: when it stopped to do so
 * @recovered_us: when it last answered this instance again, 0 for never
 * @members_known: the registered instances were read from the store
 */
struct fw_rl_store_sync {
    int64_t query_us;
    uint64_t nonce;
    uint64_t last_nonce;
    uint64_t list_offset;
    uint64_t rules_offset;
    char rules_source[FW_URL_MAX];
    char list_source[FW_URL_MAX];
    int store_lost;
    int64_t lost_us;
    int64_t recovered_us;
    int members_known;
};

/**
 * struct fw_rl_stage_links - the links to the servers of a service at a stage.
 * @service: its interned name
 * @logged_lost: the log says that they are lost
 */
struct fw_rl_stage_links {
    const char *service;
    enum fw_rl_stage stage;
    struct fw_upstream_links links;
    int logged_lost;
};

static inline int64_t
Fw_Relay_UsToMs(int64_t us)
{
    return us / FW_MSEC;
}

/**
 * struct fw_rl_pause - pauses of this process.
 * @tick_us: the last tick, 0 for none
 * @began_us, @ended_us: the last pause, 0 for none
 */
struct fw_rl_pause {
    int64_t tick_us;
    int64_t began_us;
    int64_t ended_us;
};

/**
 * struct fw_relay - state of the relay core.
 * @pause: pauses of this process
 * @metrics: registry of all metrics
 * @relay_metrics: the relay's own metrics
 * @rules: current configuration, NULL for none
 * @rules_offset: its log offset
 * @rules_fresh_us: latest time at which @rules was known to be the newest
 * @unusable_end: offset after the newest configuration, if it can't be used;
 *     0 if it can
 * @store_recovered_us: when the store last answered this instance or another
 *     one again, 0 for never
 * @has_server_list: a complete listing of the servers was received
 * @servers_by_hash: hash of a server's id to struct fw_rl_server
 * @servers_by_short_hash: the same by the lower half of the hash
 * @active_servers: servers with is_active set
 * @limited_servers: servers that name a limit, or did a short while ago
 * @limits_changed: one of these limits has changed since they were sent
 * @limits_sent_us: when these limits were last sent to other instances
 * @list_hash: sum of list_hash of those of @servers that are listed
 * @n_removals: servers with removal_us set
 * @largest_fleet: largest number of instances known so far, 0 if unknown
 * @evacuations: struct evacuation, see evacuation.c
 * @evacuations_end: end of the latest listing of these
 * @calls: request id to struct fw_rl_call
 * @ops: xid to struct fw_rl_op
 * @hash: hash of this instance's name
 * @known_instances: hash of an instance's name to struct known_instance
 * @loads: hash of a server's id to the load of other instances there
 * @allowances: hash of a team's name to struct fw_rl_allowance
 * @retry_budgets: struct fw_rl_retry_budget
 * @service_stats: struct fw_service_stats
 * @service_demand: demand for services by rank
 * @ranks: precedence of ranks
 * @plain_admission: admission of plain requests by forecast
 * @stage_check_us: next check of the engines' stages
 * @stages_settled: the pools had their target sizes at least once
 * @imbalance_since_us: since when a pool differs from its target size, 0 if
 *     none does
 * @links: the links to all servers
 * @links_logged_lost: the log says that they are lost
 * @stage_links: struct fw_rl_stage_links
 * @links_failed_us: when a call to a server last failed, 0 for never
 * @next_probe_us: when a server may be probed next
 * @drain_start_us: when draining began
 * @kind_times: hash of service and kind to struct fw_rl_kind_times
 * @n_starting: requests that wait until this instance can serve them
 */
struct fw_relay {
    struct fw_relay_opts opts;
    GRand *rand;
    int64_t start_us;
    struct fw_rl_pause pause;
    struct fw_metrics metrics;
    struct fw_rl_metrics relay_metrics;
    struct fw_rl_rules *rules;
    uint64_t rules_offset;
    int64_t rules_fresh_us;
    uint64_t unusable_end;
    int64_t store_recovered_us;
    int has_server_list;
    struct fw_list servers;
    GHashTable *servers_by_hash;
    GHashTable *servers_by_short_hash;
    struct fw_list active_servers;
    struct fw_list limited_servers;
    int limits_changed;
    int64_t limits_sent_us;
    uint64_t list_hash;
    int n_removals;
    int largest_fleet;
    GPtrArray *evacuations;
    uint64_t evacuations_end;
    GHashTable *calls;
    struct fw_list call_list;
    GHashTable *ops;
    struct fw_list op_list;
    struct fw_queue queue;
    uint64_t last_xid;
    struct fw_list members;
    struct fw_rl_exchange exchange;
    struct fw_rl_presence presence;
    uint64_t hash;
    GHashTable *known_instances;
    GHashTable *loads;
    GHashTable *allowances;
    GPtrArray *retry_budgets;
    struct fw_rl_crashes crashes;
    struct fw_rl_speeds speeds;
    struct fw_rl_order_lease order_lease;
    struct fw_rl_store_sync store_sync;
    GPtrArray *service_stats;
    struct fw_rl_service_demand service_demand;
    struct fw_rl_ranks ranks;
    struct fw_rl_plain_admission plain_admission;
    uint64_t digest_seq;
    int64_t stage_check_us;
    int stages_settled;
    int64_t imbalance_since_us;
    struct fw_upstream_links links;
    int links_logged_lost;
    GPtrArray *stage_links;
    int64_t links_failed_us;
    int64_t next_probe_us;
    int draining;
    int64_t drain_start_us;
    GHashTable *kind_times;
    int n_starting;
};

/* actions.c */
/* Appends an action. The pointer is valid until the next one is added. */
struct fw_rl_action *
Fw_RelayActions_Add(struct fw_rl_actions *acts, enum fw_rl_action_kind kind);
/* Adds the call @up with copies of its texts. */
void
Fw_RelayActions_AddCall(struct fw_rl_actions *acts,
                        const struct fw_rl_upstream_call *up);
/*
 * Appends a log line if the log level includes @severity.
 * @event: string literal
 * @fmt: JSON members without braces
 */
void
Fw_RelayActions_Log(struct fw_rl_actions *acts, const struct fw_relay *r,
                    int severity, const char *event, const char *fmt, ...)
    __attribute__((format(printf, 5, 6)));

/* service_stats.c */
/* Returns the statistics of @service, created with initial values if new. */
struct fw_service_stats *
Fw_ServiceStats_Get(const struct fw_relay *r, const char *service);
/* Requests reports from engines to learn the tokens per event. */
void
Fw_ServiceStats_Tick(struct fw_relay *r, int64_t now_us,
                     struct fw_rl_actions *out);
/* Updates the tokens per event from a report of an engine of @service. */
void
Fw_ServiceStats_ApplyReport(struct fw_relay *r, const char *service,
                            const struct fw_rl_upstream_response *ans);
/*
 * Appends a message with all length models to @out, for an instance that has
 * just started. Return: nonzero if there are any.
 */
int
Fw_ServiceStats_Write(const struct fw_relay *r, GByteArray *out);
/* Imports the models of such a message. Return: 0 or -EBADMSG. */
int
Fw_ServiceStats_Read(struct fw_relay *r, const msgpack_object *o);

#endif
