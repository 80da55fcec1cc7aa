/*
 * Admission of plain requests by a forecast of what their servers can carry;
 * src/decide/plain_admission.h has the decision. In force for routes with an
 * objective and whole responses, by [policy] admission = forecast.
 */
#ifndef FW_RELAY_PLAIN_ADMISSION_H
#define FW_RELAY_PLAIN_ADMISSION_H

#include <glib.h>
#include <stdint.h>

struct fw_relay;
struct fw_rl_call;
struct fw_rl_op;
struct fw_rl_server;

/* Rejected requests that are remembered by their ids. */
#define FW_RL_REJECTED_CALLS 256

/**
 * struct fw_rl_plain_admission - what is remembered for the decision.
 * @services: hash of a service's name to struct plain_service
 * @declared: hash of a route's name to struct fw_declared_time
 * @rejected_calls: hashes of the ids of requests asked to retry, a ring
 * @n_rejected_calls: number of requests added to it
 */
struct fw_rl_plain_admission {
    GHashTable *services;
    GHashTable *declared;
    uint64_t rejected_calls[FW_RL_REJECTED_CALLS];
    uint64_t n_rejected_calls;
};

void
Fw_PlainCalls_Init(struct fw_relay *r);
void
Fw_PlainCalls_Clear(struct fw_relay *r);
/*
 * The plain request @c has arrived. A repeat of a rejected one is marked and
 * adds nothing to the demand.
 */
void
Fw_PlainCalls_NoteArrival(struct fw_relay *r, struct fw_rl_call *c,
                          int64_t now_us);
/*
 * Decides whether @c is sent to @s. Return: NULL if it is, otherwise the
 * reason to reject it; @c's expected wait is set.
 */
const char *
Fw_PlainCalls_Admit(struct fw_relay *r, struct fw_rl_call *c,
                    const struct fw_rl_server *s, int64_t now_us);
/*
 * Retry-After for the request @c, which is being rejected: when the service is
 * expected to have room, and not before @least_us.
 */
int64_t
Fw_PlainCalls_RetryUs(struct fw_relay *r, struct fw_rl_call *c,
                      int64_t least_us, int64_t now_us);
/* Whether the forecast is in force for @c. */
int
Fw_PlainCalls_IsForecast(const struct fw_relay *r, const struct fw_rl_call *c);
/* A server has run the request of @op. */
void
Fw_PlainCalls_NoteResponse(struct fw_relay *r, const struct fw_rl_op *op,
                           int64_t took_us);
/* Updates the gauges of the rates asked and completed. */
void
Fw_PlainCalls_UpdateGauges(struct fw_relay *r, int64_t now_us);

#endif
