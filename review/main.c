/* Runs one case: review/stand NAME RECORD; see cases.h. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#include "cases.h"

int
main(int argc, char **argv)
{
    static const struct {
        const char *name;
        int (*run)(int trouble, const char *dir);
    } cases[] = {
        {"late-answer", run_late_answer},
        {"late-refusal", run_late_refusal},
        {"long-key", run_long_key},
        {"long-prefix", run_long_prefix},
    };
    const char *trouble = getenv("TROUBLE");
    const char *dir = getenv("REVIEW_DIR");

    signal(SIGPIPE, SIG_IGN);
    if (argc != 3 || !dir) {
        return 2;
    }
    record_open(argv[2]);
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        if (strcmp(cases[i].name, argv[1]) == 0) {
            return cases[i].run(!trouble || strcmp(trouble, "0") != 0, dir);
        }
    }
    return 2;
}
