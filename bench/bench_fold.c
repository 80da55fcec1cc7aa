/*
 * Measures the configuration state of a fleet of the target size: time to
 * apply its records, heap, and time and size of a snapshot.
 */
#include <malloc.h>
#include <stdio.h>
#include <sys/resource.h>

#include "config/snapshot.h"

#define TEAMS 12000
#define KEYS 24000
#define UPSTREAMS 1200
#define ITEMS_PER_RECORD 100
#define CHANGES_PER_DAY 3400 /* of one item each */

static double
now_s(void)
{
    return (double)g_get_monotonic_time() / 1e6;
}

static size_t
heap_bytes(void)
{
    struct mallinfo2 m = mallinfo2();

    return m.uordblks + m.hblkhd;
}

static long
peak_rss_kib(void)
{
    struct rusage ru;

    getrusage(RUSAGE_SELF, &ru);
    return ru.ru_maxrss;
}

static void
add_team(GString *s, int i)
{
    g_string_append_printf(
        s,
        "{\"kind\":\"team\",\"name\":\"team-%05d\",\"was\":0,\"value\":{"
        "\"rate\":%d,\"burst\":%d,\"priority\":%d,"
        "\"models\":[\"outlook\",\"tides\",\"assistant\"]}}",
        i, 1000 + i, 10000 + i, i % 10);
}

static void
add_key(GString *s, int i)
{
    g_string_append_printf(s,
                           "{\"kind\":\"key\",\"name\":\"%064x\",\"was\":0,"
                           "\"value\":{\"team\":\"team-%05d\"}}",
                           i, i % TEAMS);
}

static void
add_upstream(GString *s, int i)
{
    g_string_append_printf(
        s,
        "{\"kind\":\"upstream\",\"name\":\"engine-%04d\",\"was\":0,"
        "\"value\":{\"pool\":\"pool-%d\",\"url\":\"http://10.0.%d.%d:8000\","
        "\"domain\":\"domain-%d\",\"role\":\"%s\",\"fencing\":\"checked\","
        "\"slots\":20,\"prefill_rate\":40000,\"links\":["
        "{\"domain\":\"domain-%d\",\"bytes_per_s\":10000000000}]}}",
        i, i % 11, i / 250, i % 250, i % 16, i % 3 ? "decode" : "prefill",
        i % 16);
}

static GPtrArray *
make_records(void)
{
    GPtrArray *records = g_ptr_array_new_with_free_func(g_free);
    void (*const add[])(GString *, int) = {add_team, add_key, add_upstream};
    const int counts[] = {TEAMS, KEYS, UPSTREAMS};

    for (int kind = 0; kind < 3; kind++) {
        for (int i = 0; i < counts[kind]; i += ITEMS_PER_RECORD) {
            GString *s = g_string_new(NULL);

            g_string_printf(s,
                            "{\"v\":1,\"id\":\"c-%d-%d\",\"who\":\"anna\","
                            "\"at\":\"2026-12-02T09:00:00Z\",\"items\":[",
                            kind, i);
            for (int k = i; k < i + ITEMS_PER_RECORD && k < counts[kind];
                 k++) {
                g_string_append_c(s, k > i ? ',' : ' ');
                add[kind](s, k);
            }
            g_string_append(s, "]}");
            g_ptr_array_add(records, g_string_free(s, FALSE));
        }
    }
    return records;
}

static void
apply_records(struct fw_config_state *st, GPtrArray *records)
{
    struct fw_change_result res;

    for (unsigned i = 0; i < records->len; i++) {
        Fw_ConfigState_Apply(st, g_ptr_array_index(records, i), &res);
        if (res.verdict != FW_CHANGE_ACCEPTED) {
            g_error("record %u: %s", i, res.error.text);
        }
    }
}

/* Applies CHANGES_PER_DAY changes to single teams. Returns the time in s. */
static double
apply_changes(struct fw_config_state *st)
{
    struct fw_change_result res;
    double t = 0;

    for (int i = 0; i < CHANGES_PER_DAY; i++) {
        char name[24];
        char *text;
        double t0;

        g_snprintf(name, sizeof(name), "team-%05d", i % TEAMS);
        text = g_strdup_printf(
            "{\"v\":1,\"id\":\"d-%d\",\"who\":\"anna\","
            "\"at\":\"2026-12-02T09:00:00Z\",\"items\":[{\"kind\":\"team\","
            "\"name\":\"%s\",\"was\":%" G_GUINT64_FORMAT
            ",\"value\":{\"rate\":%d,\"burst\":5}}]}",
            i, name, Fw_Config_ItemVersion(st->cfg, FW_ITEM_TEAM, name), i);
        t0 = now_s();
        Fw_ConfigState_Apply(st, text, &res);
        t += now_s() - t0;
        g_assert(res.verdict == FW_CHANGE_ACCEPTED);
        g_free(text);
    }
    return t;
}

static void
read_snapshot(const struct fw_snapshot *text, uint64_t digest)
{
    struct fw_snapshot_assembler c = {.feeds = 0};
    struct fw_config_state *st = NULL;
    double t0 = now_s();
    double longest = 0;

    for (unsigned k = 0; k < text->parts->len; k++) {
        double t1 = now_s();

        Fw_Snapshot_Feed(&c, g_ptr_array_index(text->parts, k), &st, NULL);
        longest = MAX(longest, now_s() - t1);
    }
    printf("snapshot read            %8.3f s, longest part %.4f s\n",
           now_s() - t0, longest);
    if (!st || Fw_ConfigState_Digest(st) != digest) {
        g_error("state read from the snapshot differs");
    }
    Fw_ConfigState_Free(st);
}

int
main(void)
{
    GPtrArray *records = make_records();
    size_t before = heap_bytes();
    struct fw_config_state *st = Fw_ConfigState_New();
    struct fw_snapshot *text;
    double t0 = now_s();
    double t;

    apply_records(st, records);
    printf("%d teams, %d keys, %d upstreams\n", TEAMS, KEYS, UPSTREAMS);
    printf("records applied          %8.3f s (%u records)\n", now_s() - t0,
           records->len);
    printf("state                    %8.2f MB\n",
           (double)(heap_bytes() - before) / 1e6);
    t = apply_changes(st);
    printf("a day's %d changes     %8.3f s, %.0f us each\n", CHANGES_PER_DAY,
           t, t / CHANGES_PER_DAY * 1e6);
    printf("state after them         %8.2f MB (audit %.2f MB in it)\n",
           (double)(heap_bytes() - before) / 1e6,
           (double)st->audit.bytes / 1e6);
    t0 = now_s();
    text = Fw_Snapshot_Write(st, "s-bench");
    printf("snapshot written         %8.3f s\n", now_s() - t0);
    printf("snapshot                 %8.2f MB in %u parts\n",
           (double)text->bytes / 1e6, text->parts->len);
    read_snapshot(text, Fw_ConfigState_Digest(st));
    Fw_Snapshot_Free(text);
    printf("peak resident            %8.1f MB (records and snapshot twice)\n",
           (double)peak_rss_kib() * 1024 / 1e6);
    Fw_ConfigState_Free(st);
    g_ptr_array_unref(records);
    return 0;
}
