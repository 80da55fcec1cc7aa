/*
 * Idle connections to upstreams, as a hash table by address. A connection that
 * the upstream closes is removed.
 */
#ifndef FW_HTTP_IDLE_CONNS_H
#define FW_HTTP_IDLE_CONNS_H

#include <glib.h>

#include "http/conn.h"

/*
 * Destroying the table closes all connections, removing an address closes the
 * connections to it.
 */
GHashTable *
Fw_IdleConns_New(void);
/*
 * Adds @conn, which it owns from then on, for at most @max_idle_us. Closes it
 * when there are too many to @addr already.
 */
void
Fw_IdleConns_Put(GHashTable *conns, const char *addr, struct fw_conn *conn,
                 int64_t max_idle_us);
/*
 * Removes and returns a connection that was idle for less than @idle_limit_us
 * and may carry a request with @tag, now owned by the caller; NULL when there
 * is none. For a request without an id, a tag of 0, one that may not carry it
 * is closed then. A @tag of NULL: the upstream answers once.
 */
struct fw_conn *
Fw_IdleConns_Take(GHashTable *conns, const char *addr, int64_t idle_limit_us,
                  const uint64_t *tag);
/* Closes the connection that expires first, if any. */
void
Fw_IdleConns_CloseOne(GHashTable *conns);
void
Fw_IdleConns_CloseExpired(GHashTable *conns, int64_t now_us);

#endif
