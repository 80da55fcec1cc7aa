#include "review/lab/lab.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <spawn.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <glib/gstdio.h>

/* All machines start within 0.3 s of each other. */
#define LAB_START_SPREAD_MS 300

/* Ports of instances; deployments side by side begin in different blocks. */
#define PORTS_FROM 10240
#define PORT_BLOCK 64
#define PORT_BLOCKS 320

struct lab lab;

int64_t
Lab_NowMs(void)
{
    return (g_get_monotonic_time() - lab.start_us) / 1000;
}

void
Lab_Note(const char *fmt, ...)
{
    int64_t now = Lab_NowMs();
    va_list ap;

    g_mutex_lock(&lab.record_lock);
    fprintf(lab.record, "%3d.%03d s  ", (int)(now / 1000), (int)(now % 1000));
    va_start(ap, fmt);
    vfprintf(lab.record, fmt, ap);
    va_end(ap);
    fputc('\n', lab.record);
    g_mutex_unlock(&lab.record_lock);
}

void
Lab_Init(const char *dir)
{
    const char *trouble = g_getenv("TROUBLE");
    g_autofree char *path = g_build_filename(dir, "record.txt", NULL);

    signal(SIGPIPE, SIG_IGN);
    g_mutex_init(&lab.record_lock);
    lab.start_us = g_get_monotonic_time();
    lab.trouble = !trouble || strcmp(trouble, "0") != 0;
    lab.record = fopen(path, "w");
    lab.dir = g_dir_make_tmp("fw-review-XXXXXX", NULL);
    if (!lab.record || !lab.dir) {
        exit(LAB_NOT_RUN);
    }
    lab.loop = g_main_loop_new(NULL, FALSE);
    lab.store = Fw_WireStore_New("127.0.0.1:0");
    Lab_Note("the store listens; %s",
             lab.trouble ? "with the disruption" : "without the disruption");
}

void
Lab_UseOwnStore(void)
{
    lab.own_store = Lab_Store_New();
}

static int
store_port(void)
{
    return lab.own_store ? Lab_Store_Port(lab.own_store)
                         : Fw_WireStore_Port(lab.store);
}

void
Lab_Put(const char *topic, const char *key, const char *value)
{
    if (lab.own_store) {
        Lab_Store_Put(lab.own_store, topic, key, strlen(key), value,
                      value ? strlen(value) : 0);
    }
    else {
        Fw_WireStore_Put(lab.store, topic, key, value);
    }
}

