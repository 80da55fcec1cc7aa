#include "request/poison.h"

#include "base/fault.h"

struct entry {
    uint64_t fingerprint;
    int strikes;
    int64_t expires_us;
};

void
Fw_Poison_Init(struct fw_poison *p)
{
    p->strikes =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    p->quarantined =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
}

void
Fw_Poison_Fini(struct fw_poison *p)
{
    g_hash_table_unref(p->strikes);
    g_hash_table_unref(p->quarantined);
}

static struct entry *
insert(GHashTable *table, uint64_t fingerprint)
{
    struct entry *e = g_new0(struct entry, 1);

    e->fingerprint = fingerprint;
    g_hash_table_replace(table, &e->fingerprint, e);
    return e;
}

int64_t
Fw_Poison_AddStrike(struct fw_poison *p, uint64_t fingerprint, int64_t now_us)
{
    struct entry *e = g_hash_table_lookup(p->strikes, &fingerprint);

    if (!e || e->expires_us <= now_us) {
        if (g_hash_table_size(p->strikes) >= FW_POISON_FINGERPRINTS_MAX) {
            Fw_Poison_Expire(p, now_us);
        }
        if (g_hash_table_size(p->strikes) >= FW_POISON_FINGERPRINTS_MAX) {
            /* Crashes on this scale are not caused by single requests. */
            return 0;
        }
        e = insert(p->strikes, fingerprint);
    }
    e->strikes++;
    e->expires_us = now_us + FW_POISON_STRIKE_TTL_US;
    if (e->strikes < FW_POISON_STRIKES || FW_FAULT("poison-never-refused")) {
        return 0;
    }
    return FW_POISON_QUARANTINE_US;
}

void
Fw_Poison_Quarantine(struct fw_poison *p, uint64_t fingerprint, int64_t ttl_us,
                     int64_t now_us)
{
    struct entry *e = g_hash_table_lookup(p->quarantined, &fingerprint);

    if (!e) {
        if (g_hash_table_size(p->quarantined) >= FW_POISON_FINGERPRINTS_MAX) {
            return;
        }
        e = insert(p->quarantined, fingerprint);
    }
    e->expires_us =
        MAX(e->expires_us, now_us + MIN(ttl_us, FW_POISON_QUARANTINE_US));
}

static gboolean
expired(gpointer key, gpointer value, gpointer now)
{
    (void)key;
    return ((struct entry *)value)->expires_us <= *(int64_t *)now;
}

void
Fw_Poison_Expire(struct fw_poison *p, int64_t now_us)
{
    g_hash_table_foreach_remove(p->strikes, expired, &now_us);
    g_hash_table_foreach_remove(p->quarantined, expired, &now_us);
}

int64_t
Fw_Poison_RemainingUs(const struct fw_poison *p, uint64_t fingerprint,
                      int64_t now_us)
{
    const struct entry *e = g_hash_table_lookup(p->quarantined, &fingerprint);

    return e && e->expires_us > now_us ? e->expires_us - now_us : 0;
}
