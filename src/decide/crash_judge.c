/*
 * Verdicts: which keys explain the crashes.
 *
 * The key that is blamed for most crashes is taken first, then the one that
 * explains most of the rest. Of a server that ends, all requests are lost,
 * sound ones too: a key that many requests share is blamed for many crashes by
 * coincidence. What distinguishes it from the culprit is that requests with
 * it run well, elsewhere or before; such a key needs more crashes.
 */
#include "base/fault.h"
#include "decide/crash_blame.h"

/*
 * Crashes within this time of the first of them count once: a power failure
 * ends many servers, and with them sound requests of all kinds. A whole
 * request that was sent again after the first one counts again.
 */
#define FW_EPISODE_US (300 * FW_MSEC)
/* Episodes that put a key in quarantine that has not run well lately. */
#define FW_EPISODES_MIN 3
/* The same, if they are fewer: crashes. */
#define FW_CRASHES_MIN 5
/* Episodes that put one in quarantine that has. */
#define FW_SOUND_EPISODES_MIN 5
/* How long ago that is at most. */
#define FW_SOUND_HISTORY_US (600 * FW_SEC)

/**
 * struct tally - crashes that a key is blamed for and no other key explains.
 * @has_run_well: a request with it has run well lately
 * @episode_us: begin of the last episode
 * @last_us: last crash
 */
struct tally {
    uint64_t key;
    int depth;
    int has_run_well;
    int crashes;
    int episodes;
    int64_t episode_us;
    int64_t last_us;
};

/**
 * struct judgement - the crashes during a judgement.
 * @explained: by index in the crashes of @b
 * @chosen: of struct tally
 */
struct judgement {
    struct fw_blame *b;
    int64_t now_us;
    int explained[FW_CRASHES_MAX];
    GArray *chosen;
};

static int
is_blamed_for(const struct fw_blame *b, const struct fw_crash *c, uint64_t key)
{
    return c->at_us > Fw_Blame_SoundUs(b, key) || FW_FAULT("blame-all-parts");
}

static int
is_new_episode(const struct tally *t, const struct fw_crash *c,
               const struct fw_blame_key *key)
{
    return !t->crashes || c->at_us - t->episode_us >= FW_EPISODE_US ||
           (key->depth == FW_DEPTH_WHOLE && key->sent_us >= t->episode_us);
}

static void
count(const struct judgement *j, GHashTable *tallies, const struct fw_crash *c,
      const struct fw_blame_key *key)
{
    struct tally *t = g_hash_table_lookup(tallies, &key->hash);
    int64_t sound_us;

    if (!is_blamed_for(j->b, c, key->hash)) {
        return;
    }
    if (!t) {
        sound_us = Fw_Blame_SoundUs(j->b, key->hash);
        t = g_new0(struct tally, 1);
        t->key = key->hash;
        t->has_run_well = sound_us != FW_NEVER_SOUND &&
                          j->now_us - sound_us < FW_SOUND_HISTORY_US;
        g_hash_table_insert(tallies, &t->key, t);
    }
    if (is_new_episode(t, c, key)) {
        t->episode_us = c->at_us;
        t->episodes++;
    }
    t->depth = MAX(t->depth, key->depth);
    t->crashes++;
    t->last_us = c->at_us;
}

static GHashTable *
tally_keys(const struct judgement *j)
{
    GHashTable *tallies =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);

    for (int i = 0; i < j->b->n_crashes; i++) {
        const struct fw_crash *c = &j->b->crashes[i];

        for (int k = 0; !j->explained[i] && k < c->n_keys; k++) {
            count(j, tallies, c, &c->keys[k]);
        }
    }
    return tallies;
}

static int
is_enough(const struct tally *t)
{
    if (FW_FAULT("blame-all-parts")) {
        return 1;
    }
    return t->has_run_well ? t->episodes >= FW_SOUND_EPISODES_MIN
                           : t->episodes >= FW_EPISODES_MIN ||
                                 t->crashes >= FW_CRASHES_MIN;
}

static int
is_likelier(const struct tally *a, const struct tally *b)
{
    if (FW_FAULT("blame-all-parts")) {
        return a->depth < b->depth;
    }
    if (a->has_run_well != b->has_run_well) {
        return b->has_run_well;
    }
    if (a->crashes != b->crashes) {
        return a->crashes > b->crashes;
    }
    return a->depth != b->depth ? a->depth > b->depth : a->key > b->key;
}

/* Return: nonzero and the likeliest culprit, or zero if there is none. */
static int
find_culprit(const struct judgement *j, struct tally *out)
{
    GHashTable *tallies = tally_keys(j);
    GHashTableIter it;
    gpointer v;
    int found = 0;

    g_hash_table_iter_init(&it, tallies);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const struct tally *t = v;

        if (is_enough(t) && (!found || is_likelier(t, out))) {
            *out = *t;
            found = 1;
        }
    }
    g_hash_table_destroy(tallies);
    return found;
}

static int
names(const struct fw_crash *c, uint64_t key)
{
    for (int i = 0; i < c->n_keys; i++) {
        if (c->keys[i].hash == key) {
            return 1;
        }
    }
    return 0;
}

