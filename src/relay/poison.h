/* Requests that crash the servers that run them. */
#ifndef FW_RELAY_POISON_H
#define FW_RELAY_POISON_H

#include "relay/servers.h"

/**
 * struct fw_rl_strike - strikes of one request.
 *
 * A strike is the end of a server's process shortly after its connection broke
 * while it ran the request. A request with too many strikes is rejected.
 *
 * @fingerprint: fw_rl_request_info.fingerprint of the request
 * @count: number of strikes seen by this instance
 * @at_us: time of the last strike
 */
struct fw_rl_strike {
    uint64_t fingerprint;
    int count;
    int64_t at_us;
};

/**
 * struct fw_rl_crash_suspect - a request whose connection to a server broke.
 * @fingerprint: fw_rl_request_info.fingerprint of the request
 * @server: hash of the server's id and start time, 0 once counted as a strike
 * @at_us: when the connection broke
 */
struct fw_rl_crash_suspect {
    uint64_t fingerprint;
    uint64_t server;
    int64_t at_us;
};

#define FW_RL_CRASH_SUSPECTS_MAX 64
#define FW_RL_STRIKES_MAX 64

/* poison.c */
/* The connection to @s broke while it ran or prefilled @c. */
void
Fw_Poison_NoteDisconnect(struct fw_relay *r, const struct fw_rl_call *c,
                         const struct fw_rl_server *s, int64_t now_us,
                         struct fw_rl_actions *out);
/*
 * @s has ended. Adds a strike to each request whose connection to it broke
 * shortly before.
 */
void
Fw_Poison_ServerLost(struct fw_relay *r, const struct fw_rl_server *s,
                     int64_t now_us, struct fw_rl_actions *out);
/* Strikes of the request with @fingerprint, counted by all instances. */
int
Fw_Poison_CountStrikes(const struct fw_relay *r, uint64_t fingerprint,
                       int64_t now_us);

#endif
