/*
 * Messages about crashes: from a leaf to its hub, from a hub to other hubs and
 * its leaves. Changes are sent at once, and repeated for a while, as messages
 * may be lost; what is in quarantine is repeated as long as it is, for
 * instances that start.
 */
#include <errno.h>
#include <string.h>

#include "base/fault.h"
#include "core/pack.h"
#include "relay/relay_internal.h"

#define FW_MSG_TYPE_CRASHES 12
#define FW_MSG_ELEMENTS 5
/*
 * Server, age, whether it is refuted; then for each key its hash, its depth
 * and how long before the crash it was last sent there.
 */
#define FW_CRASH_COLUMNS 3
#define FW_KEY_COLUMNS 3
/* Key, and how long ago a request with it that ran well began. */
#define FW_SOUND_COLUMNS 2
/* Key, age of its last crash, number of crashes. */
#define FW_QUARANTINE_COLUMNS 3
/* Minimum interval between messages with changes. */
#define FW_CHANGED_INTERVAL_US (50 * FW_MSEC)
/* Interval between repeats, and how long changes are repeated. */
#define FW_REPEAT_INTERVAL_US (1 * FW_SEC)
#define FW_REPEATED_US (3 * FW_SEC)
/* Bounds of one message; the rest follows in the next one. */
#define FW_MESSAGE_KEYS_MAX 256
#define FW_MESSAGE_SOUND_MAX 256
#define FW_MESSAGE_QUARANTINES_MAX 32
/* Larger ages in messages are malformed. */
#define FW_AGE_MAX_MS (FW_CRASH_KEPT_US / FW_MSEC * 2)

/**
 * struct contents - what a message contains.
 * @crashes, @quarantines: indices
 * @is_partial: there is more
 */
struct contents {
    int n_crashes;
    int crashes[FW_CRASHES_MAX];
    GArray *sound;
    int n_quarantines;
    int quarantines[FW_MESSAGE_QUARANTINES_MAX];
    int is_partial;
};

static int
is_due(const struct fw_crash *c, int repeats, int64_t now_us)
{
    return c->is_unsent ||
           (repeats && now_us - c->changed_us < FW_REPEATED_US);
}

static void
collect(struct fw_blame *b, int repeats, int64_t now_us, struct contents *out)
{
    int keys = 0;

    out->sound = g_array_new(FALSE, FALSE, sizeof(struct fw_sound_row));
    for (int i = b->n_crashes - 1; i >= 0; i--) {
        struct fw_crash *c = &b->crashes[i];

        if (!is_due(c, repeats, now_us)) {
            continue;
        }
        if (keys + c->n_keys > FW_MESSAGE_KEYS_MAX) {
            out->is_partial = 1;
            break;
        }
        keys += c->n_keys;
        c->is_unsent = 0;
        out->crashes[out->n_crashes++] = i;
        Fw_Blame_TakeSound(b, c, FW_MESSAGE_SOUND_MAX, out->sound);
    }
    Fw_Blame_TakeUnsent(b, FW_MESSAGE_SOUND_MAX, out->sound);
    out->is_partial |= out->sound->len == FW_MESSAGE_SOUND_MAX;
}

/* Many quarantines are sent in turn. */
static void
collect_quarantines(struct fw_rl_crashes *p, struct contents *out)
{
    const struct fw_blame *b = &p->blame;

    for (int i = 0; i < b->n_quarantines &&
                    out->n_quarantines < FW_MESSAGE_QUARANTINES_MAX;
         i++) {
        int at = (int)(p->next_quarantine++ % (unsigned)b->n_quarantines);

        if (b->quarantines[at].is_active) {
            out->quarantines[out->n_quarantines++] = at;
        }
    }
}

/*
 * A request may have been sent after the crash that it is listed with: a
 * server that was started anew ends again before its new entry was read.
 */
static void
pack_age(msgpack_packer *pk, int64_t at_us, int64_t now_us)
{
    msgpack_pack_int64(pk, Fw_Relay_UsToMs(MAX(now_us - at_us, 0)));
}

static void
pack_crash(msgpack_packer *pk, const struct fw_crash *c, int64_t now_us)
{
    int n_keys = c->is_refuted ? 0 : c->n_keys;

    msgpack_pack_array(pk, FW_CRASH_COLUMNS + (size_t)n_keys * FW_KEY_COLUMNS);
    msgpack_pack_uint64(pk, c->server);
    pack_age(pk, c->at_us, now_us);
    msgpack_pack_int(pk, c->is_refuted);
    for (int i = 0; i < n_keys; i++) {
        msgpack_pack_uint64(pk, c->keys[i].hash);
        msgpack_pack_int(pk, c->keys[i].depth);
        pack_age(pk, c->keys[i].sent_us, c->at_us);
    }
}

void
Fw_CrashMessage_PackQuarantine(msgpack_packer *pk,
                               const struct fw_quarantine *q, int64_t now_us)
{
    msgpack_pack_array(pk, FW_QUARANTINE_COLUMNS);
    msgpack_pack_uint64(pk, q->key);
    pack_age(pk, q->crash_us, now_us);
    msgpack_pack_int(pk, q->n_crashes);
}

