/* Speeds of servers: samples of this instance's requests, and their use. */
#ifndef FW_RELAY_SPEEDS_H
#define FW_RELAY_SPEEDS_H

#include <msgpack.h>

#include "relay/calls.h"
#include "speed/speed.h"

/**
 * struct fw_rl_speeds - what the relay keeps beside the estimates.
 * @is_on: speeds may be in use
 * @settled_us: when this instance's samples were last settled
 * @samples_sent_us, @estimates_sent_us, @groups_sent_us: when a message last
 *     carried these
 */
struct fw_rl_speeds {
    struct fw_speed *table;
    int is_on;
    int64_t settled_us;
    int64_t samples_sent_us;
    int64_t estimates_sent_us;
    int64_t groups_sent_us;
};

/* speeds.c */
/* The prompt of @c was prefilled at @s. */
void
Fw_Speeds_NotePrefill(struct fw_relay *r, const struct fw_rl_call *c,
                      const struct fw_rl_server *s, int64_t took_us);
/* The stream @c is complete, with @events events. */
void
Fw_Speeds_NoteStream(struct fw_relay *r, const struct fw_rl_call *c,
                     int64_t events, int64_t now_us);
/* The plain call @op was answered. */
void
Fw_Speeds_NotePlain(struct fw_relay *r, const struct fw_rl_op *op,
                    int64_t took_us);
/* Tokens that an engine of mean speed prefills while @s prefills @tokens. */
int64_t
Fw_Speeds_MeanTokens(const struct fw_rl_server *s, int64_t tokens);
/* Whether speeds for the use of @service decide where requests go. */
int
Fw_Speeds_AreInForce(const struct fw_relay *r, const char *service,
                     enum fw_speed_use use);
/* Mean rate of the servers of @service, 0 if unknown; see speed.h. */
double
Fw_Speeds_MeanRate(const struct fw_relay *r, const char *service,
                   enum fw_speed_use use);
/* Size of the text below. */
#define FW_RL_SPEED_TEXT_MAX 64
/*
 * Members of a log line, after others, with the speed of @s and, unless it is
 * NULL, of the engine @reader; written to @text, empty if the part is off.
 */
const char *
Fw_Speeds_LogText(const struct fw_relay *r, const struct fw_rl_server *s,
                  const struct fw_rl_server *reader, char *text);
/* Updates the speed of each server from the estimates. */
void
Fw_Speeds_Refresh(struct fw_relay *r, int64_t now_us);
/* Uses this instance's samples and logs changes. */
void
Fw_Speeds_Tick(struct fw_relay *r, int64_t now_us, struct fw_rl_actions *out);

/* speed_message.c */
/* Sends samples to hubs and estimates to leaves, if that is due. */
void
Fw_SpeedMessage_SendDue(struct fw_relay *r, int64_t now_us,
                        struct fw_rl_outbox *out);
/* Return: 0, or -EBADMSG if @o isn't a valid message about speeds. */
int
Fw_SpeedMessage_Read(struct fw_relay *r, const msgpack_object *o,
                     int64_t now_us);

/* place_speed.c */
/* Chooses the server for the plain request @c by speed, or NULL. */
struct fw_rl_server *
Fw_PlaceSpeed_Plain(struct fw_relay *r, const struct fw_rl_call *c,
                    int64_t now_us);
/* Whether plain requests for @service are placed by speed. */
int
Fw_PlaceSpeed_IsPlainInForce(struct fw_relay *r, const char *service,
                             int64_t now_us);

#endif
