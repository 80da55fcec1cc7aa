/*
 * Log events of the daemon. Guards against events that are not logged, or lack
 * the members an operator needs.
 */
#include <check.h>
#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#include "io/json.h"
#include "relayd/relayd_internal.h"
#include "tests/relayd/router_env.h"

/* Events and the members that each has besides the common ones. */
static const struct {
    const char *event;
    const char *members[4];
} expected_events[] = {
    {"started", {"callers", "ready", "metrics", "store"}},
    {"store_lost", {"why"}},
    {"store_back", {"away_ms"}},
    {"entry_unreadable", {"server"}},
    {"configuration_rejected", {"why"}},
    {"configuration_unreadable", {"offset"}},
    {"history_cut", {"topic", "from"}},
    {"request_malformed", {"status", "why"}},
    {"request_unreadable", {NULL}},
    {"settings_rejected", {"error"}},
    {"settings_reloaded", {NULL}},
    {"role_taken", {"offset"}},
    {"member_met", {"addr"}},
    {"digest_unreadable", {"from"}},
    {"draining", {"open"}},
};

/** struct log_reader - @event: the event to wait for. */
struct log_reader {
    int fd;
    const char *event;
    GString *text;
};

/* Return: the first line of @event, to be freed, or NULL. */
static char *
line_of(const struct log_reader *reader, const char *event)
{
    char *name = g_strdup_printf("\"event\":\"%s\"", event);
    const char *at = strstr(reader->text->str, name);
    const char *from = at;
    const char *end = at ? strchr(at, '\n') : NULL;

    g_free(name);
    if (!end) {
        return NULL;
    }
    while (from > reader->text->str && from[-1] != '\n') {
        from--;
    }
    return g_strndup(from, (gsize)(end - from));
}

static int
has_event(void *ctx)
{
    struct log_reader *reader = ctx;
    char part[4096];
    char *line;
    ssize_t n;

    while ((n = read(reader->fd, part, sizeof(part))) > 0) {
        g_string_append_len(reader->text, part, n);
    }
    line = line_of(reader, reader->event);
    g_free(line);
    return line != NULL;
}

static void
wait_for_event(struct log_reader *reader, const char *event)
{
    reader->event = event;
    Fw_Rig_RunUntil(has_event, reader);
}

static void
send_datagram(struct router_env *env, const void *data, size_t len)
{
    GSocket *sock = g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_DATAGRAM,
                                 G_SOCKET_PROTOCOL_UDP, NULL);
    GSocketAddress *to =
        g_socket_get_local_address(env->router->peer_socket, NULL);

    ck_assert_int_eq(g_socket_send_to(sock, to, data, len, NULL, NULL),
                     (gssize)len);
    g_object_unref(to);
    g_object_unref(sock);
}

/* Reloads invalid settings, then valid ones. */
static void
reload(struct router_env *env, struct log_reader *reader)
{
    const struct fw_relayd_opts *o = &env->opts;
    char *path = NULL;
    char *good =
        g_strdup_printf("[relay]\nname = n1\ndomain = a\n"
                        "[listen]\ncallers = %s\nready = %s\n"
                        "metrics = %s\npeers = %s\n"
                        "[store]\naddress = %s\n",
                        o->callers_addr, o->ready_addr, o->metrics_addr,
                        o->peers_addr, o->store_addr);
    int fd = g_file_open_tmp("fw-XXXXXX.ini", &path, NULL);

    ck_assert_int_ge(fd, 0);
    close(fd);
    env->router->settings_path = path; /* freed with the router */
    ck_assert(g_file_set_contents(path, "[relay]\nname = \n", -1, NULL));
    Fw_Relayd_Reload(env->router);
    wait_for_event(reader, "settings_rejected");
    ck_assert(g_file_set_contents(path, good, -1, NULL));
    Fw_Relayd_Reload(env->router);
    wait_for_event(reader, "settings_reloaded");
    unlink(path);
    g_free(good);
}

