/* Snapshots of store topics that instances serve to one another. */
#include <check.h>
#include <errno.h>
#include <string.h>

#include "io/gzip.h"
#include "relayd/store_internal.h"
#include "tests/relayd/router_env.h"

static void
update(struct fw_peer_snapshot *newest, uint64_t offset, const char *key,
       const char *value)
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
    struct fw_peer_snapshot *newest = Fw_PeerSnapshot_New();
    GByteArray *body = g_byte_array_new();
    struct fw_store_response got;
    uint64_t since;
    char *value;

    update(newest, 3, "a", "new");
    update(newest, 2, "a", "old");
    update(newest, 4, "b", "gone");
    update(newest, 5, "b", NULL);
    Fw_PeerSnapshot_Encode(newest, 0, 6, body);
    ck_assert_int_eq(
        Fw_PeerSnapshot_Decode(body->data, body->len, &since, &got), 0);
    ck_assert_uint_eq(since, 0);
    ck_assert_uint_eq(got.end_offset, 6);
    ck_assert_uint_eq(got.records->len, 1);
    value = value_of(&got, "a");
    ck_assert_str_eq(value, "new");
    g_free(value);
    Fw_Platform_ClearStoreResponse(&got);
    /* Truncated at any length it is rejected. */
    for (guint len = 0; len < body->len; len++) {
        ck_assert_int_lt(Fw_PeerSnapshot_Decode(body->data, len, &since, &got),
                         0);
        Fw_Platform_ClearStoreResponse(&got);
    }
    g_byte_array_unref(body);
    Fw_PeerSnapshot_Free(newest);
}
END_TEST

/** struct since_case - records from @since on; @want: their keys. */
struct since_case {
    uint64_t since;
    const char *want;
    int is_complete;
};

static const struct since_case since_cases[] = {
    {0, "a b d ", 1},  {4, "a b d ", 1}, {5, "-c a b d ", 0},
    {7, "-c b d ", 0}, {9, "d ", 0},     {10, "", 0},
};

static int
compare_names(gconstpointer a, gconstpointer b)
{
    return strcmp(*(char *const *)a, *(char *const *)b);
}

/*
 * Guards against a deletion that is missed, or a record that is repeated, by
 * an instance that asks for what is new.
 */
START_TEST(records_since_an_offset_are_sent)
{
    const struct since_case *t = &since_cases[_i];
    struct fw_peer_snapshot *s = Fw_PeerSnapshot_New();
    GByteArray *body = g_byte_array_new();
    GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
    GString *all = g_string_new(NULL);
    struct fw_store_response got;
    uint64_t since;

    Fw_PeerSnapshot_Begin(s, 5);
    update(s, 2, "a", "1");
    update(s, 4, "c", "1");
    update(s, 6, "a", "2");
    update(s, 7, "b", "1");
    update(s, 8, "c", NULL);
    update(s, 9, "d", "1");
    Fw_PeerSnapshot_Encode(s, t->since, 10, body);
    ck_assert_int_eq(
        Fw_PeerSnapshot_Decode(body->data, body->len, &since, &got), 0);
    ck_assert_uint_eq(got.end_offset, 10);
    ck_assert_uint_eq(since, t->is_complete ? 0 : t->since);
    for (guint i = 0; i < got.records->len; i++) {
        const struct fw_store_record *rec =
            &g_array_index(got.records, struct fw_store_record, i);

        g_ptr_array_add(
            names, g_strdup_printf("%s%s", rec->value ? "" : "-", rec->key));
    }
    g_ptr_array_sort(names, compare_names);
    for (guint i = 0; i < names->len; i++) {
        g_string_append_printf(all, "%s ",
                               (char *)g_ptr_array_index(names, i));
    }
    ck_assert_str_eq(all->str, t->want);
    Fw_Platform_ClearStoreResponse(&got);
    g_string_free(all, TRUE);
    g_ptr_array_unref(names);
    g_byte_array_unref(body);
    Fw_PeerSnapshot_Free(s);
}
END_TEST

/* Takes up what @from has from @since on, as the instance that has @to. */
static void
hand_on(struct fw_peer_snapshot *from, uint64_t since, uint64_t end,
        struct fw_peer_snapshot *to)
{
    GByteArray *body = g_byte_array_new();
    struct fw_store_response got;
    uint64_t from_offset;

    Fw_PeerSnapshot_Encode(from, since, end, body);
    ck_assert_int_eq(
        Fw_PeerSnapshot_Decode(body->data, body->len, &from_offset, &got), 0);
    ck_assert_uint_eq(from_offset, since);
    for (guint i = 0; i < got.records->len; i++) {
        Fw_PeerSnapshot_Update(
            to, &g_array_index(got.records, struct fw_store_record, i));
    }
    Fw_Platform_ClearStoreResponse(&got);
    g_byte_array_unref(body);
}

static struct fw_peer_snapshot *
new_with_servers(uint64_t end)
{
    struct fw_peer_snapshot *s = Fw_PeerSnapshot_New();
    char key[2] = "a";

    Fw_PeerSnapshot_Begin(s, end);
    for (uint64_t offset = 1; offset < end; offset++) {
        update(s, offset, key, "1");
        key[0]++;
    }
    return s;
}

