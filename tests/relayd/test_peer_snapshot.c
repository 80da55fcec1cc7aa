/* Snapshots of store topics that instances serve to one another. */
#include <check.h>
#include <errno.h>
#include <string.h>

#include "relayd/store_internal.h"
#include "tests/relayd/router_env.h"

static void
update(GHashTable *newest, uint64_t offset, const char *key, const char *value)
{
    struct fw_store_record rec = {
        .offset = offset, .value = value, .len = value ? strlen(value) : 0};

    g_strlcpy(rec.key, key, sizeof(rec.key));
    Fw_PeerSnapshot_Update(newest, &rec);
}

/* Return: a copy to be freed, or NULL if @key is absent. */
static char *
value_of(const struct fw_store_response *got, const char *key)
{
    for (guint i = 0; i < got->records->len; i++) {
        const struct fw_store_record *rec =
            &g_array_index(got->records, struct fw_store_record, i);

        if (strcmp(rec->key, key) == 0) {
            return g_strndup(rec->value, rec->len);
        }
    }
    return NULL;
}

/* Guards against deleted or outdated records in a snapshot. */
START_TEST(the_newest_record_of_each_key_is_kept)
{
    GHashTable *newest = Fw_PeerSnapshot_New();
    GByteArray *body = g_byte_array_new();
    struct fw_store_response got;
    char *value;

    update(newest, 3, "a", "new");
    update(newest, 2, "a", "old");
    update(newest, 4, "b", "gone");
    update(newest, 5, "b", NULL);
    Fw_PeerSnapshot_Encode(newest, 6, body);
    ck_assert_int_eq(Fw_PeerSnapshot_Decode(body->data, body->len, &got), 0);
    ck_assert_uint_eq(got.end_offset, 6);
    ck_assert_uint_eq(got.records->len, 1);
    value = value_of(&got, "a");
    ck_assert_str_eq(value, "new");
    g_free(value);
    Fw_Platform_ClearStoreResponse(&got);
    /* Truncated at any length it is rejected. */
    for (guint len = 0; len < body->len; len++) {
        ck_assert_int_lt(Fw_PeerSnapshot_Decode(body->data, len, &got), 0);
        Fw_Platform_ClearStoreResponse(&got);
    }
    g_byte_array_unref(body);
    g_hash_table_destroy(newest);
}
END_TEST

/* Bodies that another version, or a program that is no instance, may send. */
static const struct {
    const char *name;
    const char *bytes;
    size_t len;
} malformed[] = {
    {"no array", "\x01", 1},
    {"an array that claims gigabytes", "\xdd\xff\xff\xff\xff", 5},
    {"an end that is a text", "\x92\xa1x\x90", 4},
    {"a record without a value", "\x92\x01\x91\x92\x01\xa1k", 7},
    {"an empty value", "\x92\x01\x91\x93\x01\xa1k\xc4\x00", 9},
    {"a value that is a text", "\x92\x01\x91\x93\x01\xa1k\xa1v", 9},
    {"a value that claims more than there is",
     "\x92\x01\x91\x93\x01\xa1k\xc6\xff\xff\xff\xff", 12},
};

/* Guards against excessive allocation and lost records. */
START_TEST(malformed_snapshots_are_rejected)
{
    struct fw_store_response got;

    ck_assert_msg(Fw_PeerSnapshot_Decode(malformed[_i].bytes,
                                         malformed[_i].len, &got) == -EBADMSG,
                  "%s is accepted", malformed[_i].name);
    Fw_Platform_ClearStoreResponse(&got);
}
END_TEST

static void
expect_response(struct router_env *env, const char *path, const char *wanted)
{
    char addr[FW_URL_MAX];
    char *text = g_strdup_printf("GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path);
    struct rig_conn *c;

    g_snprintf(addr, sizeof(addr), "127.0.0.1:%d",
               Fw_Server_Port(env->router->snapshot_server));
    c = Fw_RigConn_Open(addr);
    Fw_RigConn_Send(c, text, -1);
    Fw_RigConn_Expect(c, wanted);
    Fw_RigConn_Close(c);
    g_free(text);
}

/* Guards against an instance that serves no snapshot after reading. */
START_TEST(an_instance_serves_snapshots)
{
    struct router_env env;

    Fw_RouterEnv_InitAndStart(&env);
    expect_response(&env, "/newest/configuration", "application/msgpack");
    expect_response(&env, "/newest/servers", "application/msgpack");
    expect_response(&env, "/newest/keys", "404");
    Fw_RouterEnv_Free(&env);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("relayd handover");

    tcase_set_timeout(tc, 30);
    tcase_add_test(tc, the_newest_record_of_each_key_is_kept);
    tcase_add_loop_test(tc, malformed_snapshots_are_rejected, 0,
                        G_N_ELEMENTS(malformed));
    tcase_add_test(tc, an_instance_serves_snapshots);
    return Fw_Suite_Run(tc);
}
