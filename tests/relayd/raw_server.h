/*
 * A server whose responses a test writes byte by byte, as the only one of its
 * service in a router environment.
 */
#ifndef FW_TESTS_RELAYD_RAW_SERVER_H
#define FW_TESTS_RELAYD_RAW_SERVER_H

#include "tests/relayd/router_env.h"

/** enum raw_framing - how a server marks the end of a response. */
enum raw_framing {
    FW_RAW_CHUNKS,
    FW_RAW_LENGTH,
    FW_RAW_CLOSE,
    FW_RAW_FRAMINGS,
};

/** struct raw_server - @n_seen: connections that were looked at. */
struct raw_server {
    struct rig_server *rig;
    guint n_seen;
};

/* Replaces the servers of "desk" and of "llm" by one raw server each. */
void
Fw_RawServer_Init(struct raw_server *s, struct router_env *env);
void
Fw_RawServer_Free(struct raw_server *s);
/* The next connection with a request of a caller; probes are answered. */
struct rig_conn *
Fw_RawServer_NextRequest(struct raw_server *s);
/*
 * Sends a whole response and closes the connection properly. @status: status
 * line without the version. @fields: header lines besides those of the framing
 */
void
Fw_RawServer_Answer(struct rig_conn *from, const char *status,
                    const char *fields, enum raw_framing framing,
                    const char *body);

#endif