/* Guards against a removal that is lost on its way over two instances. */
START_TEST(deletions_are_handed_on_whatever_order_they_came_in)
{
    /* Which deletions the second instance gets first, and what it hands on. */
    static const uint64_t firsts[] = {10, 11, 12, 13};
    struct fw_peer_snapshot *first = new_with_servers(10);
    struct fw_peer_snapshot *second = new_with_servers(10);
    struct fw_peer_snapshot *third = new_with_servers(10);

    for (uint64_t offset = 10; offset < 14; offset++) {
        char key[2] = {(char)('a' + offset - 10), 0};

        update(first, offset, key, NULL);
        if (offset < firsts[_i]) {
            update(third, offset, key, NULL);
        }
    }
    hand_on(first, 10, 14, second);
    hand_on(second, firsts[_i], 14, third);
    for (char key[2] = "a"; key[0] < 'e'; key[0]++) {
        ck_assert_msg(!Fw_PeerSnapshot_Contains(third, key), "%s is left",
                      key);
    }
    Fw_PeerSnapshot_Free(first);
    Fw_PeerSnapshot_Free(second);
    Fw_PeerSnapshot_Free(third);
}
END_TEST

/* Guards against a removal that is dropped as it comes late, or twice. */
START_TEST(deletions_that_come_late_or_twice_are_kept_in_order)
{
    struct fw_peer_snapshot *s = new_with_servers(10);
    struct fw_peer_snapshot *other = new_with_servers(10);
    GByteArray *body = g_byte_array_new();
    struct fw_store_response got;
    uint64_t since;

    update(s, 13, "d", NULL);
    update(s, 11, "b", NULL);
    update(s, 12, "c", NULL);
    update(s, 11, "b", NULL);
    Fw_PeerSnapshot_Encode(s, 10, 14, body);
    ck_assert_int_eq(
        Fw_PeerSnapshot_Decode(body->data, body->len, &since, &got), 0);
    ck_assert_uint_eq(got.records->len, 3);
    for (guint i = 0; i < got.records->len; i++) {
        ck_assert_uint_eq(
            g_array_index(got.records, struct fw_store_record, i).offset,
            11 + i);
    }
    hand_on(s, 12, 14, other);
    ck_assert(Fw_PeerSnapshot_Contains(other, "b"));
    ck_assert(!Fw_PeerSnapshot_Contains(other, "c"));
    ck_assert(!Fw_PeerSnapshot_Contains(other, "d"));
    Fw_Platform_ClearStoreResponse(&got);
    g_byte_array_unref(body);
    Fw_PeerSnapshot_Free(s);
    Fw_PeerSnapshot_Free(other);
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
    {"an end that is a text", "\x93\xa1x\x00\x90", 5},
    {"a record without a value", "\x93\x01\x00\x91\x92\x01\xa1k", 8},
    {"an offset that is a text", "\x93\x01\xa1x\x90", 5},
    {"an empty value in a complete snapshot",
     "\x93\x01\x00\x91\x93\x01\xa1k\xc4\x00", 10},
    {"a value that is a text", "\x93\x01\x00\x91\x93\x01\xa1k\xa1v", 10},
    {"a value that claims more than there is",
     "\x93\x01\x00\x91\x93\x01\xa1k\xc6\xff\xff\xff\xff", 13},
};

/* Guards against excessive allocation and lost records. */
START_TEST(malformed_snapshots_are_rejected)
{
    GByteArray *body = g_byte_array_new();
    struct fw_store_response got;
    uint64_t since;

    ck_assert_msg(Fw_PeerSnapshot_Decode(malformed[_i].bytes,
                                         malformed[_i].len, &since,
                                         &got) == -EBADMSG,
                  "%s is accepted uncompressed", malformed[_i].name);
    Fw_Platform_ClearStoreResponse(&got);
    Fw_Gzip_Compress(malformed[_i].bytes, malformed[_i].len, body);
    ck_assert_msg(Fw_PeerSnapshot_Decode(body->data, body->len, &since,
                                         &got) == -EBADMSG,
                  "%s is accepted", malformed[_i].name);
    g_byte_array_unref(body);
    Fw_Platform_ClearStoreResponse(&got);
}
END_TEST

/* Guards against a small body that fills the memory when decompressed. */
START_TEST(a_body_that_expands_too_far_is_rejected)
{
    GByteArray *plain = g_byte_array_new();
    GByteArray *body = g_byte_array_new();
    GByteArray *out = g_byte_array_new();

    g_byte_array_set_size(plain, 1 << 20);
    memset(plain->data, 0, plain->len);
    Fw_Gzip_Compress(plain->data, plain->len, body);
    ck_assert_uint_lt(body->len, 10000);
    ck_assert_int_eq(
        Fw_Gzip_Decompress(body->data, body->len, plain->len - 1, out),
        -EMSGSIZE);
    g_byte_array_set_size(out, 0);
    ck_assert_int_eq(
        Fw_Gzip_Decompress(body->data, body->len, plain->len, out), 0);
    ck_assert_uint_eq(out->len, plain->len);
    g_byte_array_unref(out);
    g_byte_array_unref(body);
    g_byte_array_unref(plain);
}
END_TEST

static void
expect_response(struct router_env *env, const char *path, const char *wanted)
{
    char addr[FW_URL_MAX];
    char *text = g_strdup_printf("GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path);
    struct rig_conn *c;

    g_snprintf(addr, sizeof(addr), "127.0.0.1:%d",
               Fw_Server_Port(env->router->peer_server));
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
    expect_response(&env, "/newest/servers?since=1", "application/msgpack");
    expect_response(&env, "/newest/serversx", "404");
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
    tcase_add_loop_test(
        tc, deletions_are_handed_on_whatever_order_they_came_in, 0, 4);
    tcase_add_test(tc, deletions_that_come_late_or_twice_are_kept_in_order);
    tcase_add_loop_test(tc, records_since_an_offset_are_sent, 0,
                        G_N_ELEMENTS(since_cases));
    tcase_add_loop_test(tc, malformed_snapshots_are_rejected, 0,
                        G_N_ELEMENTS(malformed));
    tcase_add_test(tc, a_body_that_expands_too_far_is_rejected);
    tcase_add_test(tc, an_instance_serves_snapshots);
    return Fw_Suite_Run(tc);
}
