/*
 * Snapshots of the configuration and the server registrations, served to other
 * instances. Only some instances read the store; the others, and those that
 * the store rejects, get the records from them.
 */
#include <errno.h>
#include <msgpack.h>
#include <string.h>

#include "core/pack.h"
#include "core/pack_scan.h"
#include "http/conn.h"
#include "io/gzip.h"
#include "relayd/store_internal.h"

/* Fields of an encoded record: offset, key and value, empty if deleted. */
#define FW_RECORD_FIELDS 3
/* Largest snapshot that is accepted, bytes. */
#define FW_SNAPSHOT_BYTES_MAX (32 << 20)
/* Deletions that are remembered. */
#define FW_DELETIONS_MAX 4096

/** struct snapshot_record - the newest record of one key. */
struct snapshot_record {
    uint64_t offset;
    GBytes *value;
};

/** struct deletion - a key that was deleted by the record at @offset. */
struct deletion {
    uint64_t offset;
    char key[FW_STORE_KEY_MAX];
};

/**
 * struct fw_peer_snapshot - records of a topic.
 * @newest: key to struct snapshot_record
 * @deletions: of struct deletion, by offset
 * @deletions_since: offset from which on all deletions are in @deletions
 * @complete: encoded with all records, NULL if records changed since
 */
struct fw_peer_snapshot {
    GHashTable *newest;
    GQueue deletions;
    uint64_t deletions_since;
    GByteArray *complete;
};

static void
snapshot_record_free(gpointer data)
{
    struct snapshot_record *entry = data;

    g_bytes_unref(entry->value);
    g_free(entry);
}

struct fw_peer_snapshot *
Fw_PeerSnapshot_New(void)
{
    struct fw_peer_snapshot *s = g_new0(struct fw_peer_snapshot, 1);

    s->newest = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                      snapshot_record_free);
    g_queue_init(&s->deletions);
    return s;
}

static void
drop_encoded(struct fw_peer_snapshot *s)
{
    g_clear_pointer(&s->complete, g_byte_array_unref);
}

void
Fw_PeerSnapshot_Free(struct fw_peer_snapshot *s)
{
    if (!s) {
        return;
    }
    g_hash_table_destroy(s->newest);
    g_queue_clear_full(&s->deletions, g_free);
    drop_encoded(s);
    g_free(s);
}

void
Fw_PeerSnapshot_Begin(struct fw_peer_snapshot *s, uint64_t end)
{
    g_hash_table_remove_all(s->newest);
    g_queue_clear_full(&s->deletions, g_free);
    s->deletions_since = end;
    drop_encoded(s);
}

int
Fw_PeerSnapshot_Contains(const struct fw_peer_snapshot *s, const char *key)
{
    return g_hash_table_contains(s->newest, key);
}

/* The last deletion before @offset, NULL if there is none. */
static GList *
last_before(const struct fw_peer_snapshot *s, uint64_t offset)
{
    GList *l = s->deletions.tail;

    while (l && ((struct deletion *)l->data)->offset >= offset) {
        l = l->prev;
    }
    return l;
}

/*
 * Keeps the deletions in order, whatever order they come in: what others ask
 * for from an offset on is cut off there.
 */
static void
note_deletion(struct fw_peer_snapshot *s, const struct fw_store_record *rec)
{
    GList *before = last_before(s, rec->offset);
    const GList *next = before ? before->next : s->deletions.head;
    struct deletion *d;

    if (next && ((struct deletion *)next->data)->offset == rec->offset) {
        return;
    }
    d = g_new(struct deletion, 1);
    d->offset = rec->offset;
    g_strlcpy(d->key, rec->key, sizeof(d->key));
    if (before) {
        g_queue_insert_after(&s->deletions, before, d);
    }
    else {
        g_queue_push_head(&s->deletions, d);
    }
    if (g_queue_get_length(&s->deletions) > FW_DELETIONS_MAX) {
        d = g_queue_pop_head(&s->deletions);
        s->deletions_since = d->offset + 1;
        g_free(d);
    }
}

void
Fw_PeerSnapshot_Update(struct fw_peer_snapshot *s,
                       const struct fw_store_record *rec)
{
    const struct snapshot_record *old =
        g_hash_table_lookup(s->newest, rec->key);
    struct snapshot_record *entry;

    if (old && old->offset > rec->offset) {
        return;
    }
    drop_encoded(s);
    if (!rec->value) {
        note_deletion(s, rec);
        g_hash_table_remove(s->newest, rec->key);
        return;
    }
    entry = g_new(struct snapshot_record, 1);
    entry->offset = rec->offset;
    entry->value = g_bytes_new(rec->value, rec->len);
    g_hash_table_replace(s->newest, g_strdup(rec->key), entry);
}

