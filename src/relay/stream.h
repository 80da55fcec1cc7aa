/* Steps of a generation request, shared by the files of streams. */
#ifndef FW_RELAY_STREAM_H
#define FW_RELAY_STREAM_H

#include "relay/relay.h"

struct fw_rl_call;
struct fw_rl_server;

/* Requests a reservation for @c, which was taken from the queue, at @s. */
void
Fw_Stream_Reserve(struct fw_relay *r, struct fw_rl_call *c,
                  struct fw_rl_server *s, int64_t now_us,
                  struct fw_rl_actions *out);
/*
 * Gives up the reservation and the prefill of @c, whose run has not been sent,
 * and queues it again. Return: 0, or -EDQUOT if the retry budget does not
 * allow that.
 */
int
Fw_Stream_Yield(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us,
                struct fw_rl_actions *out);
/* Queues @c again, or rejects it if it may wait no longer. */
void
Fw_Stream_Requeue(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us,
                  struct fw_rl_actions *out);
/*
 * Releases what @c holds at engines and queues it again if the retry budget
 * allows it, or rejects it.
 */
void
Fw_Stream_Restart(struct fw_relay *r, struct fw_rl_call *c, const char *reason,
                  int64_t now_us, struct fw_rl_actions *out);
/* Sends the prompt of @c, which has a reservation, to a prefill engine. */
void
Fw_Stream_StartPrefill(struct fw_relay *r, struct fw_rl_call *c,
                       int64_t now_us, struct fw_rl_actions *out);
/* The prefill of @c has failed. */
void
Fw_Stream_RetryPrefill(struct fw_relay *r, struct fw_rl_call *c,
                       int64_t now_us, struct fw_rl_actions *out);
/* Sends @c to the engine that it has a reservation at. */
void
Fw_Stream_SendRun(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us,
                  struct fw_rl_actions *out);

#endif
