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
#include "relayd/store_internal.h"

/* Fields of an encoded record: offset, key and value. */
#define FW_RECORD_FIELDS 3

/** struct snapshot_record - the newest record of one key. */
struct snapshot_record {
    uint64_t offset;
    GBytes *value;
};

static void
snapshot_record_free(gpointer data)
{
    struct snapshot_record *entry = data;

    g_bytes_unref(entry->value);
    g_free(entry);
}

GHashTable *
Fw_PeerSnapshot_New(void)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                 snapshot_record_free);
}

void
Fw_PeerSnapshot_Update(GHashTable *newest, const struct fw_store_record *rec)
{
    const struct snapshot_record *old = g_hash_table_lookup(newest, rec->key);
    struct snapshot_record *entry;

    if (old && old->offset > rec->offset) {
        return;
    }
    if (!rec->value) {
        g_hash_table_remove(newest, rec->key);
        return;
    }
    entry = g_new(struct snapshot_record, 1);
    entry->offset = rec->offset;
    entry->value = g_bytes_new(rec->value, rec->len);
    g_hash_table_replace(newest, g_strdup(rec->key), entry);
}

void
Fw_PeerSnapshot_Encode(GHashTable *newest, uint64_t end, GByteArray *out)
{
    GHashTableIter it;
    gpointer key;
    gpointer v;
    msgpack_packer pk;

    Fw_Pack_Begin(&pk, out);
    msgpack_pack_array(&pk, 2);
    msgpack_pack_uint64(&pk, end);
    msgpack_pack_array(&pk, g_hash_table_size(newest));
    g_hash_table_iter_init(&it, newest);
    while (g_hash_table_iter_next(&it, &key, &v)) {
        const struct snapshot_record *entry = v;
        gsize len;
        const void *data = g_bytes_get_data(entry->value, &len);

        msgpack_pack_array(&pk, FW_RECORD_FIELDS);
        msgpack_pack_uint64(&pk, entry->offset);
        Fw_Pack_Str(&pk, key);
        msgpack_pack_bin(&pk, len);
        msgpack_pack_bin_body(&pk, data, len);
    }
}

static int
read_record(const msgpack_object *o, struct fw_store_response *out)
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
    if (value->type != MSGPACK_OBJECT_BIN || !value->via.bin.size) {
        return -EBADMSG;
    }
    copy = g_memdup2(value->via.bin.ptr, value->via.bin.size);
    g_ptr_array_add(out->buffers, copy);
    rec.value = copy;
    rec.len = value->via.bin.size;
    g_array_append_val(out->records, rec);
    return 0;
}

static int
read_records(const msgpack_object *o, struct fw_store_response *out)
{
    const msgpack_object *rows;
    int rc = 0;

    if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size != 2 ||
        Fw_Unpack_U64(o, 0, &out->end_offset) ||
        !(rows = Fw_Unpack_Array(o, 1))) {
        return -EBADMSG;
    }
    for (uint32_t i = 0; i < rows->via.array.size && !rc; i++) {
        rc = read_record(&rows->via.array.ptr[i], out);
    }
    return rc;
}

int
Fw_PeerSnapshot_Decode(const void *data, size_t len,
                       struct fw_store_response *out)
{
    msgpack_unpacked u;
    int rc = -EBADMSG;

    *out = (struct fw_store_response){
        .status = 200,
        .records = g_array_new(FALSE, TRUE, sizeof(struct fw_store_record)),
        .buffers = g_ptr_array_new_with_free_func(g_free),
    };
    if (!Fw_PackScan_IsSane(data, len)) {
        return -EBADMSG;
    }
    msgpack_unpacked_init(&u);
    if (msgpack_unpack_next(&u, data, len, NULL) == MSGPACK_UNPACK_SUCCESS) {
        rc = read_records(&u.data, out);
    }
    msgpack_unpacked_destroy(&u);
    return rc;
}

static const char *const paths[] = {[FW_TOPIC_CONFIG] =
                                        "/newest/configuration",
                                    [FW_TOPIC_SERVERS] = "/newest/servers"};

void
Fw_PeerSnapshot_WriteRequest(enum fw_store_topic topic, const char *addr,
                             GString *head)
{
    g_string_append_printf(head, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n",
                           paths[topic], addr);
}

static void
send_snapshot(struct fw_http_caller *c, const struct fw_topic_client *tc)
{
    GByteArray *body;

    if (tc->op != FW_STORE_OP_READ || !tc->next_offset) {
        Fw_Caller_Respond(c, 503, "", "");
        return;
    }
    body = g_byte_array_new();
    Fw_PeerSnapshot_Encode(tc->newest, tc->next_offset, body);
    Fw_Caller_Start(c, 200, "Content-Type: application/msgpack\r\n",
                    (int64_t)body->len);
    Fw_Caller_Data(c, body->data, body->len);
    Fw_Caller_End(c);
    g_byte_array_unref(body);
}

static void
on_request(void *ctx, struct fw_http_caller *c,
           const struct fw_http_head *head, GBytes *body)
{
    struct fw_relayd *d = ctx;

    (void)body;
    if (Fw_Status_IsPath(head, paths[FW_TOPIC_CONFIG])) {
        send_snapshot(c, &d->store->config);
    }
    else if (Fw_Status_IsPath(head, paths[FW_TOPIC_SERVERS])) {
        send_snapshot(c, &d->store->servers);
    }
    else {
        Fw_Caller_Respond(c, 404, "", "");
    }
}

static const struct fw_http_ops ops = {.request = on_request,
                                       .rejected = Fw_Relayd_LogMalformed};

int
Fw_PeerSnapshot_Listen(struct fw_relayd *d)
{
    int err = 0;

    d->snapshot_server = Fw_Server_New(d->opts.peers_addr, &ops, d, &err);
    return d->snapshot_server ? 0 : err;
}