static void
write_message(const struct fw_relay *r, const struct contents *contents,
              int64_t now_us, GByteArray *out)
{
    const struct fw_blame *b = &r->crashes.blame;
    msgpack_packer pk;

    Fw_Pack_Begin(&pk, out);
    msgpack_pack_array(&pk, FW_MSG_ELEMENTS);
    msgpack_pack_int(&pk, FW_MSG_TYPE_CRASHES);
    Fw_Pack_Str(&pk, r->opts.name);
    msgpack_pack_array(&pk, (size_t)contents->n_crashes);
    for (int i = 0; i < contents->n_crashes; i++) {
        pack_crash(&pk, &b->crashes[contents->crashes[i]], now_us);
    }
    msgpack_pack_array(&pk, contents->sound->len);
    for (guint i = 0; i < contents->sound->len; i++) {
        const struct fw_sound_row *row =
            &g_array_index(contents->sound, struct fw_sound_row, i);

        msgpack_pack_array(&pk, FW_SOUND_COLUMNS);
        msgpack_pack_uint64(&pk, row->key);
        pack_age(&pk, row->began_us, now_us);
    }
    msgpack_pack_array(&pk, (size_t)contents->n_quarantines);
    for (int i = 0; i < contents->n_quarantines; i++) {
        Fw_CrashMessage_PackQuarantine(
            &pk, &b->quarantines[contents->quarantines[i]], now_us);
    }
}

static void
send_as_hub(struct fw_relay *r, GBytes *data, int64_t now_us,
            struct fw_rl_outbox *out)
{
    struct fw_list *pos;

    FW_LIST_EACH (pos, &r->members) {
        struct fw_rl_member *m = FW_LIST_ENTRY(pos, struct fw_rl_member, link);

        if (Fw_Hubs_IsLeaf(r, m, now_us) ||
            (Fw_Hubs_IsActing(r, m, now_us) && !m->unreachable_since_us)) {
            Fw_Outbox_AddShared(out, m->addr, data);
        }
    }
}

static void
send_contents(struct fw_relay *r, int repeats, int64_t now_us,
              struct fw_rl_outbox *out)
{
    GByteArray *msg = g_byte_array_new();
    struct contents contents = {0};
    GBytes *data;

    collect(&r->crashes.blame, repeats, now_us, &contents);
    collect_quarantines(&r->crashes, &contents);
    write_message(r, &contents, now_us, msg);
    data = g_byte_array_free_to_bytes(msg);
    if (r->exchange.is_hub) {
        send_as_hub(r, data, now_us, out);
    }
    else if (r->exchange.hub) {
        Fw_Outbox_AddShared(out, r->exchange.hub->addr, data);
    }
    r->crashes.changed = contents.is_partial;
    g_bytes_unref(data);
    g_array_unref(contents.sound);
}

void
Fw_CrashMessage_SendDue(struct fw_relay *r, int64_t now_us,
                        struct fw_rl_outbox *out)
{
    const struct fw_blame *b = &r->crashes.blame;
    int64_t elapsed_us = now_us - r->crashes.sent_us;
    int has_changes =
        b->n_crashes &&
        now_us - b->crashes[b->n_crashes - 1].at_us < FW_REPEATED_US;
    int repeats = (has_changes || b->n_quarantines) &&
                  elapsed_us >= FW_REPEAT_INTERVAL_US;

    if ((!r->crashes.changed && !repeats) ||
        elapsed_us < FW_CHANGED_INTERVAL_US ||
        FW_FAULT("crashes-kept-alone")) {
        return;
    }
    r->crashes.sent_us = now_us;
    send_contents(r, repeats, now_us, out);
}

/* Return: 0 and the time @column milliseconds before @base_us, or -EBADMSG. */
static int
read_time(const msgpack_object *row, uint32_t column, int64_t base_us,
          int64_t *out)
{
    int64_t age_ms;

    if (Fw_Unpack_I64(row, column, &age_ms) || age_ms < 0 ||
        age_ms > FW_AGE_MAX_MS) {
        return -EBADMSG;
    }
    *out = base_us - age_ms * FW_MSEC;
    return 0;
}

/* Return: number of keys of the crash at @at_us, or -EBADMSG. */
static int
read_keys(const msgpack_object *row, int64_t at_us, struct fw_blame_key *out)
{
    uint32_t n = (row->via.array.size - FW_CRASH_COLUMNS) / FW_KEY_COLUMNS;

    if (n > FW_CRASH_KEYS_MAX ||
        row->via.array.size != FW_CRASH_COLUMNS + n * FW_KEY_COLUMNS) {
        return -EBADMSG;
    }
    for (uint32_t i = 0; i < n; i++) {
        uint32_t at = FW_CRASH_COLUMNS + i * FW_KEY_COLUMNS;
        int64_t depth;

        if (Fw_Unpack_U64(row, at, &out[i].hash) ||
            Fw_Unpack_I64(row, at + 1, &depth) ||
            read_time(row, at + 2, at_us, &out[i].sent_us)) {
            return -EBADMSG;
        }
        out[i].depth = (int)CLAMP(depth, 0, FW_DEPTH_WHOLE);
    }
    return (int)n;
}