static void
pack_record(msgpack_packer *pk, uint64_t offset, const char *key,
            const void *data, size_t len)
{
    msgpack_pack_array(pk, FW_RECORD_FIELDS);
    msgpack_pack_uint64(pk, offset);
    Fw_Pack_Str(pk, key);
    msgpack_pack_bin(pk, len);
    msgpack_pack_bin_body(pk, data, len);
}

/*
 * Packs the deletions from @since on, in order, which versions before rely on.
 * Return: their number.
 */
static size_t
pack_deletions(const struct fw_peer_snapshot *s, uint64_t since,
               msgpack_packer *pk)
{
    const GList *l = last_before(s, since);
    size_t n = 0;

    for (l = l ? l->next : s->deletions.head; l; l = l->next) {
        const struct deletion *d = l->data;

        n++;
        pack_record(pk, d->offset, d->key, NULL, 0);
    }
    return n;
}

/* Packs the records from @since on. Return: their number. */
static size_t
pack_records(const struct fw_peer_snapshot *s, uint64_t since,
             msgpack_packer *pk)
{
    GHashTableIter it;
    gpointer key;
    gpointer v;
    size_t n = 0;

    g_hash_table_iter_init(&it, s->newest);
    while (g_hash_table_iter_next(&it, &key, &v)) {
        const struct snapshot_record *entry = v;
        gsize len;
        const void *data = g_bytes_get_data(entry->value, &len);

        if (entry->offset >= since) {
            n++;
            pack_record(pk, entry->offset, key, data, len);
        }
    }
    return n;
}

/* Deletions come first: a key may have been added again since. */
static void
encode(const struct fw_peer_snapshot *s, uint64_t since, uint64_t end,
       GByteArray *out)
{
    GByteArray *rows = g_byte_array_new();
    GByteArray *plain = g_byte_array_new();
    msgpack_packer pk;
    size_t n = 0;

    Fw_Pack_Begin(&pk, rows);
    if (since) {
        n = pack_deletions(s, since, &pk);
    }
    n += pack_records(s, since, &pk);
    Fw_Pack_Begin(&pk, plain);
    msgpack_pack_array(&pk, 3);
    msgpack_pack_uint64(&pk, end);
    msgpack_pack_uint64(&pk, since);
    msgpack_pack_array(&pk, n);
    g_byte_array_append(plain, rows->data, rows->len);
    Fw_Gzip_Compress(plain->data, plain->len, out);
    g_byte_array_unref(plain);
    g_byte_array_unref(rows);
}

/*
 * Many instances that start at once request all records. These are encoded
 * once: until one of them changes, a snapshot of an earlier end is as good.
 */
void
Fw_PeerSnapshot_Encode(struct fw_peer_snapshot *s, uint64_t since,
                       uint64_t end, GByteArray *out)
{
    if (since && since >= s->deletions_since) {
        encode(s, since, end, out);
        return;
    }
    if (!s->complete) {
        s->complete = g_byte_array_new();
        encode(s, 0, end, s->complete);
    }
    g_byte_array_append(out, s->complete->data, s->complete->len);
}

static int
read_record(const msgpack_object *o, int with_deletions,
            struct fw_store_response *out)
{
    struct fw_store_record rec = {0};
    const msgpack_object *value;
    char *copy;

    if (o->type != MSGPACK_OBJECT_ARRAY ||
        o->via.array.size != FW_RECORD_FIELDS ||
        Fw_Unpack_U64(o, 0, &rec.offset) ||
        Fw_Unpack_Str(o, 1, rec.key, sizeof(rec.key))) {
        return -EBADMSG;
    }
    value = &o->via.array.ptr[2];
    if (value->type != MSGPACK_OBJECT_BIN ||
        (!value->via.bin.size && !with_deletions)) {
        return -EBADMSG;
    }
    if (value->via.bin.size) {
        copy = g_memdup2(value->via.bin.ptr, value->via.bin.size);
        g_ptr_array_add(out->buffers, copy);
        rec.value = copy;
        rec.len = value->via.bin.size;
    }
    g_array_append_val(out->records, rec);
    return 0;
}

static int
read_records(const msgpack_object *o, uint64_t *since,
             struct fw_store_response *out)
{
    const msgpack_object *rows;
    int rc = 0;

    if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size != 3 ||
        Fw_Unpack_U64(o, 0, &out->end_offset) || Fw_Unpack_U64(o, 1, since) ||
        !(rows = Fw_Unpack_Array(o, 2))) {
        return -EBADMSG;
    }
    for (uint32_t i = 0; i < rows->via.array.size && !rc; i++) {
        rc = read_record(&rows->via.array.ptr[i], *since != 0, out);
    }
    return rc;
}

static int
decode_plain(const GByteArray *plain, uint64_t *since,
             struct fw_store_response *out)
{
    msgpack_unpacked u;
    int rc = -EBADMSG;

