/* Lists, hashes and metrics. */
#include <check.h>
#include <string.h>

#include "base/hash.h"
#include "base/list.h"
#include "base/metrics.h"
#include "tests/base/suite.h"

struct item {
    int value;
    struct fw_list link;
};

START_TEST(list_keeps_order_and_allows_double_remove)
{
    struct fw_list head;
    struct item items[3] = {{.value = 1}, {.value = 2}, {.value = 3}};
    struct fw_list *pos;
    struct fw_list *tmp;
    int sum = 0;

    Fw_List_Init(&head);
    ck_assert(Fw_List_Empty(&head));
    for (int i = 0; i < 3; i++) {
        Fw_List_Append(&head, &items[i].link);
    }
    Fw_List_Remove(&items[1].link);
    Fw_List_Remove(&items[1].link);
    FW_LIST_EACH_SAFE (pos, tmp, &head) {
        sum = sum * 10 + FW_LIST_ENTRY(pos, struct item, link)->value;
    }
    ck_assert_int_eq(sum, 13);
}
END_TEST

START_TEST(digest_is_sha256_and_compares_fully)
{
    char a[FW_DIGEST_HEX_SIZE];
    char b[FW_DIGEST_HEX_SIZE];

    Fw_Hash_KeyDigest("abc", a);
    ck_assert_str_eq(a, "ba7816bf8f01cfea414140de5dae2223"
                        "b00361a396177a9cb410ff61f20015ad");
    Fw_Hash_KeyDigest("abd", b);
    ck_assert(Fw_Hash_DigestEqual(a, a));
    ck_assert(!Fw_Hash_DigestEqual(a, b));
    ck_assert(!Fw_Hash_DigestEqual(a, "ba78"));
}
END_TEST

START_TEST(metrics_print_counters_and_gauges)
{
    struct fw_metrics m;
    struct fw_metric c = {.name = "fw_x_total", .help = "x", .value = 3};
    struct fw_metric g = {.name = "fw_y", .help = "y", .is_gauge = 1};
    GString *out = g_string_new(NULL);

    Fw_Metrics_Init(&m);
    Fw_Metrics_Add(&m, &c);
    Fw_Metrics_Add(&m, &g);
    Fw_Metrics_Print(&m, out);
    ck_assert_str_eq(out->str, "# HELP fw_x_total x\n"
                               "# TYPE fw_x_total counter\n"
                               "fw_x_total 3\n"
                               "# HELP fw_y y\n"
                               "# TYPE fw_y gauge\n"
                               "fw_y 0\n");
    g_string_free(out, TRUE);
}
END_TEST

START_TEST(histogram_buckets_are_cumulative)
{
    struct fw_metrics m;
    struct fw_histogram h = {.name = "fw_t_seconds", .help = "t"};
    GString *out = g_string_new(NULL);

    Fw_Metrics_Init(&m);
    Fw_Metrics_AddHistogram(&m, &h);
    Fw_Histogram_Add(&h, 1000);
    Fw_Histogram_Add(&h, 1001);
    Fw_Histogram_Add(&h, 3600 * 1000000LL);
    Fw_Metrics_Print(&m, out);
    ck_assert_ptr_nonnull(strstr(out->str, "# TYPE fw_t_seconds histogram\n"
                                           "fw_t_seconds_bucket{le=\"0.001\"}"
                                           " 1\nfw_t_seconds_bucket{le="
                                           "\"0.001414\"} 2\n"));
    ck_assert_ptr_nonnull(strstr(out->str,
                                 "_bucket{le=\"32.77\"} 2\n"
                                 "fw_t_seconds_bucket{le=\"+Inf\"} 3\n"
                                 "fw_t_seconds_sum 3600.002001\n"
                                 "fw_t_seconds_count 3\n"));
    g_string_free(out, TRUE);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("base");

    tcase_add_test(tc, list_keeps_order_and_allows_double_remove);
    tcase_add_test(tc, digest_is_sha256_and_compares_fully);
    tcase_add_test(tc, metrics_print_counters_and_gauges);
    tcase_add_test(tc, histogram_buckets_are_cumulative);
    return Fw_Suite_Run(tc);
}
