/* The instances of the router: settings, processes and signals. */
#include <fcntl.h>
#include <gio/gio.h>
#include <signal.h>
#include <sys/wait.h>
#include <sysexits.h>
#include <unistd.h>

#include "soak/soak.h"

#define FW_GRACE_S 4
/* Time after SIGTERM by which an instance must have ended. */
#define FW_STOP_MAX_US ((FW_GRACE_S + 1) * FW_SEC)
#define FW_RESTART_DELAY_MS 300
#define FW_PORT_MIN 12000
#define FW_PORT_MAX 32000

/* Whether the port is free now. */
static int
is_free(int port, GSocketType type, GSocketProtocol protocol)
{
    GSocket *sock = g_socket_new(G_SOCKET_FAMILY_IPV4, type, protocol, NULL);
    GSocketAddress *at =
        g_inet_socket_address_new_from_string("127.0.0.1", (guint)port);
    int bound = g_socket_bind(sock, at, FALSE, NULL);

    g_socket_close(sock, NULL);
    g_object_unref(at);
    g_object_unref(sock);
    return bound;
}

/*
 * Below the range that the kernel takes for outgoing connections: the port
 * must still be free when the instance starts again.
 */
static int
free_port(GSocketType type, GSocketProtocol protocol)
{
    int port;

    do {
        port = g_random_int_range(FW_PORT_MIN, FW_PORT_MAX);
    } while (!is_free(port, type, protocol));
    return port;
}

static void
choose_ports(struct soak_relay *r)
{
    for (int k = 0; k < 3; k++) {
        r->ports[k] = free_port(G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP);
    }
    r->ports[3] = free_port(G_SOCKET_TYPE_DATAGRAM, G_SOCKET_PROTOCOL_UDP);
    g_snprintf(r->callers, sizeof(r->callers), "127.0.0.1:%d", r->ports[0]);
}

void
Fw_SoakRelay_WriteSettings(struct soak_relay *r, const char *log_level)
{
    char *text = g_strdup_printf(
        "[relay]\nname = %s\ndomain = %c\n"
        "[listen]\ncallers = 127.0.0.1:%d\nready = 127.0.0.1:%d\n"
        "metrics = 127.0.0.1:%d\npeers = 127.0.0.1:%d\n"
        "[store]\naddress = 127.0.0.1:%d\n"
        "[limits]\nretry-extra = %d\ngrace-s = %d\n"
        "[log]\nlevel = %s\n",
        r->name, 'a' + r->index % 3, r->ports[0], r->ports[1], r->ports[2],
        r->ports[3], Fw_Proxy_Port(r->store_proxy), FW_SOAK_RETRY_EXTRA,
        FW_GRACE_S, log_level);

    if (!g_file_set_contents(r->settings, text, -1, NULL)) {
        g_error("cannot write %s", r->settings);
    }
    g_free(text);
}

int
Fw_SoakRelay_IsCalm(const struct soak_relay *r, int64_t at_us)
{
    int64_t store_us = r->soak->store_disturbed_us;

    return r->pid && !r->n_faults && r->disturbed_us != FW_SOAK_ONGOING &&
           at_us - r->disturbed_us >= FW_SOAK_CALM_US &&
           store_us != FW_SOAK_ONGOING && at_us - store_us >= FW_SOAK_CALM_US;
}

static gboolean
restart(gpointer data)
{
    struct soak_relay *r = data;

    Fw_SoakRelay_Start(r->soak, r->index);
    return G_SOURCE_REMOVE;
}

static void
on_exit_of(GPid pid, gint status, gpointer data)
{
    struct soak_relay *r = data;
    int64_t now = Fw_Soak_NowUs();

    g_spawn_close_pid(pid);
    if (pid != r->pid) {
        return;
    }
    r->pid = 0;
    r->disturbed_us = now;
    Fw_Soak_Log(r->soak, "%s has ended, status %d", r->name, status);
    if (r->life == 1 && WIFEXITED(status) &&
        WEXITSTATUS(status) == EX_UNAVAILABLE) {
        /* Another program has taken one of its ports meanwhile. */
        choose_ports(r);
        Fw_SoakRelay_WriteSettings(r, "info");
        Fw_SoakRelay_Start(r->soak, r->index);
        return;
    }
    if (!r->expects_exit) {
        Fw_SoakCheck_Violation(
            r->soak, "RUNS", "%s ended by itself, status %d", r->name, status);
    }
    if (r->term_us && now - r->term_us > FW_STOP_MAX_US && WIFEXITED(status)) {
        Fw_SoakCheck_Violation(r->soak, "STOPS", "%s took %d ms to stop",
                               r->name, (int)((now - r->term_us) / FW_MSEC));
    }
    if (r->soak->load_on) {
        g_timeout_add(FW_RESTART_DELAY_MS, restart, r);
    }
}

static int
open_log(const struct soak_relay *r)
{
    char *path =
        g_strdup_printf("%s/%s.%d.log", r->soak->dir, r->name, r->life);
    int fd = open(path, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);

    g_free(path);
    return fd;
}

void
Fw_SoakRelay_Start(struct soak *s, int i)
{
    struct soak_relay *r = &s->relays[i];
    char *argv[] = {(char *)s->program, r->settings, NULL};
    char **env = g_get_environ();
    int log;

    if (!r->life) {
        r->soak = s;
        r->index = i;
        g_snprintf(r->name, sizeof(r->name), "n%02d", i);
        g_snprintf(r->settings, sizeof(r->settings), "%s/%s.ini", s->dir,
                   r->name);
        choose_ports(r);
        Fw_SoakRelay_WriteSettings(r, "info");
    }
    r->life++;
    Fw_SoakCheck_RelayStarted(s, i);
    r->term_us = 0;
    r->expects_exit = 0;
    r->started_us = Fw_Soak_NowUs();
    r->disturbed_us = r->started_us;
    if (s->fault) {
        env = g_environ_setenv(env, "FUCHSIAWARD_FAULT", s->fault, TRUE);
    }
    log = open_log(r);
    if (!g_spawn_async_with_fds(NULL, argv, env, G_SPAWN_DO_NOT_REAP_CHILD,
                                NULL, NULL, &r->pid, -1, log, log, NULL)) {
        g_error("cannot start %s", s->program);
    }
    close(log);
    g_strfreev(env);
    g_child_watch_add(r->pid, on_exit_of, r);
}

void
Fw_SoakRelay_Signal(struct soak_relay *r, int signal)
{
    if (!r->pid) {
        return;
    }
    if (signal == SIGTERM) {
        r->planned_stop = Fw_SoakRelay_IsCalm(r, Fw_Soak_NowUs());
        r->term_us = Fw_Soak_NowUs();
    }
    r->expects_exit |= signal == SIGTERM || signal == SIGKILL;
    if (signal == SIGKILL) {
        r->disturbed_us = FW_SOAK_ONGOING;
    }
    kill(r->pid, signal);
}