    if (!Fw_PackScan_IsSane(plain->data, plain->len)) {
        return -EBADMSG;
    }
    msgpack_unpacked_init(&u);
    if (msgpack_unpack_next(&u, (const char *)plain->data, plain->len, NULL) ==
        MSGPACK_UNPACK_SUCCESS) {
        rc = read_records(&u.data, since, out);
    }
    msgpack_unpacked_destroy(&u);
    return rc;
}

int
Fw_PeerSnapshot_Decode(const void *data, size_t len, uint64_t *since,
                       struct fw_store_response *out)
{
    GByteArray *plain = g_byte_array_new();
    int rc;

    *since = 0;
    *out = (struct fw_store_response){
        .status = 200,
        .records = g_array_new(FALSE, TRUE, sizeof(struct fw_store_record)),
        .buffers = g_ptr_array_new_with_free_func(g_free),
    };
    rc = Fw_Gzip_Decompress(data, len, FW_SNAPSHOT_BYTES_MAX, plain);
    if (!rc) {
        rc = decode_plain(plain, since, out);
    }
    g_byte_array_unref(plain);
    return rc ? -EBADMSG : 0;
}

static const char *const paths[] = {[FW_TOPIC_CONFIG] =
                                        "/newest/configuration",
                                    [FW_TOPIC_SERVERS] = "/newest/servers"};

#define FW_SINCE_QUERY "?since="

void
Fw_PeerSnapshot_WriteRequest(enum fw_store_topic topic, uint64_t since,
                             const char *addr, GString *head)
{
    g_string_append_printf(head,
                           "GET %s" FW_SINCE_QUERY "%" G_GUINT64_FORMAT
                           " HTTP/1.1\r\nHost: %s\r\n\r\n",
                           paths[topic], since, addr);
}

/*
 * Return: zero if the target is not the path of @topic. Without a valid query
 * @since receives 0.
 */
static int
parse_target(const struct fw_http_head *head, enum fw_store_topic topic,
             uint64_t *since)
{
    g_autofree char *target = g_strndup(head->target, head->target_len);
    const char *query;

    *since = 0;
    if (!g_str_has_prefix(target, paths[topic])) {
        return 0;
    }
    query = target + strlen(paths[topic]);
    if (g_str_has_prefix(query, FW_SINCE_QUERY)) {
        *since = g_ascii_strtoull(query + strlen(FW_SINCE_QUERY), NULL, 10);
        return 1;
    }
    return !query[0];
}

/*
 * The age says when the records were known to be all there are. It is outside
 * the body, as that is encoded once for many requests.
 */
static void
send_snapshot(struct fw_http_caller *c, const struct fw_topic_client *tc,
              uint64_t since)
{
    GByteArray *body;
    char fields[160];

    if (tc->op != FW_STORE_OP_READ || !tc->next_offset) {
        Fw_Caller_Respond(c, 503, "", "");
        return;
    }
    body = g_byte_array_new();
    Fw_PeerSnapshot_Encode(tc->snapshot, since, tc->next_offset, body);
    g_snprintf(fields, sizeof(fields),
               "Content-Type: application/msgpack\r\n"
               "Content-Encoding: gzip\r\n" FW_PEER_AGE_FIELD
               ": %" G_GINT64_FORMAT "\r\n",
               Fw_Relay_RulesAgeUs(tc->store->d->relay, Fw_Conn_NowUs()));
    Fw_Caller_Start(c, 200, fields, (int64_t)body->len);
    Fw_Caller_Data(c, body->data, body->len);
    Fw_Caller_End(c);
    g_byte_array_unref(body);
}

static void
on_request(void *ctx, struct fw_http_caller *c,
           const struct fw_http_head *head, GBytes *body)
{
    struct fw_relayd *d = ctx;
    uint64_t since;

    if (Fw_Platform_IsHandedOver(head)) {
        Fw_Relayd_OpenRequest(d, c, head, body, 1);
    }
    else if (parse_target(head, FW_TOPIC_CONFIG, &since)) {
        send_snapshot(c, &d->store->config, since);
    }
    else if (parse_target(head, FW_TOPIC_SERVERS, &since)) {
        send_snapshot(c, &d->store->servers, since);
    }
    else {
        Fw_Caller_Respond(c, 404, "", "");
    }
}

static const struct fw_http_ops ops = {.request = on_request,
                                       .disconnected = Fw_Relayd_CloseRequest,
                                       .rejected = Fw_Relayd_LogMalformed,
                                       .format_rejection =
                                           Fw_Relayd_FormatRejection,
                                       .flushed = Fw_Relayd_ResumeResponse,
                                       .progress = Fw_Relayd_ContinueResponse};

int
Fw_PeerSnapshot_Listen(struct fw_relayd *d)
{
    int err = 0;

    d->peer_server = Fw_Server_New(d->opts.peers_addr, &ops, d, &err);
    if (!d->peer_server) {
        return err;
    }
    Fw_Server_SetHeld(d->peer_server, d->held, 1);
    return 0;
}
