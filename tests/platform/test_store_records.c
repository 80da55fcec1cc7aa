/* Records of the store, and those among them that can't be used. */
#include <errno.h>
#include <string.h>

#include "platform/platform.h"
#include "tests/base/suite.h"

#define FW_GOOD_ITEM "{\"Key\":\"%s\",\"Value\":\"eA==\",\"Offset\":%d}"
/* Largest length that a record can state for its key. */
#define FW_KEY_BYTES_MAX 255

static const struct fw_store_record *
find(const struct fw_store_response *r, const char *key)
{
    for (guint i = 0; i < r->records->len; i++) {
        const struct fw_store_record *rec =
            &g_array_index(r->records, struct fw_store_record, i);

        if (strcmp(rec->key, key) == 0) {
            return rec;
        }
    }
    return NULL;
}

/* Items between two others, and whether they are skipped. */
static const struct {
    const char *item;
    int is_skipped;
} items[] = {
    {"{\"Key\":\"k\",\"Value\":\"eA==\",\"Offset\":2}", 0},
    {"{\"Key\":\"k\",\"Value\":\"!\",\"Offset\":2}", 0},
    {"{\"Key\":7,\"Value\":\"eA==\",\"Offset\":2}", 1},
    {"{\"Key\":\"k\",\"Value\":7,\"Offset\":2}", 1},
    {"{\"Key\":\"k\",\"Value\":\"eA==\",\"Offset\":\"2\"}", 1},
    {"{\"Key\":\"k\",\"Value\":\"eA==\"}", 1},
    {"{\"Value\":\"eA==\",\"Offset\":2}", 1},
    {"{}", 1},
    {"[]", 1},
    {"7", 1},
    {"null", 1},
    {"{\"Key\":\"i-\\u0000\\u0001\",\"Value\":\"eA==\",\"Offset\":2}", 1},
    {"{\"Key\":\"k\",\"Value\":\"\\u0000\",\"Offset\":2}", 0},
    {"{\"Key\":\"\\ud800\",\"Value\":\"eA==\",\"Offset\":2}", 1},
    {"{\"Key\":\"\\udc00\\ud800\",\"Value\":\"eA==\",\"Offset\":2}", 1},
    {"{\"Key\":\"\\ud83d\\ude00\",\"Value\":\"eA==\",\"Offset\":2}", 0},
    {"{\"Key\":\"\xff\xfe\",\"Value\":\"eA==\",\"Offset\":2}", 1},
    {"{\"Key\":\"k\xc3\",\"Value\":\"eA==\",\"Offset\":2}", 1},
    {"{\"Key\":\"\xef\xbf\xbd\",\"Value\":\"eA==\",\"Offset\":2}", 1},
    {"{\"Key\":\"\\\\u0000\",\"Value\":\"eA==\",\"Offset\":2}", 0},
    {"{\"Key\":\"\\\"\\u0000\",\"Value\":\"eA==\",\"Offset\":2}", 1},
};

static void
parse_page(const char *item, struct fw_store_response *out)
{
    g_autofree char *first = g_strdup_printf(FW_GOOD_ITEM, "a", 1);
    g_autofree char *last = g_strdup_printf(FW_GOOD_ITEM, "z", 3);
    g_autofree char *page =
        g_strdup_printf("{\"items\":[%s,%s,%s],\"HasMore\":false,"
                        "\"EndOffset\":9}",
                        first, item, last);

    ck_assert_int_eq(
        Fw_Platform_ParseNewestResponse(200, page, strlen(page), out), 0);
    ck_assert_ptr_nonnull(find(out, "a"));
    ck_assert_ptr_nonnull(find(out, "z"));
}

/* Guards against a list of servers that one item of another writer hides. */
START_TEST(an_item_that_cannot_be_read_hides_no_other)
{
    struct fw_store_response r;

    parse_page(items[_i].item, &r);
    ck_assert_int_eq(r.n_skipped, items[_i].is_skipped);
    ck_assert_uint_eq(r.records->len, 3 - (guint)items[_i].is_skipped);
    Fw_Platform_ClearStoreResponse(&r);
}
END_TEST

/* Guards against a bound on keys that the store does not have. */
START_TEST(a_key_of_any_length_is_read)
{
    g_autofree char *key = g_strnfill((gsize)_i, 'k');
    g_autofree char *item = g_strdup_printf(FW_GOOD_ITEM, key, 2);
    struct fw_store_response r;

    parse_page(item, &r);
    ck_assert_ptr_nonnull(find(&r, key));
    Fw_Platform_ClearStoreResponse(&r);
}
END_TEST

static void
append_record(GString *to, const char *key, gsize key_len, gsize stated)
{
    guint32 len = GUINT32_TO_BE((guint32)(1 + key_len + 1));
    char key_byte = (char)stated;

    g_string_append_len(to, (const char *)&len, 4);
    g_string_append_len(to, &key_byte, 1);
    g_string_append_len(to, key, (gssize)key_len);
    g_string_append_c(to, 'x');
}

/*
 * Guards against a record that hides the next ones, or that passes for the
 * record of the key that its own begins with.
 */
