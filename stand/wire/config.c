/* Routing configuration for tests and the demo. */
#include "stand/wire/internal.h"

/* Appends a route; @rest: further JSON members, with a leading comma. */
static void
add_route(GString *out, const char *prefix, const char *kind,
          const char *service, const char *rest)
{
    g_string_append_printf(
        out,
        "%s{\"Name\":\"r-%s\",\"Host\":\"demo.example\",\"PathPrefix\":\"%s\","
        "\"Kind\":\"%s\",\"TimeoutMs\":8000,\"TargetLatencyMs\":900,"
        "\"Priority\":1,\"Service\":\"%s\",\"Attempts\":2%s}",
        out->str[out->len - 1] == '[' ? "" : ",", service, prefix, kind,
        service, rest);
}

char *
Fw_Wire_MakeConfig(int version, const char *keys)
{
    GString *out = g_string_new(NULL);

    g_string_append_printf(out, "{\"Version\":%d,\"Routes\":[", version);
    add_route(out, "/outlook/", "streaming", "llm",
              ",\"StickySessions\":true,\"Resumable\":false,"
              "\"TargetGapMs\":300");
    add_route(out, "/order/", "unsafe", "desk", "");
    add_route(out, "/read/", "safe", "desk", "");
    add_route(out, "/public/", "safe", "desk", ",\"AllowAnonymous\":true");
    g_string_append_printf(
        out,
        "],\"Services\":[{\"Name\":\"llm\",\"HealthCheckPath\":"
        "\"" FW_HEALTH_PATH "\","
        "\"MaxConnections\":100,\"Engine\":{\"Slots\":8,"
        "\"KvCapacityTokens\":40000,\"HandleTtlS\":0.5,\"RoleSwitchS\":0.1,"
        "\"HoldMs\":2000.0}},{\"Name\":\"desk\",\"HealthCheckPath\":"
        "\"" FW_HEALTH_PATH
        "\",\"MaxConnections\":100}],\"Limits\":{\"MaxHeaderBytes\":"
        "16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,"
        "\"IdleTimeoutMs\":15000},\"Tenants\":[{\"Name\":\"skippers\","
        "\"ApiKeys\":[%s],\"Unit\":\"tokens\",\"UncachedTokens\":200,"
        "\"RatePerS\":1000000,\"Burst\":1000000}]}",
        keys);
    return g_string_free(out, FALSE);
}
