/* Clients of the platform's log and service registry, with a raw server. */
#include <check.h>
#include <string.h>

#include "io/log_client.h"
#include "io/registry_client.h"
#include "tests/base/suite.h"
#include "tests/io/rig.h"

#define FW_OK "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"

static const struct fw_self self = {.name = "one",
                                    .boot = 7,
                                    .addr = "127.0.0.1:9",
                                    .domain = "a",
                                    .region = "r"};

/** struct harness - both clients and one server. */
struct harness {
    struct rig_core core;
    struct rig_server *server;
    struct fw_log_client *log;
    struct fw_registry_client *registry;
};

static void
begin(struct harness *h)
{
    struct fw_sink sink;

    Fw_RigCore_Init(&h->core);
    sink = Fw_RigCore_Sink(&h->core);
    h->server = Fw_RigServer_New();
    h->log = Fw_LogClient_New(&sink, &h->core.metrics, h->server->url);
    h->registry =
        Fw_RegistryClient_New(&sink, &h->core.metrics, h->server->url, &self);
}

static void
end(struct harness *h)
{
    Fw_LogClient_Free(h->log);
    Fw_RegistryClient_Free(h->registry);
    Fw_RigServer_Free(h->server);
    Fw_RigCore_Clear(&h->core);
}

/* Answers the @i-th connection with @reply and closes it. */
static void
answer(struct harness *h, guint i, const char *reply)
{
    struct rig_conn *c = Fw_RigServer_Conn(h->server, i);

    Fw_RigConn_Expect(c, "\r\n\r\n");
    Fw_RigConn_Send(c, reply, -1);
    g_socket_shutdown(c->sock, FALSE, TRUE, NULL);
}

/*
 * An append may be retried only when the record is certainly not in the log:
 * -EAGAIN (-11) after a rejection. Any other failure is -EIO (-5).
 */
static const struct {
    const char *reply;
    const char *seen;
} appends[] = {
    {FW_OK "{\"first\":12}", "appended err=0 first=12\n"},
    {"HTTP/1.1 429 Slow\r\nContent-Length: 0\r\n\r\n", "appended err=-11"},
    {"HTTP/1.1 503 Out\r\nContent-Length: 0\r\n\r\n", "appended err=-11"},
    {"HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n", "appended err=-5"},
    {"", "appended err=-5"},
    {FW_OK "{\"first\":0}", "appended err=-5"},
    {FW_OK "{\"first\":\"12\"}", "appended err=-5"},
    {FW_OK "not json", "appended err=-5"},
    {"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n{\"first\":1",
     "appended err=-5"},
};

START_TEST(append_outcomes_are_classified)
{
    const char *records[] = {"{\"a\":1}", "two"};
    struct fw_log_append a = {
        .ticket = 1, .stream = "config", .n = 2, .records = (char **)records};
    struct harness h;

    begin(&h);
    Fw_LogClient_Append(h.log, &a);
    Fw_RigConn_Expect(Fw_RigServer_Conn(h.server, 0),
                      "{\"records\":[\"{\\\"a\\\":1}\",\"two\"]}");
    ck_assert(g_str_has_prefix(Fw_RigServer_Conn(h.server, 0)->received->str,
                               "POST /log/config HTTP/1.1\r\n"));
    answer(&h, 0, appends[_i].reply);
    Fw_Rig_ExpectEvent(&h.core, appends[_i].seen);
    Fw_Rig_Settle();
    ck_assert_uint_eq(h.server->conns->len, 1);
    end(&h);
}
END_TEST

/* A refused connection proves that nothing was appended. */
START_TEST(append_to_an_unreachable_log_is_retryable)
{
    struct fw_log_append a = {.ticket = 1, .stream = "config"};
    struct harness h;

    begin(&h);
    g_socket_service_stop(h.server->service);
    g_socket_listener_close(G_SOCKET_LISTENER(h.server->service));
    Fw_LogClient_Append(h.log, &a);
    Fw_Rig_ExpectEvent(&h.core, "appended err=-11 first=0\n");
    end(&h);
}
END_TEST

