#include "io/machine_limits.h"

#include <glib.h>
#include <string.h>
#include <sys/resource.h>

static char *
read_file(const char *root, const char *path)
{
    g_autofree char *full = g_strconcat(root, path, NULL);
    char *text = NULL;

    g_file_get_contents(full, &text, NULL, NULL);
    return text;
}

/* The lower of two limits, of which 0 is none. */
static int64_t
lower(int64_t a, int64_t b)
{
    return a && b ? MIN(a, b) : MAX(a, b);
}

/* Return: the number in the file, 0 if it has none ("max"). */
static int64_t
read_limit(const char *root, const char *path)
{
    g_autofree char *text = read_file(root, path);
    int64_t limit = 0;

    if (text) {
        limit = g_ascii_strtoll(text, NULL, 10);
    }
    return MAX(limit, 0);
}

/* Machine's memory, from the first line, "MemTotal: 1234 kB". */
static int64_t
read_total(const char *root)
{
    g_auto(GStrv) words = NULL;
    char *text = read_file(root, "/proc/meminfo");
    int64_t kb = 0;

    words = g_strsplit_set(text ? text : "", " \n", 32);
    for (char **w = words; *w && !kb; w++) {
        kb = g_ascii_strtoll(*w, NULL, 10);
    }
    g_free(text);
    return kb * 1024;
}

/* The least limit of the control group @group, and those that contain it. */
static int64_t
read_group_limit(const char *root, const char *mount, const char *group,
                 const char *file)
{
    g_autofree char *path = g_strdup(group);
    int64_t limit = 0;

    for (;;) {
        g_autofree char *at = g_strdup_printf("%s%s/%s", mount, path, file);
        char *slash = strrchr(path, '/');

        limit = lower(limit, read_limit(root, at));
        if (!slash) {
            return limit;
        }
        *slash = 0;
    }
}

/* A line is "0::<group>" (version 2) or "<n>:<controllers>:<group>". */
static int64_t
read_line_limit(const char *root, const char *line)
{
    g_auto(GStrv) parts = g_strsplit(line, ":", 3);

    if (g_strv_length(parts) != 3) {
        return 0;
    }
    g_strchomp(parts[2]);
    if (!parts[1][0]) {
        return read_group_limit(root, "/sys/fs/cgroup", parts[2],
                                "memory.max");
    }
    if (strcmp(parts[1], "memory") != 0) {
        return 0;
    }
    return read_group_limit(root, "/sys/fs/cgroup/memory", parts[2],
                            "memory.limit_in_bytes");
}

int64_t
Fw_MachineLimits_Memory(const char *root)
{
    g_autofree char *text = read_file(root, "/proc/self/cgroup");
    g_auto(GStrv) lines = g_strsplit(text ? text : "", "\n", 0);
    int64_t limit = read_total(root);

    for (char **line = lines; *line; line++) {
        limit = lower(limit, read_line_limit(root, *line));
    }
    return limit;
}

int64_t
Fw_MachineLimits_Files(void)
{
    struct rlimit lim;

    if (getrlimit(RLIMIT_NOFILE, &lim) || lim.rlim_max == RLIM_INFINITY) {
        return 0;
    }
    return (int64_t)lim.rlim_max;
}
