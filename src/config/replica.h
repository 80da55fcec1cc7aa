/*
 * Replica of the configuration, built from the configuration log.
 *
 * Each record of the log is one change, a JSON object. All instances apply the
 * same records in the same order and reach the same verdict on each, so
 * concurrent changes need no coordinator.
 */
#ifndef FW_CONFIG_REPLICA_H
#define FW_CONFIG_REPLICA_H

#include "base/metrics.h"
#include "config/audit.h"
#include "config/config.h"
#include "config/state.h"
#include "core/action.h"

/** struct fw_config_replica - one instance's copy of the configuration. */
struct fw_config_replica;

/**
 * Fw_ConfigReplica_New - creates an empty replica; its first tick reads the
 * log.
 * @instance: name of this instance
 * @seed: seed of the random numbers for backoff, jitter and snapshot ids
 * @metrics: registry for the replica's metrics, which holds pointers into the
 *           replica; may be NULL
 */
struct fw_config_replica *
Fw_ConfigReplica_New(const char *instance, uint32_t seed,
                     struct fw_metrics *metrics, int64_t now_us);
void
Fw_ConfigReplica_Free(struct fw_config_replica *rep);

/**
 * Fw_ConfigReplica_Config - current configuration; never NULL, empty at first.
 *
 * The configuration and its items are valid until the next call of an event
 * handler.
 */
const struct fw_config *
Fw_ConfigReplica_Config(const struct fw_config_replica *rep);

/**
 * Fw_ConfigReplica_IsReady - nonzero once the replica has reached the end of
 * the log or has installed the state of a peer.
 */
int
Fw_ConfigReplica_IsReady(const struct fw_config_replica *rep);

/* Verdict on the change with this id, NULL when it is not known. */
const struct fw_change_outcome *
Fw_ConfigReplica_FindOutcome(const struct fw_config_replica *rep,
                             const char *id);
const struct fw_audit *
Fw_ConfigReplica_Audit(const struct fw_config_replica *rep);
/* The verdict that @ch would get as the next record; changes nothing. */
enum fw_change_verdict
Fw_ConfigReplica_Evaluate(const struct fw_config_replica *rep,
                          const struct fw_change *ch,
                          struct fw_config_error *err);

/* Time since the last successful read of the log was sent, in microseconds. */
int64_t
Fw_ConfigReplica_StalenessUs(const struct fw_config_replica *rep,
                             int64_t now_us);

/**
 * Fw_ConfigReplica_SetSnapshotWriter - whether this instance writes snapshots.
 *
 * To be called before each tick: the writer is the member that the rendezvous
 * hash of FW_STREAM_SNAPSHOT picks. Two writers at once are harmless.
 */
void
Fw_ConfigReplica_SetSnapshotWriter(struct fw_config_replica *rep, int writer);
/* Event handlers. Reads, appends and messages are added to @out. */
void
Fw_ConfigReplica_Tick(struct fw_config_replica *rep, int64_t now_us,
                      struct fw_actions *out);
void
Fw_ConfigReplica_OnRecords(struct fw_config_replica *rep,
                           const struct fw_log_records *r, int64_t now_us,
                           struct fw_actions *out);
void
Fw_ConfigReplica_OnAppended(struct fw_config_replica *rep,
                            const struct fw_log_appended *a, int64_t now_us,
                            struct fw_actions *out);
/* A response to @from goes to @addr by FW_ACT_PEER_SEND. */
void
Fw_ConfigReplica_OnMsg(struct fw_config_replica *rep, const char *from,
                       const char *addr, const struct fw_config_msg *msg,
                       int64_t now_us, struct fw_actions *out);
/*
 * Nonzero when the log can't be read, or lacks the next record, and a request
 * to a peer is due.
 */
int
Fw_ConfigReplica_NeedsPeer(const struct fw_config_replica *rep,
                           int64_t now_us);
/*
 * Starts fetching the state from @peer, if Fw_ConfigReplica_NeedsPeer. Each
 * call should name another peer.
 */
void
Fw_ConfigReplica_RequestFromPeer(struct fw_config_replica *rep,
                                 const char *peer, const char *addr,
                                 int64_t now_us, struct fw_actions *out);

#endif
