/* fwlab CASE FOLDER: plays a case of the second review; see lab.h. */
#include <stdio.h>
#include <string.h>

#include "review/lab/cases.h"
#include "review/lab/lab.h"

int
main(int argc, char **argv)
{
    static const struct {
        const char *name;
        int (*play)(void);
    } cases[] = {
        {"removed-servers", Case_RemovedServers},
        {"foreign-entry", Case_ForeignEntry},
        {"poison", Case_Poison},
        {"long-answers", Case_LongAnswers},
        {"streams-at-stop", Case_StreamsAtStop},
    };

    for (size_t i = 0; argc == 3 && i < G_N_ELEMENTS(cases); i++) {
        if (strcmp(argv[1], cases[i].name) == 0) {
            Lab_Init(argv[2]);
            return Lab_Finish(cases[i].play());
        }
    }
    fprintf(stderr, "usage: fwlab CASE FOLDER\n");
    return LAB_NOT_RUN;
}
