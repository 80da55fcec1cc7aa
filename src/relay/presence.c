/*
 * Instances that can't be reached but still run.
 *
 * Behind a partition an instance looks as if it had ended. If both sides took
 * the whole of every allowance after a while, teams would get their rate
 * twice. So while instances are missing, one hub of each side publishes in the
 * store which instances it sees, and an instance counts as gone only after the
 * store was read for a while without any other side publishing it. A side that
 * can't read the store has no proof and goes on counting the missing ones.
 */
#include "base/hash.h"
#include "relay/relay_internal.h"

/* Time for which an instance must be missing before others are looked for. */
#define FW_MISSING_US (5 * FW_SEC)
/* Interval at which the instances seen here are published. */
#define FW_PUBLISH_INTERVAL_US (5 * FW_SEC)
/*
 * Proof that an instance is gone takes this long, with the store read at least
 * this often: the other side has published several times by then.
 */
#define FW_PROOF_US (12 * FW_SEC)
#define FW_READ_INTERVAL_MAX_US (8 * FW_SEC)

void
Fw_Presence_SetMissing(struct fw_relay *r, int any_missing)
{
    r->presence.any_missing = any_missing;
    if (!any_missing) {
        r->presence.read_since_us = 0;
    }
}

int64_t
Fw_Presence_MissingUs(void)
{
    return FW_MISSING_US;
}

int
Fw_Presence_IsProven(const struct fw_relay *r, int64_t now_us)
{
    const struct fw_rl_presence *p = &r->presence;

    return p->read_since_us && now_us - p->read_since_us >= FW_PROOF_US &&
           now_us - p->read_us < FW_READ_INTERVAL_MAX_US;
}

void
Fw_Presence_NoteRead(struct fw_relay *r, int64_t now_us)
{
    struct fw_rl_presence *p = &r->presence;

    if (!p->any_missing) {
        return;
    }
    if (!p->read_since_us || now_us - p->read_us >= FW_READ_INTERVAL_MAX_US) {
        p->read_since_us = now_us;
    }
    p->read_us = now_us;
}

int
Fw_Relay_WatchesPresence(const struct fw_relay *r)
{
    return r->exchange.is_hub && r->presence.any_missing;
}

/* The reachable hub with the lowest hash publishes. */
static int
should_publish(struct fw_relay *r, int64_t now_us)
{
    struct fw_list *pos;

    if (!Fw_Relay_WatchesPresence(r) ||
        (r->presence.published_us &&
         now_us - r->presence.published_us < FW_PUBLISH_INTERVAL_US)) {
        return 0;
    }
    FW_LIST_EACH (pos, &r->members) {
        const struct fw_rl_member *m =
            FW_LIST_ENTRY(pos, struct fw_rl_member, link);

        if (m->last_digest_us && m->hash < r->hash &&
            now_us - m->last_digest_us < FW_RL_ISOLATION_TIMEOUT_US) {
            return 0;
        }
    }
    return 1;
}

GArray *
Fw_Relay_TakePresence(struct fw_relay *r, int64_t now_us)
{
    GArray *seen;

    if (!should_publish(r, now_us)) {
        return NULL;
    }
    r->presence.published_us = now_us;
    seen = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    g_array_append_val(seen, r->hash);
    Fw_Members_AppendSeen(r, now_us, seen);
    return seen;
}

/* A record that was received before says nothing new. */
void
Fw_Relay_NotePresence(struct fw_relay *r, const char *publisher,
                      uint64_t offset, const GArray *seen, int64_t now_us)
{
    uint64_t hash = Fw_Hash_Str(publisher);
    int64_t *end = Fw_Rows_LookupOrAdd(r->presence.record_ends, hash, 0);

    if (hash == r->hash || (int64_t)offset < *end) {
        return;
    }
    *end = (int64_t)offset + 1;
    for (guint i = 0; i < seen->len; i++) {
        Fw_Members_NotePublished(r, g_array_index(seen, uint64_t, i), now_us);
    }
}