static void
provoke_events(struct router_env *env, struct log_reader *reader)
{
    static const char digest[] =
        "\x9c\x07\xa2"
        "n2\x05\x00\x01\x01\x90\x90\x90\x90\x91\x97\x01\x00"
        "\x00\x00\x00\x00\xff\x90";
    struct rig_conn *c;

    Fw_WireStore_Put(env->store, "keyed.servers", "i-bad", "{}");
    wait_for_event(reader, "entry_unreadable");
    Fw_WireStore_Put(env->store, "keyed.op", "config", "{\"Version\":\"x\"}");
    wait_for_event(reader, "configuration_unreadable");
    Fw_WireStore_SetMode(env->store, FW_WIRE_STORE_UNAVAILABLE);
    wait_for_event(reader, "store_lost");
    Fw_RouterEnv_PutConfig(env, 2, FW_KEYS);
    Fw_WireStore_Truncate(env->store, "keyed.op");
    Fw_WireStore_SetMode(env->store, FW_WIRE_STORE_NORMAL);
    wait_for_event(reader, "store_back");
    wait_for_event(reader, "history_cut");
    c = Fw_RouterEnv_SendRequest(env, "GET /x",
                                 "Content-Length: 5\r\nContent-Length: 6\r\n");
    wait_for_event(reader, "request_malformed");
    Fw_RigConn_Close(c);
    c = Fw_RouterEnv_SendRequest(env, "GET /x", "Token-Counts: many\r\n");
    wait_for_event(reader, "request_unreadable");
    Fw_RigConn_Close(c);
    send_datagram(env, "?", 1);
    wait_for_event(reader, "digest_unreadable");
    send_datagram(env, digest, sizeof(digest) - 1);
    wait_for_event(reader, "member_met");
    wait_for_event(reader, "role_taken");
    reload(env, reader);
    Fw_Relayd_Drain(env->router);
    wait_for_event(reader, "draining");
}

static void
check_line(const struct log_reader *reader, const char *event,
           const char *const members[4])
{
    char *line = line_of(reader, event);
    JsonNode *root;
    JsonObject *o;

    ck_assert_msg(line != NULL, "no line of %s", event);
    root = Fw_Json_Parse(line, strlen(line));
    ck_assert_msg(root != NULL, "not JSON: %s", line);
    o = json_node_get_object(root);
    ck_assert(json_object_has_member(o, "ts"));
    ck_assert(json_object_has_member(o, "severity"));
    ck_assert(json_object_has_member(o, "instance"));
    for (int i = 0; i < 4 && members[i]; i++) {
        ck_assert_msg(json_object_has_member(o, members[i]), "no %s in %s",
                      members[i], line);
    }
    json_node_unref(root);
    g_free(line);
}

START_TEST(events_are_logged_with_their_members)
{
    struct log_reader reader = {.text = g_string_new(NULL)};
    struct router_env env;
    int fds[2];

    ck_assert_int_eq(pipe(fds), 0);
    ck_assert_int_eq(fcntl(fds[0], F_SETFL, O_NONBLOCK), 0);
    reader.fd = fds[0];
    Fw_RouterEnv_Init(&env);
    env.opts.relay.prefill_permille =
        600; /* an engine is to change its stage */
    Fw_Logger_SetupNonblocking("n1", fds[1], 65536);
    Fw_RouterEnv_StartRouter(&env);
    provoke_events(&env, &reader);
    for (size_t i = 0; i < G_N_ELEMENTS(expected_events); i++) {
        check_line(&reader, expected_events[i].event,
                   expected_events[i].members);
    }
    Fw_Logger_SetupNonblocking("n1", env.null_fd, 65536);
    Fw_RouterEnv_Free(&env);
    g_string_free(reader.text, TRUE);
    close(fds[0]);
    close(fds[1]);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("relayd events");

    tcase_set_timeout(tc, 30);
    tcase_add_test(tc, events_are_logged_with_their_members);
    return Fw_Suite_Run(tc);
}