static int
is_free(int port)
{
    struct sockaddr_in at = {.sin_family = AF_INET,
                             .sin_port = htons((uint16_t)port),
                             .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    int tcp = socket(AF_INET, SOCK_STREAM, 0);
    int udp = socket(AF_INET, SOCK_DGRAM, 0);
    int ok = bind(tcp, (struct sockaddr *)&at, sizeof(at)) == 0 &&
             bind(udp, (struct sockaddr *)&at, sizeof(at)) == 0;

    close(tcp);
    close(udp);
    return ok;
}

/* Below the ports that the kernel gives to outgoing connections. */
int
Lab_FreePort(void)
{
    static int next;

    if (!next) {
        next = PORTS_FROM + getpid() % PORT_BLOCKS * PORT_BLOCK;
    }
    while (!is_free(next)) {
        next++;
    }
    return next++;
}

/* As deploy/node.ini.in is rendered, with the bounds of fhl-coastal. */
static void
write_settings(struct lab_instance *i)
{
    g_autofree char *file = g_strdup_printf("%s.ini", i->name);
    g_autofree char *text = g_strdup_printf(
        "[relay]\nname = %s\ndomain = %s\n"
        "regions = coast-a:bc-coast,coast-b:bc-coast,coast-c:bc-coast\n"
        "cpu-share = 0.25\n\n"
        "[listen]\ncallers = 127.0.0.1:%d\nready = 127.0.0.1:%d\n"
        "ready-path = /-/ready\nmetrics = 127.0.0.1:%d\n"
        "peers = 127.0.0.1:%d\n\n"
        "[store]\naddress = 127.0.0.1:%d\n\n"
        "[limits]\nrevocation-ms = 5000\nretry-ratio = 0.2\n"
        "retry-extra = 58\nretry-window-s = 10\noverage = 0.1\n"
        "tolerance = 73000\ncold-overage = \ncold-tolerance = \n"
        "lease-ms = 3000\ngrace-s = 8\n\n"
        "[memory]\nlimit-mb = 260\ndescriptors = 4100\n",
        i->name, i->zone, i->callers_port, i->ready_port, i->metrics_port,
        i->peers_port, store_port());

    i->settings = g_build_filename(lab.dir, file, NULL);
    if (!g_file_set_contents(i->settings, text, -1, NULL)) {
        exit(Lab_Finish(LAB_NOT_RUN));
    }
}

/* In the new process, which doesn't outlive this one. */
static void
prepare_child(gpointer data)
{
    int fd = open(data, O_WRONLY | O_CREAT | O_APPEND, 0600);

    dup2(fd, 1);
    dup2(fd, 2);
    prctl(PR_SET_PDEATHSIG, SIGKILL);
}

void
Lab_Spawn(struct lab_instance *i)
{
    g_autofree char *name = g_strdup_printf("%s.log", i->name);
    g_autofree char *log = g_build_filename(lab.dir, name, NULL);
    char *argv[] = {"target/fuchsiawardd", NULL};
    g_auto(GStrv) env = g_environ_setenv(g_get_environ(), "FUCHSIAWARD_CONFIG",
                                         i->settings, TRUE);
    GError *error = NULL;

    if (!g_spawn_async(NULL, argv, env, G_SPAWN_DO_NOT_REAP_CHILD,
                       prepare_child, log, &i->pid, &error)) {
        fprintf(stderr, "target/fuchsiawardd: %s\n", error->message);
        exit(Lab_Finish(LAB_NOT_RUN));
    }
    Lab_Note("%s started in %s", i->name, i->zone);
}

void
Lab_StartInstances(int n, const char *const *zones)
{
    for (int k = 0; k < n; k++) {
        struct lab_instance *i = &lab.instances[lab.n_instances++];

        g_snprintf(i->name, sizeof(i->name), "front-%s-%d", zones[k], k + 1);
        g_strlcpy(i->zone, zones[k], sizeof(i->zone));
        i->callers_port = Lab_FreePort();
        i->ready_port = Lab_FreePort();
        i->metrics_port = Lab_FreePort();
        i->peers_port = Lab_FreePort();
        write_settings(i);
    }
    for (int k = 0; k < n; k++) {
        Lab_RunUntil(NULL, g_random_int_range(1, LAB_START_SPREAD_MS / n));
        Lab_Spawn(&lab.instances[k]);
    }
}

void
Lab_Signal(struct lab_instance *i, int signal)
{
    if (i->pid) {
        Lab_Note("%s gets signal %d (%s)", i->name, signal, strsignal(signal));
        kill(i->pid, signal);
    }
}

int
Lab_IsReady(const struct lab_instance *i)
{
    struct sockaddr_in at = {.sin_family = AF_INET,
                             .sin_port = htons((uint16_t)i->ready_port),
                             .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    static const char ask[] =
        "GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    struct timeval limit = {.tv_usec = 500000};
    char got[16] = "";
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    int ready;

    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    ready = connect(fd, (struct sockaddr *)&at, sizeof(at)) == 0 &&
            send(fd, ask, sizeof(ask) - 1, 0) > 0 &&
            recv(fd, got, 12, MSG_WAITALL) == 12 &&
            memcmp(got + 9, "200", 3) == 0;
    close(fd);
    return ready;
}

static gboolean
on_deadline(gpointer data)
{
    *(int *)data = 1;
    return G_SOURCE_REMOVE;
}

void
Lab_RunUntil(const volatile int *done, int ms)
{
    int late = 0;
    guint timer = g_timeout_add((guint)ms, on_deadline, &late);

    while (!late && !(done && *done)) {
        g_main_context_iteration(NULL, TRUE);
    }
    if (!late) {
        g_source_remove(timer);
    }
}

static void
keep_logs(void)
{
    const char *to = g_getenv("LAB_KEEP");

    if (to) {
        g_autofree char *command =
            g_strdup_printf("cp -r %s/. %s", lab.dir, to);

        (void)!system(command);
    }
}

int
Lab_Finish(int status)
{
    GDir *d;
    const char *name;

    for (int k = 0; k < lab.n_instances; k++) {
        if (lab.instances[k].pid) {
            kill(lab.instances[k].pid, SIGKILL);
            waitpid(lab.instances[k].pid, NULL, 0);
            lab.instances[k].pid = 0;
        }
    }
    keep_logs();
    d = g_dir_open(lab.dir, 0, NULL);
    while (d && (name = g_dir_read_name(d))) {
        g_autofree char *path = g_build_filename(lab.dir, name, NULL);

        g_unlink(path);
    }
    if (d) {
        g_dir_close(d);
    }
    g_rmdir(lab.dir);
    Lab_Note("exit status %d", status);
    fclose(lab.record);
    return status;
}
