/*
 * What is in quarantine, in the platform's store: it outlasts a kill of all
 * instances at once.
 *
 * Two records for each key: its last crash, and until when it was cleared of
 * all crashes. Times decide between them, not the order in which they were
 * written, as an append whose response was lost may be executed late. One
 * instance writes, the first of those that poll the store; two that both take
 * themselves for it write the same. Each instance reads the records with the
 * list of instances as it starts; from then on messages say what changes.
 */
#include <errno.h>

#include "base/fault.h"
#include "relay/relay_internal.h"

/* Keys whose records are kept in memory; further ones are left out. */
#define FW_STORED_KEYS_MAX ((guint)FW_QUARANTINES_MAX * 4)
/* A later crash, or more of them, are written when they differ by this. */
#define FW_RECORD_STEP_US (5 * FW_SEC)
/* Time to wait for further reports about crashes before that. */
#define FW_SETTLED_US (2 * FW_SEC)
/* Age from which on a record is deleted; clocks may differ by seconds. */
#define FW_RECORD_KEPT_US (FW_QUARANTINE_US + 60 * FW_SEC)

static struct fw_rl_stored_key *
find_stored(const struct fw_relay *r, uint64_t key)
{
    for (guint i = 0; i < r->crashes.stored->len; i++) {
        struct fw_rl_stored_key *s =
            &g_array_index(r->crashes.stored, struct fw_rl_stored_key, i);

        if (s->key == key) {
            return s;
        }
    }
    return NULL;
}

void
Fw_Relay_BeginCrashRecords(struct fw_relay *r)
{
    g_array_set_size(r->crashes.stored, 0);
}

void
Fw_Relay_NoteCrashRecord(struct fw_relay *r,
                         const struct fw_rl_crash_record *rec)
{
    struct fw_rl_stored_key *s = find_stored(r, rec->key);

    if (!s && r->crashes.stored->len < FW_STORED_KEYS_MAX) {
        struct fw_rl_stored_key fresh = {.key = rec->key,
                                         .crash_us = FW_NEVER_SOUND,
                                         .released_us = FW_NEVER_SOUND};

        g_array_append_val(r->crashes.stored, fresh);
        s = find_stored(r, rec->key);
    }
    if (!s) {
        return;
    }
    switch (rec->kind) {
    case FW_RL_RECORD_CRASH:
        s->crash_us = rec->at_us;
        s->n_crashes = rec->n_crashes;
        break;
    case FW_RL_RECORD_RELEASE:
        s->released_us = rec->at_us;
        break;
    }
}

static int
is_in_quarantine(const struct fw_rl_stored_key *s, int64_t now_us)
{
    return s->crash_us != FW_NEVER_SOUND && s->crash_us > s->released_us &&
           now_us - s->crash_us < FW_QUARANTINE_US;
}

void
Fw_CrashStore_EndList(struct fw_relay *r, int64_t now_us)
{
    int n = 0;

    for (guint i = 0; i < r->crashes.stored->len; i++) {
        const struct fw_rl_stored_key *s =
            &g_array_index(r->crashes.stored, struct fw_rl_stored_key, i);

        if (!is_in_quarantine(s, now_us)) {
            continue;
        }
        n++;
        Fw_Blame_MergeQuarantine(&r->crashes.blame, s->key, s->crash_us,
                                 s->n_crashes, now_us);
    }
    if (!r->store_sync.members_known) {
        r->crashes.n_stored_read = n;
    }
    r->crashes.is_stored_current = 1;
}

static int
differs(const struct fw_quarantine *q, const struct fw_rl_stored_key *s,
        int64_t now_us)
{
    if (!s || s->crash_us == FW_NEVER_SOUND || s->crash_us <= s->released_us) {
        return 1;
    }
    return now_us - q->since_us >= FW_SETTLED_US &&
           (q->crash_us - s->crash_us >= FW_RECORD_STEP_US ||
            q->n_crashes > s->n_crashes);
}

/* Return: nonzero and the record that the store lacks about @q, or zero. */
static int
record_of(const struct fw_relay *r, const struct fw_quarantine *q,
          int64_t now_us, struct fw_rl_crash_record *out)
{
    const struct fw_rl_stored_key *s = find_stored(r, q->key);
    int64_t sound_us = Fw_Blame_SoundUs(&r->crashes.blame, q->key);

    *out = (struct fw_rl_crash_record){.key = q->key};
    if (q->is_active) {
        out->kind = FW_RL_RECORD_CRASH;
        out->n_crashes = q->n_crashes;
        out->at_us = s && s->released_us >= q->crash_us
                         ? s->released_us + FW_MSEC
                         : q->crash_us;
        return differs(q, s, now_us);
    }
    if (!s || now_us - q->crash_us >= FW_QUARANTINE_US) {
        return 0;
    }
    out->kind = FW_RL_RECORD_RELEASE;
    out->at_us = MAX(MAX(sound_us, q->crash_us), s->crash_us);
    return is_in_quarantine(s, now_us);
}

/* Return: nonzero and a record that is to be deleted, or zero. */
static int
expired_record(const struct fw_relay *r, int64_t now_us,
               struct fw_rl_crash_record *out)
{
    for (guint i = 0; i < r->crashes.stored->len; i++) {
        const struct fw_rl_stored_key *s =
            &g_array_index(r->crashes.stored, struct fw_rl_stored_key, i);
        int64_t latest_us = MAX(s->crash_us, s->released_us);

        if (now_us - latest_us < FW_RECORD_KEPT_US) {
            continue;
        }
        *out = (struct fw_rl_crash_record){
            .key = s->key,
            .kind = s->crash_us != FW_NEVER_SOUND ? FW_RL_RECORD_CRASH
                                                  : FW_RL_RECORD_RELEASE,
            .is_deleted = 1};
        return 1;
    }
    return 0;
}

int
Fw_Relay_DueCrashRecord(struct fw_relay *r, int64_t now_us,
                        struct fw_rl_crash_record *out)
{
    const struct fw_blame *b = &r->crashes.blame;
    int is_due = 0;

    if ((!b->n_quarantines && !r->crashes.stored->len) ||
        FW_FAULT("crashes-kept-alone") || FW_FAULT("quarantines-unstored")) {
        return 0;
    }
    if (!Fw_StoreSync_IsWriter(r, now_us)) {
        r->crashes.is_stored_current = 0;
        return 0;
    }
    for (int i = 0; i < b->n_quarantines && !is_due; i++) {
        is_due = record_of(r, &b->quarantines[i], now_us, out);
    }
    is_due = is_due || expired_record(r, now_us, out);
    return is_due && !r->crashes.is_stored_current ? -EAGAIN : is_due;
}
