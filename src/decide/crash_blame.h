/*
 * Which requests crash servers, judged by what they have in common.
 *
 * A key stands for a whole request or for a part of its prompt. Each crash
 * names the keys of the requests that may have caused it; instances merge what
 * they know about it. A key is blamed for a crash unless a request with it
 * that began later has run well. Keys that are blamed for several crashes are
 * put in quarantine, the most likely one first: crashes that it explains count
 * no longer against the keys that it came with.
 */
#ifndef FW_DECIDE_CRASH_BLAME_H
#define FW_DECIDE_CRASH_BLAME_H

#include <glib.h>
#include <stdint.h>

#include "base/limits.h"

/* Keys of one crash, crashes, and keys in quarantine that are kept. */
#define FW_CRASH_KEYS_MAX 64
#define FW_CRASHES_MAX 64
#define FW_QUARANTINES_MAX 256
/* Keys of which it is kept when they last ran well. */
#define FW_SOUND_KEYS_MAX 4096
/* A server that a request crashes ends within this time of the response. */
#define FW_CRASH_ONSET_US (3 * FW_SEC)
/* Time after the last crash for which a key is in quarantine. */
#define FW_QUARANTINE_US (600 * FW_SEC)
/*
 * Time for which crashes are kept. A key that has left the quarantine returns
 * to it with the first crash within this time.
 */
#define FW_CRASH_KEPT_US (3600 * FW_SEC)
/* Times that other instances report may be too late by this. */
#define FW_REPORT_DELAY_MAX_US (6 * FW_SEC)
/* Depth of a whole request; those of parts are smaller. */
#define FW_DEPTH_WHOLE 64
/* Time of a key that has never run well. */
#define FW_NEVER_SOUND INT64_MIN

/**
 * struct fw_blame_key - a whole request, or a part of a prompt.
 * @depth: position of the part, or FW_DEPTH_WHOLE; of keys that explain the
 *     same crashes the deepest one is blamed, as fewer requests share it
 * @sent_us: when the last request with it was sent to the server
 */
struct fw_blame_key {
    uint64_t hash;
    int depth;
    int64_t sent_us;
};

/**
 * struct fw_crash - the end of a server that was running requests.
 * @server: identifies the server's lifetime
 * @at_us: when it ended
 * @changed_us: when anything about it was last learned
 * @is_refuted: the server has responded since
 * @is_unsent: other instances have not been sent all of it
 * @is_own: this instance has found it
 */
struct fw_crash {
    uint64_t server;
    int64_t at_us;
    int64_t changed_us;
    int is_refuted;
    int is_unsent;
    int is_own;
    int n_keys;
    struct fw_blame_key keys[FW_CRASH_KEYS_MAX];
};

/**
 * struct fw_quarantine - a key that crashes servers.
 * @since_us: when this instance last put it in quarantine
 * @crash_us: last crash that it is blamed for
 * @n_crashes: most crashes that any instance has blamed it for
 * @is_active: it is in quarantine; otherwise it was released, which is kept as
 *     other instances may not know
 */
struct fw_quarantine {
    uint64_t key;
    int64_t since_us;
    int64_t crash_us;
    int n_crashes;
    int is_active;
};

/**
 * struct fw_blame - crashes, and what is blamed for them.
 * @crashes: ordered by time
 * @sound: key to struct fw_sound, see crash_blame.c
 * @changed: something was learned since Fw_Blame_Judge()
 */
struct fw_blame {
    int n_crashes;
    struct fw_crash crashes[FW_CRASHES_MAX];
    int n_quarantines;
    struct fw_quarantine quarantines[FW_QUARANTINES_MAX];
    GHashTable *sound;
    int changed;
};

/** struct fw_blame_change - a key that was put in quarantine or released. */
struct fw_blame_change {
    uint64_t key;
    int is_quarantined;
    int n_crashes;
};

/** struct fw_sound_row - when a request with @key that ran well began. */
struct fw_sound_row {
    uint64_t key;
    int64_t began_us;
};

void
Fw_Blame_Init(struct fw_blame *b);
void
Fw_Blame_Clear(struct fw_blame *b);
/*
 * The server ended at @at_us while it ran requests with @keys. Further keys
 * are added to those known. Return: the crash if anything was learned, else
 * NULL.
 */
struct fw_crash *
Fw_Blame_NoteCrash(struct fw_blame *b, uint64_t server, int64_t at_us,
                   const struct fw_blame_key *keys, int n, int64_t now_us);
/* The server has not ended. Return: the crash if that was learned, or NULL. */
struct fw_crash *
Fw_Blame_Refute(struct fw_blame *b, uint64_t server, int64_t at_us,
                int64_t now_us);
/* The crash of the server, NULL if none is known. */
struct fw_crash *
Fw_Blame_FindCrash(struct fw_blame *b, uint64_t server);
/*
 * A request with @key whose response began at @began_us has run well.
 * @is_shared: other instances know
 * @keep: also if @key is blamed for nothing
 */
void
Fw_Blame_NoteSound(struct fw_blame *b, uint64_t key, int64_t began_us,
                   int is_shared, int keep, int64_t now_us);
/* When a request with @key that ran well began, or FW_NEVER_SOUND. */
int64_t
Fw_Blame_SoundUs(const struct fw_blame *b, uint64_t key);
/*
 * Appends a struct fw_sound_row for each key of @c that has run well, up to a
 * length of @max. Those count as sent.
 */
void
Fw_Blame_TakeSound(struct fw_blame *b, const struct fw_crash *c, guint max,
                   GArray *out);
/* As above for keys whose latest times other instances have not been sent. */
void
Fw_Blame_TakeUnsent(struct fw_blame *b, guint max, GArray *out);
/*
 * Another instance blames @key for @n_crashes, the last at @crash_us. If it
 * has run well since, that is to be sent. Return: nonzero if the quarantine
 * changed.
 */
int
Fw_Blame_MergeQuarantine(struct fw_blame *b, uint64_t key, int64_t crash_us,
                         int n_crashes, int64_t now_us);
/* The quarantine that @key is in, or NULL. */
const struct fw_quarantine *
Fw_Blame_FindQuarantine(const struct fw_blame *b, uint64_t key,
                        int64_t now_us);
/* The entry of @key, added if new, with its last crash at @crash_us or later.
 */
struct fw_quarantine *
Fw_Blame_UpdateQuarantine(struct fw_blame *b, uint64_t key, int64_t crash_us,
                          int n_crashes);
/*
 * Updates the quarantines, if anything was learned. Appends the changes, of
 * struct fw_blame_change, to @changes.
 */
void
Fw_Blame_Judge(struct fw_blame *b, int64_t now_us, GArray *changes);

#endif
