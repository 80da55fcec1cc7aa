/* Read-only queries of the idempotency subsystem. */
#include <string.h>

#include "base/fault.h"
#include "base/hash.h"
#include "idem/idem_internal.h"

/* Milliseconds in decimal, until the year 2286. */
#define FW_KEY_TIME_DIGITS 13
#define FW_UUID_LEN 36
#define FW_UUID_VERSION_INDEX 14

/* Without a record of "not run" the key can't be used again, but that must
 * not delay a shutdown while the log is down. */
static int
must_be_recorded(const struct fw_idem_record *rec)
{
    return rec->kind == FW_IDEM_REC_OUTCOME && rec->ran != FW_RAN_NO;
}

static int
has_required_outcome(const struct fw_list *items)
{
    const struct fw_list *pos;

    FW_LIST_EACH (pos, items) {
        if (must_be_recorded(
                &FW_LIST_ENTRY(pos, struct fw_idem_request, link)->rec)) {
            return 1;
        }
    }
    return 0;
}

int
Fw_Idem_HasPendingOutcomes(const struct fw_idem *c)
{
    const struct fw_list *pos;

    FW_LIST_EACH (pos, &c->outcomes) {
        const struct fw_idem_pending_outcome *o =
            FW_LIST_ENTRY(pos, struct fw_idem_pending_outcome, link);

        if (must_be_recorded(&o->msg.rec)) {
            return 1;
        }
    }
    for (int i = 0; i < c->n_partitions; i++) {
        if (has_required_outcome(&c->partitions[i].queued) ||
            has_required_outcome(&c->partitions[i].in_flight)) {
            return 1;
        }
    }
    return 0;
}

int64_t
Fw_Idem_WallMs(const struct fw_idem *c, int64_t now_us)
{
    int64_t run_us = c->start_us < 0 ? 0 : now_us - c->start_us;

    return MAX((int64_t)c->self->boot + run_us / FW_MSEC, 1);
}

struct fw_idem_partition *
Fw_Idem_FindPartition(struct fw_idem *c, const char *digest)
{
    return &c->partitions[Fw_Hash_Str(digest) % (uint64_t)c->n_partitions];
}

const struct fw_member *
Fw_Idem_Coordinator(const struct fw_idem *c, const struct fw_idem_partition *p)
{
    return Fw_Fleet_Pick(c->fleet, Fw_Hash_Str(p->stream), 0);
}

int
Fw_Idem_CountRegions(const struct fw_idem *c)
{
    GPtrArray *all = Fw_Fleet_Members(c->fleet);
    GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
    int n;

    for (guint i = 0; i < all->len; i++) {
        const struct fw_member *m = g_ptr_array_index(all, i);

        g_hash_table_add(seen, (gpointer)m->region);
    }
    n = (int)g_hash_table_size(seen);
    g_hash_table_unref(seen);
    g_ptr_array_unref(all);
    return MAX(n, 1);
}

int64_t
Fw_Idem_RetryAfter(const struct fw_idem *c, const struct fw_idem_partition *p,
                   uint64_t op, int64_t now_us)
{
    /* Jitter, so that callers rejected together do not retry together. */
    int64_t spread =
        (int64_t)(Fw_Hash_Weight(op, c->self->name) % (uint64_t)FW_SEC);

    return MAX(p->retry_us - now_us, FW_SEC) + spread;
}

/* The first 48 bits of a version 7 UUID (RFC 9562) are its time. */
static int64_t
parse_uuid_time(const char *key)
{
    char hex[13];

    if (strlen(key) != FW_UUID_LEN || key[8] != '-' || key[13] != '-' ||
        key[FW_UUID_VERSION_INDEX] != '7') {
        return 0;
    }
    memcpy(hex, key, 8);
    memcpy(hex + 8, key + 9, 4);
    hex[12] = '\0';
    if (strspn(hex, "0123456789abcdefABCDEF") != 12) {
        return 0;
    }
    return g_ascii_strtoll(hex, NULL, 16);
}

int64_t
Fw_Idem_ParseKeyTime(const char *key)
{
    if (strspn(key, "0123456789") == FW_KEY_TIME_DIGITS &&
        key[FW_KEY_TIME_DIGITS] == '-') {
        return g_ascii_strtoll(key, NULL, 10);
    }
    return parse_uuid_time(key);
}

/*
 * Once records of a partition have been deleted, a key without a record may be
 * one that has run before. Only the time in the key tells whether it is new.
 */
int
Fw_Idem_IsKeyRetained(const struct fw_idem *c, const struct fw_idem_table *t,
                      int64_t key_time_ms, int64_t now_us)
{
    if (t->horizon_ms == 0 || FW_FAULT("idem-forgets")) {
        return 1;
    }
    if (t->horizon_ms < 0 || key_time_ms == 0 ||
        key_time_ms > Fw_Idem_WallMs(c, now_us) + FW_IDEM_CLOCK_SKEW_MS) {
        return 0;
    }
    return key_time_ms >= t->horizon_ms + 2 * (int64_t)FW_IDEM_CLOCK_SKEW_MS;
}
