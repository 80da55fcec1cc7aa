/* The clients of the log and the list, against a raw server. */
#include <check.h>
#include <string.h>

#include "io/list_client.h"
#include "io/log_client.h"
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
    struct fw_registry_client *list;
};

static void
begin(struct harness *b)
{
    struct fw_sink sink;

    Fw_RigCore_Init(&b->core);
    sink = Fw_RigCore_Sink(&b->core);
    b->server = Fw_RigServer_New();
    b->log = Fw_LogClient_New(&sink, &b->core.metrics, b->server->url);
    b->list =
        Fw_RegistryClient_New(&sink, &b->core.metrics, b->server->url, &self);
}

static void
end(struct harness *b)
{
    Fw_LogClient_Free(b->log);
    Fw_RegistryClient_Free(b->list);
    Fw_RigServer_Free(b->server);
    Fw_RigCore_Clear(&b->core);
}

/* Answers the @i-th connection with @reply and closes it. */
static void
answer(struct harness *b, guint i, const char *reply)
{
    struct rig_conn *c = Fw_RigServer_Conn(b->server, i);

    Fw_RigConn_Expect(c, "\r\n\r\n");
    Fw_RigConn_Send(c, reply, -1);
    g_socket_shutdown(c->sock, FALSE, TRUE, NULL);
}

/*
 * The log refuses, fails or stays silent. Whether a record is in it decides
 * what may be done next, so "surely not" (-11) is only said of a refusal; all
 * else is "not known" (-5), to be settled by reading.
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

START_TEST(an_append_tells_what_is_known)
{
    const char *records[] = {"{\"a\":1}", "two"};
    struct fw_log_append a = {
        .ticket = 1, .stream = "config", .n = 2, .records = (char **)records};
    struct harness b;

    begin(&b);
    Fw_LogClient_Append(b.log, &a);
    Fw_RigConn_Expect(Fw_RigServer_Conn(b.server, 0),
                      "{\"records\":[\"{\\\"a\\\":1}\",\"two\"]}");
    ck_assert(g_str_has_prefix(Fw_RigServer_Conn(b.server, 0)->got->str,
                               "POST /log/config HTTP/1.1\r\n"));
    answer(&b, 0, appends[_i].reply);
    Fw_Rig_ExpectSeen(&b.core, appends[_i].seen);
    Fw_Rig_Settle();
    ck_assert_uint_eq(b.server->conns->len, 1);
    end(&b);
}
END_TEST

/* The log's host is down: nothing was sent, so nothing can be in it. */
START_TEST(an_append_to_nobody_is_surely_not_in)
{
    struct fw_log_append a = {.ticket = 1, .stream = "config"};
    struct harness b;

    begin(&b);
    g_socket_service_stop(b.server->service);
    g_socket_listener_close(G_SOCKET_LISTENER(b.server->service));
    Fw_LogClient_Append(b.log, &a);
    Fw_Rig_ExpectSeen(&b.core, "appended err=-11 first=0\n");
    end(&b);
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

START_TEST(a_read_gives_whole_records_or_an_error)
{
    struct fw_log_read r = {.ticket = 1,
                            .stream = "roles",
                            .from = 3,
                            .max_records = 10,
                            .wait_us = 1500 * FW_MSEC};
    struct harness b;

    begin(&b);
    Fw_LogClient_Read(b.log, &r);
    Fw_RigConn_Expect(Fw_RigServer_Conn(b.server, 0),
                      "GET /log/roles?from=3&max=10&wait_ms=1500 HTTP/1.1");
    answer(&b, 0, reads[_i].reply);
    Fw_Rig_ExpectSeen(&b.core, reads[_i].seen);
    end(&b);
}
END_TEST

static const struct {
    const char *reply;
    const char *seen;
} lists[] = {
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

START_TEST(the_list_is_read_entry_by_entry)
{
    struct harness b;

    begin(&b);
    Fw_RegistryClient_Read(b.list);
    Fw_RegistryClient_Read(b.list);
    answer(&b, 0, lists[_i].reply);
    Fw_Rig_ExpectSeen(&b.core, lists[_i].seen);
    end(&b);
}
END_TEST

static void
removed(void *ctx)
{
    *(int *)ctx = 1;
}

static int
is_set(void *ctx)
{
    return *(int *)ctx;
}

/*
 * The list is away when the instance starts. It must come into the list all
 * the same, or the balancer and the other instances would never know of it.
 */
START_TEST(the_own_entry_is_written_until_taken)
{
    struct harness b;
    int gone = 0;

    begin(&b);
    Fw_RegistryClient_Register(b.list);
    answer(&b, 0, "HTTP/1.1 503 Out\r\nContent-Length: 0\r\n\r\n");
    Fw_RigConn_Expect(Fw_RigServer_Conn(b.server, 1),
                      "{\"kind\":\"instance\",\"name\":\"one\",\"addr\":"
                      "\"127.0.0.1:9\",\"domain\":\"a\",\"region\":\"r\","
                      "\"leaving\":false}");
    answer(&b, 1, FW_OK "{}");
    Fw_RegistryClient_MarkLeaving(b.list);
    Fw_RigConn_Expect(Fw_RigServer_Conn(b.server, 2), "\"leaving\":true}");
    answer(&b, 2, FW_OK "{}");
    Fw_RegistryClient_Unregister(b.list, removed, &gone);
    Fw_RigConn_Expect(Fw_RigServer_Conn(b.server, 3),
                      "DELETE /list/one HTTP/1.1\r\n");
    answer(&b, 3, "HTTP/1.1 204 No Content\r\n\r\n");
    Fw_Rig_Until(is_set, &gone);
    end(&b);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("platform");

    tcase_set_timeout(tc, 60);
    tcase_add_loop_test(tc, an_append_tells_what_is_known, 0,
                        G_N_ELEMENTS(appends));
    tcase_add_test(tc, an_append_to_nobody_is_surely_not_in);
    tcase_add_loop_test(tc, a_read_gives_whole_records_or_an_error, 0,
                        G_N_ELEMENTS(reads));
    tcase_add_loop_test(tc, the_list_is_read_entry_by_entry, 0,
                        G_N_ELEMENTS(lists));
    tcase_add_test(tc, the_own_entry_is_written_until_taken);
    return Fw_Suite_Run(tc);
}