static int
blames(const struct fw_blame *b, const struct fw_crash *c, uint64_t key)
{
    return names(c, key) && is_blamed_for(b, c, key);
}

static void
choose(struct judgement *j, const struct tally *t)
{
    for (int i = 0; i < j->b->n_crashes; i++) {
        j->explained[i] |= blames(j->b, &j->b->crashes[i], t->key);
    }
    g_array_append_val(j->chosen, *t);
}

static int
is_chosen(const struct judgement *j, uint64_t key)
{
    for (guint i = 0; i < j->chosen->len; i++) {
        if (g_array_index(j->chosen, struct tally, i).key == key) {
            return 1;
        }
    }
    return 0;
}

static void
note_change(GArray *changes, uint64_t key, int is_quarantined, int n_crashes)
{
    struct fw_blame_change ch = {
        .key = key, .is_quarantined = is_quarantined, .n_crashes = n_crashes};

    g_array_append_val(changes, ch);
}

/**
 * enum blame - what a judgement says about a key that was not chosen.
 * @FW_STILL_BLAMED: not all crashes that it was blamed for are known here; or
 *     it was cleared of none, and no other key explains some of them
 * @FW_CLEARED: sound runs have cleared it of some, and the rest is too little
 * @FW_EXPLAINED: other keys explain all of them, as far as is known now; these
 *     may be cleared later
 */
enum blame {
    FW_STILL_BLAMED,
    FW_CLEARED,
    FW_EXPLAINED,
};

static enum blame
review_blame(const struct judgement *j, struct fw_quarantine *q)
{
    int n_known = 0;
    int n_cleared = 0;
    int n_unexplained = 0;

    for (int i = 0; i < j->b->n_crashes; i++) {
        const struct fw_crash *c = &j->b->crashes[i];

        if (!names(c, q->key)) {
            continue;
        }
        n_known++;
        if (c->is_refuted || !is_blamed_for(j->b, c, q->key)) {
            n_cleared++;
        }
        else if (!j->explained[i]) {
            n_unexplained++;
            q->crash_us = MAX(q->crash_us, c->at_us);
        }
    }
    if (n_known < MAX(q->n_crashes, 1) || (n_unexplained && !n_cleared)) {
        return FW_STILL_BLAMED;
    }
    return n_cleared ? FW_CLEARED : FW_EXPLAINED;
}

static void
set_active(struct fw_quarantine *q, int is_active, int64_t now_us,
           GArray *changes)
{
    if (q->is_active == is_active) {
        return;
    }
    q->is_active = is_active;
    if (is_active) {
        q->since_us = now_us;
    }
    note_change(changes, q->key, is_active, q->n_crashes);
}

/*
 * A key that was cleared is released as if it had run well, so that other
 * instances learn of it. One that others explain is released for as long as
 * they do: a request that all share may be taken for the culprit at first.
 */
static int
is_released(struct judgement *j, struct fw_quarantine *q)
{
    enum blame blame;

    if (is_chosen(j, q->key) ||
        q->crash_us <= Fw_Blame_SoundUs(j->b, q->key)) {
        return 0;
    }
    blame = review_blame(j, q);
    if (blame == FW_CLEARED) {
        Fw_Blame_NoteSound(j->b, q->key, q->crash_us, 0, 1, j->now_us);
    }
    return blame == FW_EXPLAINED;
}

static void
review_quarantines(struct judgement *j, GArray *changes)
{
    struct fw_blame *b = j->b;

    for (int i = 0; i < b->n_quarantines; i++) {
        struct fw_quarantine *q = &b->quarantines[i];
        int64_t age_us = j->now_us - q->crash_us;
        int released = is_released(j, q);

        set_active(q,
                   !released && age_us < FW_QUARANTINE_US &&
                       q->crash_us > Fw_Blame_SoundUs(b, q->key),
                   j->now_us, changes);
        if (age_us >= FW_CRASH_KEPT_US) {
            *q = b->quarantines[--b->n_quarantines];
            i--;
        }
    }
}

static void
quarantine_chosen(struct judgement *j)
{
    for (guint i = 0; i < j->chosen->len; i++) {
        const struct tally *t = &g_array_index(j->chosen, struct tally, i);

        Fw_Blame_UpdateQuarantine(j->b, t->key, t->last_us, t->crashes);
    }
}

/* Crashes that are too old, or were none, count for nothing. */
static void
leave_out_invalid(struct judgement *j)
{
    for (int i = 0; i < j->b->n_crashes; i++) {
        const struct fw_crash *c = &j->b->crashes[i];

        j->explained[i] =
            c->is_refuted || j->now_us - c->at_us >= FW_CRASH_KEPT_US;
    }
}

void
Fw_Blame_Judge(struct fw_blame *b, int64_t now_us, GArray *changes)
{
    struct judgement j = {.b = b, .now_us = now_us};
    struct tally t;

    if (!b->changed) {
        return;
    }
    j.chosen = g_array_new(FALSE, FALSE, sizeof(struct tally));
    leave_out_invalid(&j);
    while (j.chosen->len < FW_QUARANTINES_MAX && find_culprit(&j, &t)) {
        choose(&j, &t);
    }
    quarantine_chosen(&j);
    review_quarantines(&j, changes);
    g_array_unref(j.chosen);
    b->changed = 0;
}