/*
 * Each of these returns 0, or -EBADMSG if the row isn't valid. With @is_check
 * nothing is applied. A hub sends on what it has learned; a leaf, only what it
 * has seen itself.
 */
static int
apply_crash(struct fw_relay *r, const msgpack_object *row, int64_t now_us,
            int is_check)
{
    struct fw_blame_key keys[FW_CRASH_KEYS_MAX];
    struct fw_crash *c;
    uint64_t server;
    int64_t at_us;
    int64_t is_refuted;
    int n;

    if (row->type != MSGPACK_OBJECT_ARRAY ||
        row->via.array.size < FW_CRASH_COLUMNS ||
        Fw_Unpack_U64(row, 0, &server) || read_time(row, 1, now_us, &at_us) ||
        Fw_Unpack_I64(row, 2, &is_refuted)) {
        return -EBADMSG;
    }
    n = read_keys(row, at_us, keys);
    if (n < 0 || is_check) {
        return MIN(n, 0);
    }
    c = is_refuted ? Fw_Blame_Refute(&r->crashes.blame, server, at_us, now_us)
                   : Fw_Blame_NoteCrash(&r->crashes.blame, server, at_us, keys,
                                        n, now_us);
    if (c) {
        c->is_unsent |= r->exchange.is_hub;
        r->crashes.changed = 1;
    }
    return 0;
}

static int
apply_sound(struct fw_relay *r, const msgpack_object *row, int64_t now_us,
            int is_check)
{
    uint64_t key;
    int64_t began_us;

    if (Fw_Unpack_U64(row, 0, &key) || read_time(row, 1, now_us, &began_us)) {
        return -EBADMSG;
    }
    if (is_check) {
        return 0;
    }
    Fw_Blame_NoteSound(&r->crashes.blame, key, began_us, !r->exchange.is_hub,
                       1, now_us);
    r->crashes.changed |= r->exchange.is_hub && r->crashes.blame.changed;
    return 0;
}

static int
apply_quarantine(struct fw_relay *r, const msgpack_object *row, int64_t now_us,
                 int is_check)
{
    uint64_t key;
    int64_t crash_us;
    int64_t n;

    if (Fw_Unpack_U64(row, 0, &key) || read_time(row, 1, now_us, &crash_us) ||
        Fw_Unpack_I64(row, 2, &n)) {
        return -EBADMSG;
    }
    if (is_check) {
        return 0;
    }
    if (Fw_Blame_MergeQuarantine(&r->crashes.blame, key, crash_us,
                                 (int)CLAMP(n, 0, FW_CRASHES_MAX), now_us)) {
        r->crashes.changed |= r->exchange.is_hub;
    }
    r->crashes.changed |= Fw_Blame_SoundUs(&r->crashes.blame, key) >= crash_us;
    return 0;
}

int
Fw_CrashMessage_ReadQuarantines(struct fw_relay *r, const msgpack_object *rows,
                                int64_t now_us)
{
    for (int is_check = 1; is_check >= 0; is_check--) {
        for (uint32_t k = 0; k < rows->via.array.size; k++) {
            if (apply_quarantine(r, &rows->via.array.ptr[k], now_us,
                                 is_check)) {
                return -EBADMSG;
            }
        }
    }
    return 0;
}

/* Elements of the message with rows, and how these are read. */
static const struct {
    uint32_t element;
    int (*apply)(struct fw_relay *r, const msgpack_object *row, int64_t now_us,
                 int is_check);
} row_kinds[] = {{2, apply_crash}, {3, apply_sound}, {4, apply_quarantine}};

/* Checks or applies all rows of the message. Return: 0 or -EBADMSG. */
static int
apply_rows(struct fw_relay *r, const msgpack_object *o, int64_t now_us,
           int is_check)
{
    for (size_t i = 0; i < G_N_ELEMENTS(row_kinds); i++) {
        const msgpack_object *rows = Fw_Unpack_Array(o, row_kinds[i].element);

        if (!rows || rows->via.array.size > FW_RL_ROWS_MAX) {
            return -EBADMSG;
        }
        for (uint32_t k = 0; k < rows->via.array.size; k++) {
            if (row_kinds[i].apply(r, &rows->via.array.ptr[k], now_us,
                                   is_check)) {
                return -EBADMSG;
            }
        }
    }
    return 0;
}

int
Fw_CrashMessage_Read(struct fw_relay *r, const msgpack_object *o,
                     int64_t now_us)
{
    char name[FW_NAME_MAX];
    uint64_t type;

    if (o->type != MSGPACK_OBJECT_ARRAY ||
        o->via.array.size != FW_MSG_ELEMENTS || Fw_Unpack_U64(o, 0, &type) ||
        type != FW_MSG_TYPE_CRASHES ||
        Fw_Unpack_Str(o, 1, name, sizeof(name)) ||
        apply_rows(r, o, now_us, 1)) {
        return -EBADMSG;
    }
    return apply_rows(r, o, now_us, 0);
}