static const struct {
    const char *reply;
    const char *seen;
} reads[] = {
    {FW_OK "{\"first\":3,\"oldest\":2,\"end\":5,\"records\":[\"x\",\"y\"]}",
     "records err=0 n=2 x\n"},
    {FW_OK "{\"first\":5,\"oldest\":2,\"end\":5,\"records\":[]}",
     "records err=0 n=0 \n"},
    {"HTTP/1.1 503 Out\r\nContent-Length: 0\r\n\r\n", "records err=-11 n=0"},
    {FW_OK "{\"first\":3,\"oldest\":2,\"end\":5,\"records\":[1]}",
     "records err=-74 n=0"},
    {FW_OK "{\"first\":-3,\"oldest\":2,\"end\":5,\"records\":[]}",
     "records err=-74 n=0"},
    {FW_OK "{}", "records err=-74 n=0"},
    {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{", "records err=-32 n=0"},
};

START_TEST(reads_return_records_or_an_error)
{
    struct fw_log_read r = {.ticket = 1,
                            .stream = "roles",
                            .from_offset = 3,
                            .max_records = 10,
                            .wait_us = 1500 * FW_MSEC};
    struct harness h;

    begin(&h);
    Fw_LogClient_Read(h.log, &r);
    Fw_RigConn_Expect(Fw_RigServer_Conn(h.server, 0),
                      "GET /log/roles?from=3&max=10&wait_ms=1500 HTTP/1.1");
    answer(&h, 0, reads[_i].reply);
    Fw_Rig_ExpectEvent(&h.core, reads[_i].seen);
    end(&h);
}
END_TEST

static const struct {
    const char *reply;
    const char *seen;
} registry_reads[] = {
    {FW_OK "{\"entries\":[{\"kind\":\"instance\",\"name\":\"two\",\"addr\":"
           "\"127.0.0.1:1\",\"leaving\":true},{\"kind\":\"upstream\",\"name\":"
           "\"p\",\"addr\":\"http://x\",\"domain\":\"a\",\"region\":\"r\"}]}",
     "listed err=0 n=2 two\n"},
    {FW_OK
     "{\"entries\":[5,{\"kind\":\"robot\",\"name\":\"x\",\"addr\":\"y\"},"
     "{\"kind\":\"instance\",\"name\":\"two\",\"addr\":\"z\"},null]}",
     "listed err=0 n=1 two\n"},
    {FW_OK "{\"entries\":7}", "listed err=-74 n=0"},
    {"HTTP/1.1 503 Out\r\nContent-Length: 0\r\n\r\n", "listed err=-11 n=0"},
    {"", "listed err="},
};

START_TEST(registry_responses_are_parsed)
{
    struct harness h;

    begin(&h);
    Fw_RegistryClient_Read(h.registry);
    Fw_RegistryClient_Read(h.registry);
    answer(&h, 0, registry_reads[_i].reply);
    Fw_Rig_ExpectEvent(&h.core, registry_reads[_i].seen);
    end(&h);
}
END_TEST

static void
on_unregistered(void *ctx)
{
    *(int *)ctx = 1;
}

static int
is_set(void *ctx)
{
    return *(int *)ctx;
}

/*
 * Guards against an instance that stays unknown to load balancer and peers
 * because the registry was unavailable at startup.
 */
START_TEST(own_entry_is_retried_until_written)
{
    struct harness h;
    int unregistered = 0;

    begin(&h);
    Fw_RegistryClient_Register(h.registry);
    answer(&h, 0, "HTTP/1.1 503 Out\r\nContent-Length: 0\r\n\r\n");
    Fw_RigConn_Expect(Fw_RigServer_Conn(h.server, 1),
                      "{\"kind\":\"instance\",\"name\":\"one\",\"addr\":"
                      "\"127.0.0.1:9\",\"domain\":\"a\",\"region\":\"r\","
                      "\"leaving\":false}");
    answer(&h, 1, FW_OK "{}");
    Fw_RegistryClient_MarkLeaving(h.registry);
    Fw_RigConn_Expect(Fw_RigServer_Conn(h.server, 2), "\"leaving\":true}");
    answer(&h, 2, FW_OK "{}");
    Fw_RegistryClient_Unregister(h.registry, on_unregistered, &unregistered);
    Fw_RigConn_Expect(Fw_RigServer_Conn(h.server, 3),
                      "DELETE /list/one HTTP/1.1\r\n");
    answer(&h, 3, "HTTP/1.1 204 No Content\r\n\r\n");
    Fw_Rig_RunUntil(is_set, &unregistered);
    end(&h);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("platform");

    tcase_set_timeout(tc, 60);
    tcase_add_loop_test(tc, append_outcomes_are_classified, 0,
                        G_N_ELEMENTS(appends));
    tcase_add_test(tc, append_to_an_unreachable_log_is_retryable);
    tcase_add_loop_test(tc, reads_return_records_or_an_error, 0,
                        G_N_ELEMENTS(reads));
    tcase_add_loop_test(tc, registry_responses_are_parsed, 0,
                        G_N_ELEMENTS(registry_reads));
    tcase_add_test(tc, own_entry_is_retried_until_written);
    return Fw_Suite_Run(tc);
}
