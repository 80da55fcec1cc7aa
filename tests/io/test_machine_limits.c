/* Limits of the machine, read from files as the kernel has them. */
#include <check.h>
#include <glib/gstdio.h>

#include "io/machine_limits.h"
#include "tests/base/suite.h"

#define FW_KB 1024
#define FW_FILES_MAX 4

/** struct machine_case - files below the root, and the limit. */
struct machine_case {
    struct {
        const char *path;
        const char *text;
    } files[FW_FILES_MAX];
    int64_t want;
};

static const struct machine_case cases[] = {
    {.want = 0},
    {{{"proc/meminfo", "MemTotal:       2000 kB\nMemFree:  10 kB\n"}},
     2000 * FW_KB},
    {{{"proc/meminfo", "MemTotal:       2000 kB\n"},
      {"proc/self/cgroup", "0::/a/b\n"},
      {"sys/fs/cgroup/a/b/memory.max", "max\n"},
      {"sys/fs/cgroup/a/memory.max", "1024000\n"}},
     1000 * FW_KB},
    {{{"proc/meminfo", "MemTotal:       2000 kB\n"},
      {"proc/self/cgroup", "0::/a\n"},
      {"sys/fs/cgroup/a/memory.max", "9999999999999\n"}},
     2000 * FW_KB},
    {{{"proc/self/cgroup", "0::/\n"},
      {"sys/fs/cgroup/memory.max", "512000\n"}},
     500 * FW_KB},
    {{{"proc/meminfo", "MemTotal:       2000 kB\n"},
      {"proc/self/cgroup", "5:cpu:/c\n4:memory:/m\n"},
      {"sys/fs/cgroup/memory/m/memory.limit_in_bytes", "409600\n"}},
     400 * FW_KB},
    {{{"proc/meminfo", "?"}, {"proc/self/cgroup", "\n::\nx"}}, 0},
};

static void
put_file(const char *root, const char *path, const char *text)
{
    g_autofree char *full = g_build_filename(root, path, NULL);
    g_autofree char *dir = g_path_get_dirname(full);

    ck_assert_int_eq(g_mkdir_with_parents(dir, 0700), 0);
    ck_assert(g_file_set_contents(full, text, -1, NULL));
}

/* Removes what put_file has made. */
static void
remove_file(const char *root, const char *path)
{
    char *at = g_build_filename(root, path, NULL);

    while (g_str_has_prefix(at, root) && g_remove(at) == 0) {
        char *dir = g_path_get_dirname(at);

        g_free(at);
        at = dir;
    }
    g_free(at);
}

/* Guards against a budget for more memory than the process may use. */
START_TEST(the_least_limit_is_found)
{
    const struct machine_case *t = &cases[_i];
    g_autofree char *root = g_dir_make_tmp("fw-XXXXXX", NULL);

    for (int i = 0; i < FW_FILES_MAX && t->files[i].path; i++) {
        put_file(root, t->files[i].path, t->files[i].text);
    }
    ck_assert_int_eq(Fw_MachineLimits_Memory(root), t->want);
    for (int i = 0; i < FW_FILES_MAX && t->files[i].path; i++) {
        remove_file(root, t->files[i].path);
    }
    g_rmdir(root);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("machine limits");

    tcase_add_loop_test(tc, the_least_limit_is_found, 0, G_N_ELEMENTS(cases));
    return Fw_Suite_Run(tc);
}
