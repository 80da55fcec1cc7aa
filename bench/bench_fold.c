/*
 * The configuration at the size planned for: 12,000 teams, 24,000 keys and
 * 1,200 upstreams. Prints the time to fold them, the bytes they take, and the
 * size and times of a snapshot.
 */
#include <malloc.h>
#include <stdio.h>
#include <sys/resource.h>

#include "config/snapshot.h"

#define TEAMS 12000
#define KEYS 24000
#define UPSTREAMS 1200
#define PER_RECORD 100
#define CHANGES 3400 /* a day's, one item each */

static double
seconds(void)
{
    return (double)g_get_monotonic_time() / 1e6;
}

static size_t
heap_bytes(void)
{
    struct mallinfo2 m = mallinfo2();

    return m.uordblks + m.hblkhd;
}

/* Bytes resident at their highest. */
static long
peak_kib(void)
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
        for (int i = 0; i < counts[kind]; i += PER_RECORD) {
            GString *s = g_string_new(NULL);

            g_string_printf(s,
                            "{\"v\":1,\"id\":\"c-%d-%d\",\"who\":\"anna\","
                            "\"at\":\"2026-12-02T09:00:00Z\",\"items\":[",
                            kind, i);
            for (int k = i; k < i + PER_RECORD && k < counts[kind]; k++) {
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
fold_all(struct fw_config_state *st, GPtrArray *records)
{
    struct fw_change_result res;

    for (unsigned i = 0; i < records->len; i++) {
        Fw_ConfigState_Apply(st, g_ptr_array_index(records, i), &res);
        if (res.verdict != FW_CHANGE_ACCEPTED) {
            g_error("record %u: %s", i, res.error.text);
        }
    }
}

/* A day of single changes, each to one team. */
static double
fold_changes(struct fw_config_state *st)
{
    struct fw_change_result res;
    double t = 0;

    for (int i = 0; i < CHANGES; i++) {
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
        t0 = seconds();
        Fw_ConfigState_Apply(st, text, &res);
        t += seconds() - t0;
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
    double t0 = seconds();
    double longest = 0;

    for (unsigned k = 0; k < text->parts->len; k++) {
        double t1 = seconds();

        Fw_Snapshot_Feed(&c, g_ptr_array_index(text->parts, k), &st, NULL);
        longest = MAX(longest, seconds() - t1);
    }
    printf("snapshot read            %8.3f s, longest part %.4f s\n",
           seconds() - t0, longest);
    if (!st || Fw_ConfigState_Digest(st) != digest) {
        g_error("the snapshot does not give the state back");
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
    double t0 = seconds();
    double t;

    fold_all(st, records);
    printf("fold of %d teams, %d keys, %d upstreams\n", TEAMS, KEYS,
           UPSTREAMS);
    printf("folded in                %8.3f s (%u records)\n", seconds() - t0,
           records->len);
    printf("state                    %8.2f MB\n",
           (double)(heap_bytes() - before) / 1e6);
    t = fold_changes(st);
    printf("a day's %d changes     %8.3f s, %.0f us each\n", CHANGES, t,
           t / CHANGES * 1e6);
    printf("state after them         %8.2f MB (audit %.2f MB in it)\n",
           (double)(heap_bytes() - before) / 1e6,
           (double)st->audit.bytes / 1e6);
    t0 = seconds();
    text = Fw_Snapshot_Write(st, "s-bench");
    printf("snapshot written         %8.3f s\n", seconds() - t0);
    printf("snapshot                 %8.2f MB in %u parts\n",
           (double)text->bytes / 1e6, text->parts->len);
    read_snapshot(text, Fw_ConfigState_Digest(st));
    Fw_Snapshot_Free(text);
    printf("resident at most         %8.1f MB (records and snapshot twice)\n",
           (double)peak_kib() * 1024 / 1e6);
    Fw_ConfigState_Free(st);
    g_ptr_array_unref(records);
    return 0;
}
