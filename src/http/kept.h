/*
 * Connections that were used and are open, by their upstream's address. One
 * that the upstream closes goes by itself.
 */
#ifndef FW_HTTP_KEPT_H
#define FW_HTTP_KEPT_H

#include <glib.h>

#include "http/conn.h"

/* Destroying the table closes all; removing an address closes its own. */
GHashTable *
Fw_Kept_New(void);
/* Takes @conn over, closes it after @allowed_us at the latest. */
void
Fw_Kept_Put(GHashTable *kept, const char *addr, struct fw_conn *conn,
            int64_t allowed_us);
/* One that was idle for less than @reuse_us, or NULL; the caller's then. */
struct fw_conn *
Fw_Kept_Take(GHashTable *kept, const char *addr, int64_t reuse_us);
void
Fw_Kept_Tick(GHashTable *kept, int64_t now_us);

#endif
