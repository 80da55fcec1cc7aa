/* Steps of a generation request, shared by the files of streams. */
#ifndef FW_RELAY_STREAM_H
#define FW_RELAY_STREAM_H

#include "relay/relay.h"

struct fw_rl_call;

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
