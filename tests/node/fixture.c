#include "fixture.h"

#include <check.h>

#include "base/hash.h"

#define FW_FIXTURE_WARM_UP_US (3 * FW_SEC)

static void
add_upstream(GString *items, const char *name, const char *role)
{
    g_string_append_printf(
        items,
        ",{\"kind\":\"upstream\",\"name\":\"%s\",\"was\":0,\"value\":{"
        "\"pool\":\"%s\",\"url\":\"http://%s\",\"domain\":\"d\",\"role\":"
        "\"%s\",\"fencing\":\"checked\",\"slots\":20,\"prefill_rate\":20000,"
        "\"drained\":false,\"links\":[{\"domain\":\"d\",\"bytes_per_s\":"
        "10000000000}]}}",
        name, role[0] == 's' ? "grid-desk" : "pool", name, role);
}

static void
add_key(GString *items, const char *key, const char *team)
{
    char digest[FW_DIGEST_HEX_SIZE];

    Fw_Hash_KeyDigest(key, digest);
    g_string_append_printf(items,
                           ",{\"kind\":\"key\",\"name\":\"%s\",\"was\":0,"
                           "\"value\":{\"team\":\"%s\",\"withdrawn\":false}"
                           "}",
                           digest, team);
}

static GString *
fleet_items(void)
{
    GString *items = g_string_new(
        "{\"kind\":\"team\",\"name\":\"a\",\"was\":0,\"value\":{\"rate\":"
        "100000,\"burst\":1000000,\"priority\":1,\"models\":[]}},"
        "{\"kind\":\"team\",\"name\":\"b\",\"was\":0,\"value\":{\"rate\":"
        "100000,\"burst\":1000000,\"priority\":1,\"models\":[]}},"
        "{\"kind\":\"pool\",\"name\":\"pool\",\"was\":0,\"value\":{"
        "\"kv_bytes_per_token\":1000,\"prefill_min\":1,\"decode_min\":1,"
        "\"serves\":[{\"model\":\"m\",\"version\":\"1\",\"adapter\":\"\"}]}"
        "},{\"kind\":\"service\",\"name\":\"grid-desk\",\"was\":0,\"value\":"
        "{\"calls\":[{\"method\":\"GET\",\"path\":\"/readings\","
        "\"idempotent\":true},{\"method\":\"POST\",\"path\":\"/orders\","
        "\"idempotent\":false}]}}");

    add_key(items, "key-a", "a");
    add_key(items, "key-b", "b");
    add_upstream(items, "p0", "prefill");
    add_upstream(items, "p1", "prefill");
    add_upstream(items, "d0", "decode");
    add_upstream(items, "d1", "decode");
    add_upstream(items, "s0", "service");
    add_upstream(items, "s1", "service");
    return items;
}

struct harness *
Fw_Fixture_New(int nodes)
{
    struct harness *h = Fw_Harness_New(nodes);
    GString *items = fleet_items();

    Fw_Harness_Configure(h, items->str);
    g_string_free(items, TRUE);
    Fw_Harness_Run(h, FW_FIXTURE_WARM_UP_US);
    for (int i = 0; i < nodes; i++) {
        ck_assert(Fw_Node_Ready(h->nodes[i]));
    }
    h->reply_modes[FW_UP_PREFILL] = FW_HARNESS_HOLD;
    h->reply_modes[FW_UP_IMPORT] = FW_HARNESS_HOLD;
    h->reply_modes[FW_UP_DECODE] = FW_HARNESS_HOLD;
    h->reply_modes[FW_UP_RESUME] = FW_HARNESS_HOLD;
    h->reply_modes[FW_UP_SERVICE] = FW_HARNESS_HOLD;
    Fw_Harness_ExpectTranscript(h, "");
    return h;
}