START_TEST(a_record_that_cannot_be_read_hides_no_other)
{
    static const char with_null[] = "a\0b";
    g_autofree char *key = g_strnfill((gsize)_i, 'k');
    GString *raw = g_string_new_len("\0\0\0\0\0\0\0\5\0\0\0\0\0\0\0\0", 16);
    struct fw_store_response r;

    append_record(raw, with_null, 3, 3);
    append_record(raw, "\xff\xfe", 2, 2);
    append_record(raw, key, (gsize)_i, (gsize)_i);
    append_record(raw, "short", 5, FW_KEY_BYTES_MAX);
    append_record(raw, "z", 1, 1);
    ck_assert_int_eq(Fw_Platform_ParseReadResponse(FW_TOPIC_SERVERS, 1, 200,
                                                   raw->str, raw->len, &r),
                     0);
    ck_assert_ptr_null(find(&r, "a"));
    ck_assert_ptr_nonnull(find(&r, key));
    ck_assert_ptr_nonnull(find(&r, "z"));
    ck_assert_int_eq(r.n_skipped, 3);
    ck_assert_uint_eq(r.next_offset, 6);
    Fw_Platform_ClearStoreResponse(&r);
    g_string_free(raw, TRUE);
}
END_TEST

START_TEST(appended_records_are_read_back)
{
    GString *head = g_string_new(NULL);
    GString *raw = g_string_new(NULL);
    struct fw_store_response got;
    GBytes *body;
    gsize len;
    const char *data;

    Fw_Platform_WriteAppendRequest(FW_TOPIC_INSTANCES, 5, "n1", "value", "h",
                                   head, &body);
    ck_assert_str_eq(head->str,
                     "POST /-/log-append?Topic=keyed.fuchsiaward&part=0&At=5 "
                     "HTTP/1.1\r\nHost: h\r\nContent-Length: 12\r\n\r\n");
    data = g_bytes_get_data(body, &len);
    g_string_append_len(raw, "\0\0\0\0\0\0\0\6\0\0\0\0\0\0\0\2", 16);
    g_string_append_len(raw, data, (gssize)len);
    g_string_append_len(raw, "\0\0\0\3\2n1", 7);
    g_string_append_len(raw, "\0\0\0\2\x09n", 6);
    ck_assert_int_eq(Fw_Platform_ParseReadResponse(FW_TOPIC_INSTANCES, 3, 200,
                                                   raw->str, raw->len, &got),
                     0);
    ck_assert_uint_eq(got.end_offset, 6);
    ck_assert_uint_eq(got.next_offset, 6);
    ck_assert_uint_eq(got.records->len, 2); /* the last has no valid key */
    ck_assert_str_eq(g_array_index(got.records, struct fw_store_record, 0).key,
                     "n1");
    ck_assert_uint_eq(
        g_array_index(got.records, struct fw_store_record, 0).len, 5);
    ck_assert_ptr_null(
        g_array_index(got.records, struct fw_store_record, 1).value);
    Fw_Platform_ClearStoreResponse(&got);
    ck_assert_int_eq(Fw_Platform_ParseReadResponse(FW_TOPIC_INSTANCES, 3, 200,
                                                   raw->str, raw->len - 1,
                                                   &got),
                     -EBADMSG);
    Fw_Platform_ClearStoreResponse(&got);
    ck_assert_int_eq(Fw_Platform_ParseReadResponse(FW_TOPIC_INSTANCES, 3, 200,
                                                   "x", 1, &got),
                     -EBADMSG);
    Fw_Platform_ClearStoreResponse(&got);
    g_bytes_unref(body);
    g_string_free(head, TRUE);
    g_string_free(raw, TRUE);
}
END_TEST

static const struct {
    const char *body;
    int rc;
} newest_pages[] = {
    {"{\"items\":[],\"HasMore\":false,\"EndOffset\":3}", 0},
    {"{\"items\":[{\"Key\":\"a\",\"Value\":\"eA==\",\"Offset\":1}],"
     "\"HasMore\":true,\"EndOffset\":3}",
     0},
    {"{\"items\":[],\"HasMore\":true,\"EndOffset\":3}", -EBADMSG},
    {"{\"items\":[],\"HasMore\":false,\"EndOff", -EBADMSG},
    {"", -EBADMSG},
};

/* Guards against servers that are dropped as the rest of a list is missing. */
START_TEST(an_empty_page_does_not_end_a_list_that_goes_on)
{
    struct fw_store_response r;

    ck_assert_int_eq(
        Fw_Platform_ParseNewestResponse(200, newest_pages[_i].body,
                                        strlen(newest_pages[_i].body), &r),
        newest_pages[_i].rc);
    Fw_Platform_ClearStoreResponse(&r);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("store records");

    tcase_add_loop_test(tc, an_item_that_cannot_be_read_hides_no_other, 0,
                        G_N_ELEMENTS(items));
    tcase_add_loop_test(tc, a_key_of_any_length_is_read, 1,
                        FW_KEY_BYTES_MAX + 1);
    tcase_add_loop_test(tc, a_record_that_cannot_be_read_hides_no_other, 2,
                        FW_KEY_BYTES_MAX + 1);
    tcase_add_test(tc, appended_records_are_read_back);
    tcase_add_loop_test(tc, an_empty_page_does_not_end_a_list_that_goes_on, 0,
                        G_N_ELEMENTS(newest_pages));
    return Fw_Suite_Run(tc);
}
