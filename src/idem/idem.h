/*
 * At-most-once execution of service calls that are not idempotent.
 *
 * Before a call is sent, an intent record with a digest of service, team and
 * idempotency key is appended to a log stream. The owner of the intent with
 * the lowest offset may send the call; all other attempts get the recorded
 * outcome or an error. See docs/design/idempotency.md.
 */
#ifndef FW_IDEM_IDEM_H
#define FW_IDEM_IDEM_H

#include <glib.h>

#include "base/metrics.h"
#include "core/action.h"
#include "core/types.h"
#include "fleet/fleet.h"

/**
 * struct fw_idem_answer - answer to a claim.
 * @ticket: as given to Fw_Idem_Claim
 * @status, @content_type: recorded response, for FW_IDEM_RECORDED
 * @body: recorded response body, owned by the caller; may be NULL
 * @retry_after_us: when to retry, for FW_IDEM_NOT_RUN and FW_IDEM_UNAVAILABLE
 */
struct fw_idem_answer {
    uint64_t ticket;
    enum fw_idem_result result;
    int status;
    char content_type[64];
    GBytes *body;
    int64_t retry_after_us;
};

/** struct fw_idem - claims made here and partitions coordinated here. */
struct fw_idem;

/* @self, @fleet and @metrics are borrowed. */
struct fw_idem *
Fw_Idem_New(const struct fw_self *self, const struct fw_fleet *fleet,
            int partitions, struct fw_metrics *metrics);
void
Fw_Idem_Free(struct fw_idem *c);

/* Claims the right to run a call. The answer is available from
 * Fw_Idem_TakeAnswer, at once or later: FW_IDEM_UNAVAILABLE if the claim times
 * out. It may become available in any call that takes @now_us, so take the
 * answers after each. */
void
Fw_Idem_Claim(struct fw_idem *c, uint64_t ticket, const char *service,
              const char *team, const char *idem_key, uint64_t body_hash,
              int64_t now_us, struct fw_actions *out);
/* Moves the next available answer to @ans; the caller owns @ans->body.
 * Return: 1 when an answer was moved, 0 when none is available. */
int
Fw_Idem_TakeAnswer(struct fw_idem *c, struct fw_idem_answer *ans);
/**
 * Fw_Idem_BeginRun - uses up a granted claim, right before the send.
 *
 * Return: 0 once per ticket; -EALREADY when the claim was not granted or is
 * already used; -ESTALE when the grant has expired.
 */
int
Fw_Idem_BeginRun(struct fw_idem *c, uint64_t ticket, int64_t now_us);
/**
 * Fw_Idem_Finish - ends a claim and records its outcome for later attempts.
 * @ran: FW_RAN_NO only when the send certainly never began
 * @content_type: may be NULL
 * @body: may be NULL; a reference is taken
 */
void
Fw_Idem_Finish(struct fw_idem *c, uint64_t ticket, enum fw_ran ran, int status,
               const char *content_type, GBytes *body, int64_t now_us,
               struct fw_actions *out);

/* Nonzero while an outcome of a call that ran or may have run, from this
 * instance or a peer, is not yet in the log. */
int
Fw_Idem_HasPendingOutcomes(const struct fw_idem *c);

void
Fw_Idem_Tick(struct fw_idem *c, int64_t now_us, struct fw_actions *out);
void
Fw_Idem_OnMsg(struct fw_idem *c, const char *from,
              const struct fw_idem_msg *msg, int64_t now_us,
              struct fw_actions *out);
void
Fw_Idem_OnRecords(struct fw_idem *c, const struct fw_log_records *r,
                  int64_t now_us, struct fw_actions *out);
void
Fw_Idem_OnAppended(struct fw_idem *c, const struct fw_log_appended *appended,
                   int64_t now_us, struct fw_actions *out);

#endif
