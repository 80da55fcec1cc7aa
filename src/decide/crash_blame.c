/* Crashes and keys that have run well; see crash_judge.c for the verdicts. */
#include "decide/crash_blame.h"

#include <string.h>

/* Times that differ by less are not sent again. */
#define FW_SOUND_RESEND_US (1 * FW_SEC)
/* Keys that ran well are forgotten after this time when there are many. */
#define FW_SOUND_KEPT_US (60 * FW_SEC)
/* Number of them that is left then at most. */
#define FW_SOUND_KEYS_PRUNED (FW_SOUND_KEYS_MAX * 7 / 8)

/**
 * struct fw_sound - when a request with the key that ran well began.
 * @shared_us: the time that other instances know
 */
struct fw_sound {
    uint64_t key;
    int64_t began_us;
    int64_t shared_us;
};

void
Fw_Blame_Init(struct fw_blame *b)
{
    b->sound =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
}

void
Fw_Blame_Clear(struct fw_blame *b)
{
    g_hash_table_destroy(b->sound);
}

struct fw_crash *
Fw_Blame_FindCrash(struct fw_blame *b, uint64_t server)
{
    for (int i = 0; i < b->n_crashes; i++) {
        if (b->crashes[i].server == server) {
            return &b->crashes[i];
        }
    }
    return NULL;
}

/* Keeps the crashes ordered by time; the oldest one leaves a full table. */
static struct fw_crash *
add_crash(struct fw_blame *b, uint64_t server, int64_t at_us)
{
    int at;

    if (b->n_crashes == FW_CRASHES_MAX) {
        memmove(&b->crashes[0], &b->crashes[1],
                (FW_CRASHES_MAX - 1) * sizeof(b->crashes[0]));
        b->n_crashes--;
    }
    at = b->n_crashes++;
    while (at > 0 && b->crashes[at - 1].at_us > at_us) {
        b->crashes[at] = b->crashes[at - 1];
        at--;
    }
    b->crashes[at] = (struct fw_crash){.server = server, .at_us = at_us};
    return &b->crashes[at];
}

static int
find_key(const struct fw_crash *c, uint64_t key)
{
    for (int i = 0; i < c->n_keys; i++) {
        if (c->keys[i].hash == key) {
            return i;
        }
    }
    return -1;
}

/* Return: nonzero if the key is new. */
static int
add_key(struct fw_crash *c, const struct fw_blame_key *key)
{
    int at = find_key(c, key->hash);

    if (at >= 0) {
        c->keys[at].sent_us = MAX(c->keys[at].sent_us, key->sent_us);
        return 0;
    }
    if (!key->hash || c->n_keys == FW_CRASH_KEYS_MAX) {
        return 0;
    }
    c->keys[c->n_keys++] = *key;
    return 1;
}

static struct fw_crash *
mark_changed(struct fw_blame *b, struct fw_crash *c, int64_t now_us)
{
    c->changed_us = now_us;
    b->changed = 1;
    return c;
}

struct fw_crash *
Fw_Blame_NoteCrash(struct fw_blame *b, uint64_t server, int64_t at_us,
                   const struct fw_blame_key *keys, int n, int64_t now_us)
{
    struct fw_crash *c = Fw_Blame_FindCrash(b, server);
    int changed = 0;

    if (now_us - at_us >= FW_CRASH_KEPT_US) {
        return NULL;
    }
    if (!c) {
        c = add_crash(b, server, at_us);
        changed = 1;
    }
    for (int i = 0; i < n; i++) {
        changed |= add_key(c, &keys[i]);
    }
    return changed ? mark_changed(b, c, now_us) : NULL;
}

struct fw_crash *
Fw_Blame_Refute(struct fw_blame *b, uint64_t server, int64_t at_us,
                int64_t now_us)
{
    struct fw_crash *c = Fw_Blame_FindCrash(b, server);

    if (c && c->is_refuted) {
        return NULL;
    }
    if (!c) {
        c = add_crash(b, server, at_us);
    }
    c->is_refuted = 1;
    return mark_changed(b, c, now_us);
}

static struct fw_quarantine *
find_quarantine(const struct fw_blame *b, uint64_t key)
{
    for (int i = 0; i < b->n_quarantines; i++) {
        if (b->quarantines[i].key == key) {
            return (struct fw_quarantine *)&b->quarantines[i];
        }
    }
    return NULL;
}

/* Whether @key is blamed for anything, if it last ran well at @sound_us. */
static int
is_blamed(const struct fw_blame *b, uint64_t key, int64_t sound_us)
{
    for (int i = b->n_crashes - 1; i >= 0; i--) {
        const struct fw_crash *c = &b->crashes[i];

        if (c->at_us <= sound_us) {
            break;
        }
        if (!c->is_refuted && find_key(c, key) >= 0) {
            return 1;
        }
    }
    return find_quarantine(b, key) != NULL;
}

/* Makes room in a full table: keys that matter for no crash go first. */
static void
prune_sound(struct fw_blame *b, int64_t now_us)
{
    GHashTableIter it;
    gpointer v;

    if (g_hash_table_size(b->sound) < FW_SOUND_KEYS_MAX) {
        return;
    }
    g_hash_table_iter_init(&it, b->sound);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const struct fw_sound *s = v;

        if (now_us - s->began_us >= FW_SOUND_KEPT_US &&
            !find_quarantine(b, s->key)) {
            g_hash_table_iter_remove(&it);
        }
    }
    g_hash_table_iter_init(&it, b->sound);
    while (g_hash_table_size(b->sound) >= FW_SOUND_KEYS_PRUNED &&
           g_hash_table_iter_next(&it, NULL, &v)) {
        g_hash_table_iter_remove(&it);
    }
}

