/*
 * Lines that the shell logs, on a real relay: what it lost and regained, and
 * what it could not read. Each must name what an operator needs to go on.
 */
#include <check.h>
#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#include "io/json.h"
#include "relayd/relayd_internal.h"
#include "tests/relayd/world.h"

/* Of the members common to all lines and the event's own. */
static const struct {
    const char *event;
    const char *members[4];
} wanted[] = {
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

/** struct tail - what was read of the log; @event: that is waited for. */
struct tail {
    int fd;
    const char *event;
    GString *text;
};

/* The first line of @event, or NULL; to be freed. */
static char *
line_of(const struct tail *t, const char *event)
{
    char *name = g_strdup_printf("\"event\":\"%s\"", event);
    const char *at = strstr(t->text->str, name);
    const char *from = at;
    const char *end = at ? strchr(at, '\n') : NULL;

    g_free(name);
    if (!end) {
        return NULL;
    }
    while (from > t->text->str && from[-1] != '\n') {
        from--;
    }
    return g_strndup(from, (gsize)(end - from));
}

static int
was_told(void *ctx)
{
    struct tail *t = ctx;
    char part[4096];
    char *line;
    ssize_t n;

    while ((n = read(t->fd, part, sizeof(part))) > 0) {
        g_string_append_len(t->text, part, n);
    }
    line = line_of(t, t->event);
    g_free(line);
    return line != NULL;
}

static void
until(struct tail *t, const char *event)
{
    t->event = event;
    Fw_Rig_Until(was_told, t);
}

static void
send_datagram(struct world *w, const void *data, size_t len)
{
    GSocket *sock = g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_DATAGRAM,
                                 G_SOCKET_PROTOCOL_UDP, NULL);
    GSocketAddress *to =
        g_socket_get_local_address(w->relay->peer_socket, NULL);

    ck_assert_int_eq(g_socket_send_to(sock, to, data, len, NULL, NULL),
                     (gssize)len);
    g_object_unref(to);
    g_object_unref(sock);
}

/* The relay reads its settings again: first bad ones, then good ones. */
static void
reload(struct world *w, struct tail *t)
{
    const struct fw_relayd_opts *o = &w->opts;
    char *path = NULL;
    char *good =
        g_strdup_printf("[relay]\nname = n1\ndomain = a\n"
                        "[listen]\ncallers = %s\nready = %s\n"
                        "metrics = %s\npeers = %s\n"
                        "[store]\naddress = %s\n",
                        o->callers, o->ready_addr, o->metrics_addr,
                        o->peers_addr, o->store_addr);
    int fd = g_file_open_tmp("fw-XXXXXX.ini", &path, NULL);

    ck_assert_int_ge(fd, 0);
    close(fd);
    w->relay->settings_path = path; /* freed with the relay */
    ck_assert(g_file_set_contents(path, "[relay]\nname = \n", -1, NULL));
    Fw_Relayd_Reload(w->relay);
    until(t, "settings_rejected");
    ck_assert(g_file_set_contents(path, good, -1, NULL));
    Fw_Relayd_Reload(w->relay);
    until(t, "settings_reloaded");
    unlink(path);
    g_free(good);
}

static void
upset(struct world *w, struct tail *t)
{
    static const char digest[] =
        "\x9c\x07\xa2"
        "n2\x05\x00\x01\x01\x90\x90\x90\x90\x91\x96\x01\x00"
        "\x00\x00\x00\x00\x90";
    struct rig_conn *c;

    Fw_WireStore_Put(w->store, "keyed.servers", "i-bad", "{}");
    until(t, "entry_unreadable");
    Fw_WireStore_Put(w->store, "keyed.op", "config", "{\"Version\":\"x\"}");
    until(t, "configuration_unreadable");
    Fw_WireStore_SetMode(w->store, FW_WIRE_STORE_BUSY);
    until(t, "store_lost");
    Fw_World_Configure(w, 2, FW_KEYS);
    Fw_WireStore_Forget(w->store, "keyed.op");
    Fw_WireStore_SetMode(w->store, FW_WIRE_STORE_WELL);
    until(t, "store_back");
    until(t, "history_cut");
    c = Fw_World_Ask(w, "GET /x",
                     "Content-Length: 5\r\nContent-Length: 6\r\n");
    until(t, "request_malformed");
    Fw_RigConn_Close(c);
    c = Fw_World_Ask(w, "GET /x", "Token-Counts: many\r\n");
    until(t, "request_unreadable");
    Fw_RigConn_Close(c);
    send_datagram(w, "?", 1);
    until(t, "digest_unreadable");
    send_datagram(w, digest, sizeof(digest) - 1);
    until(t, "member_met");
    until(t, "role_taken");
    reload(w, t);
    Fw_Relayd_Drain(w->relay);
    until(t, "draining");
}

static void
check_line(const struct tail *t, const char *event,
           const char *const members[4])
{
    char *line = line_of(t, event);
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

START_TEST(what_the_shell_meets_is_told)
{
    struct tail t = {.text = g_string_new(NULL)};
    struct world w;
    int fds[2];

    ck_assert_int_eq(pipe(fds), 0);
    ck_assert_int_eq(fcntl(fds[0], F_SETFL, O_NONBLOCK), 0);
    t.fd = fds[0];
    Fw_World_Make(&w);
    w.opts.relay.prefill_permille = 600; /* an engine is to change its stage */
    Fw_Note_SetupBounded("n1", fds[1], 65536);
    Fw_World_Start(&w);
    upset(&w, &t);
    for (size_t i = 0; i < G_N_ELEMENTS(wanted); i++) {
        check_line(&t, wanted[i].event, wanted[i].members);
    }
    Fw_Note_SetupBounded("n1", w.null, 65536);
    Fw_World_Close(&w);
    g_string_free(t.text, TRUE);
    close(fds[0]);
    close(fds[1]);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("relayd events");

    tcase_set_timeout(tc, 30);
    tcase_add_test(tc, what_the_shell_meets_is_told);
    return Fw_Suite_Run(tc);
}
