/* Metrics of requests to the store, by operation and outcome. */
#include "relayd/store_internal.h"

void
Fw_StoreClient_CountRequest(struct fw_topic_client *tc,
                            enum fw_store_outcome outcome)
{
    tc->store->requests[tc->op][outcome].value++;
}

void
Fw_StoreClient_AddMetrics(struct fw_store_client *s, struct fw_metrics *m)
{
    static const char
        *const labels[FW_STORE_OP_COUNT][FW_STORE_OUTCOME_COUNT] = {
            {"kind=\"newest\",outcome=\"ok\"",
             "kind=\"newest\",outcome=\"refused\"",
             "kind=\"newest\",outcome=\"unreadable\"",
             "kind=\"newest\",outcome=\"lost\""},
            {"kind=\"read\",outcome=\"ok\"",
             "kind=\"read\",outcome=\"refused\"",
             "kind=\"read\",outcome=\"unreadable\"",
             "kind=\"read\",outcome=\"lost\""},
            {"kind=\"append\",outcome=\"ok\"",
             "kind=\"append\",outcome=\"refused\"",
             "kind=\"append\",outcome=\"unreadable\"",
             "kind=\"append\",outcome=\"lost\""}};

    for (int step = 0; step < FW_STORE_OP_COUNT; step++) {
        for (int o = 0; o < FW_STORE_OUTCOME_COUNT; o++) {
            s->requests[step][o] =
                (struct fw_metric){.name = "fw_store_calls_total",
                                   .help = "Calls to the platform's store",
                                   .labels = labels[step][o]};
            Fw_Metrics_Add(m, &s->requests[step][o]);
        }
    }
}