static struct fw_sound *
find_or_add_sound(struct fw_blame *b, uint64_t key, int64_t now_us)
{
    struct fw_sound *s = g_hash_table_lookup(b->sound, &key);

    if (!s) {
        prune_sound(b, now_us);
        s = g_new(struct fw_sound, 1);
        *s = (struct fw_sound){.key = key,
                               .began_us = FW_NEVER_SOUND,
                               .shared_us = FW_NEVER_SOUND};
        g_hash_table_insert(b->sound, &s->key, s);
    }
    return s;
}

void
Fw_Blame_NoteSound(struct fw_blame *b, uint64_t key, int64_t began_us,
                   int is_shared, int keep, int64_t now_us)
{
    int blamed = is_blamed(b, key, Fw_Blame_SoundUs(b, key));
    struct fw_sound *s;

    if (!key || (!blamed && !keep)) {
        return;
    }
    s = find_or_add_sound(b, key, now_us);
    if (is_shared) {
        s->shared_us = MAX(s->shared_us, began_us);
    }
    if (began_us > s->began_us) {
        s->began_us = began_us;
        b->changed |= blamed;
    }
}

int64_t
Fw_Blame_SoundUs(const struct fw_blame *b, uint64_t key)
{
    const struct fw_sound *s = g_hash_table_lookup(b->sound, &key);

    return s ? s->began_us : FW_NEVER_SOUND;
}

static int
is_unsent(const struct fw_sound *s)
{
    return s->shared_us == FW_NEVER_SOUND ||
           s->began_us - s->shared_us >= FW_SOUND_RESEND_US;
}

static int
is_taken(const GArray *rows, uint64_t key)
{
    for (guint i = 0; i < rows->len; i++) {
        if (g_array_index(rows, struct fw_sound_row, i).key == key) {
            return 1;
        }
    }
    return 0;
}

static void
take(struct fw_blame *b, uint64_t key, int only_unsent, guint max, GArray *out)
{
    struct fw_sound *s = g_hash_table_lookup(b->sound, &key);
    struct fw_sound_row row;

    if (!s || s->began_us == FW_NEVER_SOUND || out->len >= max ||
        (only_unsent && !is_unsent(s)) || is_taken(out, key)) {
        return;
    }
    row = (struct fw_sound_row){.key = key, .began_us = s->began_us};
    s->shared_us = s->began_us;
    g_array_append_val(out, row);
}

void
Fw_Blame_TakeSound(struct fw_blame *b, const struct fw_crash *c, guint max,
                   GArray *out)
{
    for (int k = 0; k < c->n_keys; k++) {
        take(b, c->keys[k].hash, 0, max, out);
    }
}

void
Fw_Blame_TakeUnsent(struct fw_blame *b, guint max, GArray *out)
{
    for (int i = 0; i < b->n_quarantines; i++) {
        take(b, b->quarantines[i].key, 1, max, out);
    }
    for (int i = b->n_crashes - 1; i >= 0; i--) {
        const struct fw_crash *c = &b->crashes[i];

        for (int k = 0; !c->is_refuted && k < c->n_keys; k++) {
            take(b, c->keys[k].hash, 1, max, out);
        }
    }
}

/* The entry to use for a new quarantine: in a full table the oldest one. */
static struct fw_quarantine *
new_quarantine(struct fw_blame *b)
{
    struct fw_quarantine *oldest = &b->quarantines[0];

    if (b->n_quarantines < FW_QUARANTINES_MAX) {
        return &b->quarantines[b->n_quarantines++];
    }
    for (int i = 1; i < b->n_quarantines; i++) {
        if (b->quarantines[i].crash_us < oldest->crash_us) {
            oldest = &b->quarantines[i];
        }
    }
    return oldest;
}

struct fw_quarantine *
Fw_Blame_UpdateQuarantine(struct fw_blame *b, uint64_t key, int64_t crash_us,
                          int n_crashes)
{
    struct fw_quarantine *q = find_quarantine(b, key);

    if (!q) {
        q = new_quarantine(b);
        *q = (struct fw_quarantine){.key = key, .crash_us = crash_us};
    }
    q->crash_us = MAX(q->crash_us, crash_us);
    q->n_crashes = MAX(q->n_crashes, n_crashes);
    return q;
}

int
Fw_Blame_MergeQuarantine(struct fw_blame *b, uint64_t key, int64_t crash_us,
                         int n_crashes, int64_t now_us)
{
    const struct fw_quarantine *q = find_quarantine(b, key);
    struct fw_sound *s = g_hash_table_lookup(b->sound, &key);
    int is_new;

    if (now_us - crash_us >= FW_CRASH_KEPT_US) {
        return 0;
    }
    if (s && s->began_us != FW_NEVER_SOUND && q && !q->is_active &&
        crash_us - s->began_us < FW_REPORT_DELAY_MAX_US) {
        s->shared_us = FW_NEVER_SOUND;
        b->changed = 1;
        return 0;
    }
    is_new = !q || n_crashes > q->n_crashes ||
             crash_us - q->crash_us >= FW_SOUND_RESEND_US;
    if (is_new) {
        Fw_Blame_UpdateQuarantine(b, key, crash_us, n_crashes);
        b->changed = 1;
    }
    return is_new;
}

const struct fw_quarantine *
Fw_Blame_FindQuarantine(const struct fw_blame *b, uint64_t key, int64_t now_us)
{
    const struct fw_quarantine *q = find_quarantine(b, key);

    return q && q->is_active && now_us - q->crash_us < FW_QUARANTINE_US ? q
                                                                        : NULL;
}
