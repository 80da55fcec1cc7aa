/* Calls to the store by kind and outcome, for the metrics. */
#include "relayd/store_internal.h"

void
Fw_Store_Count(struct fw_follow *f, enum fw_outcome outcome)
{
    f->store->calls[f->step][outcome].value++;
}

void
Fw_Store_AddCounts(struct fw_store *s, struct fw_metrics *m)
{
    static const char *const labels[FW_STEPS][FW_OUTCOMES] = {
        {"kind=\"newest\",outcome=\"ok\"",
         "kind=\"newest\",outcome=\"refused\"",
         "kind=\"newest\",outcome=\"unreadable\"",
         "kind=\"newest\",outcome=\"lost\""},
        {"kind=\"read\",outcome=\"ok\"", "kind=\"read\",outcome=\"refused\"",
         "kind=\"read\",outcome=\"unreadable\"",
         "kind=\"read\",outcome=\"lost\""},
        {"kind=\"append\",outcome=\"ok\"",
         "kind=\"append\",outcome=\"refused\"",
         "kind=\"append\",outcome=\"unreadable\"",
         "kind=\"append\",outcome=\"lost\""}};

    for (int step = 0; step < FW_STEPS; step++) {
        for (int o = 0; o < FW_OUTCOMES; o++) {
            s->calls[step][o] =
                (struct fw_metric){.name = "fw_store_calls_total",
                                   .help = "Calls to the platform's store",
                                   .labels = labels[step][o]};
            Fw_Metrics_Add(m, &s->calls[step][o]);
        }
    }
}
