/*
 * The fold of the configuration log.
 *
 * Each record is one change, a JSON object. Every instance folds the same
 * records in the same order and reaches the same verdict on each, so no
 * instance has to be told who won.
 */
#ifndef FW_CONFIG_FOLD_H
#define FW_CONFIG_FOLD_H

#include "base/metrics.h"
#include "config/audit.h"
#include "config/config.h"
#include "config/state.h"
#include "core/action.h"

/** struct fw_fold - reads the log into a configuration; see fold.c. */
struct fw_fold;

/**
 * Fw_Fold_New - begins at the first tick.
 * @instance: name of this instance, part of the ids of its snapshots
 * @seed: of backoff and snapshot ids
 * @metrics: must outlive the fold; may be NULL
 */
struct fw_fold *
Fw_Fold_New(const char *instance, uint32_t seed, struct fw_metrics *metrics,
            int64_t now_us);
void
Fw_Fold_Free(struct fw_fold *f);

/**
 * Fw_Fold_Config - what is in force; never NULL, empty at first.
 *
 * Borrowed, items too, until the next event is handed to the fold.
 */
const struct fw_config *
Fw_Fold_Config(const struct fw_fold *f);

/** Fw_Fold_Ready - nonzero once a configuration has been in force. */
int
Fw_Fold_Ready(const struct fw_fold *f);

/* What became of the record with this id; NULL when it wasn't seen. */
const struct fw_seen *
Fw_Fold_Seen(const struct fw_fold *f, const char *id);
const struct fw_audit *
Fw_Fold_Audit(const struct fw_fold *f);
/* The verdict that a change would get now. */
enum fw_change_verdict
Fw_Fold_Judge(const struct fw_fold *f, const struct fw_change *ch,
              struct fw_why *err);

/* Age of the last successful read of the log in microseconds. */
int64_t
Fw_Fold_StaleUs(const struct fw_fold *f, int64_t now_us);

/**
 * Fw_Fold_SetWriter - whether this instance appends the snapshots.
 *
 * To be called before each tick with the instance's view: the first choice by
 * rendezvous hash of FW_STREAM_SNAPSHOT among the members. Two writers at
 * once are harmless.
 */
void
Fw_Fold_SetWriter(struct fw_fold *f, int writer);
/* Event handlers; reads, snapshots and appends come out as actions. */
void
Fw_Fold_Tick(struct fw_fold *f, int64_t now_us, struct fw_actions *out);
void
Fw_Fold_OnRecords(struct fw_fold *f, const struct fw_log_records *r,
                  int64_t now_us, struct fw_actions *out);
void
Fw_Fold_OnAppended(struct fw_fold *f, const struct fw_log_appended *a,
                   int64_t now_us, struct fw_actions *out);
/* @from at @addr is answered by FW_ACT_PEER_SEND. */
void
Fw_Fold_OnMsg(struct fw_fold *f, const char *from, const char *addr,
              const struct fw_config_msg *msg, int64_t now_us,
              struct fw_actions *out);
/* Nonzero when the log can't be read and a peer may be asked now. */
int
Fw_Fold_WantsPeer(const struct fw_fold *f, int64_t now_us);
/*
 * A peer to ask for the state when the log can't be read. To be called with
 * another peer each time Fw_Fold_WantsPeer says so.
 */
void
Fw_Fold_AskPeer(struct fw_fold *f, const char *peer, const char *addr,
                int64_t now_us, struct fw_actions *out);

#endif
