#include "relay/relay_internal.h"

void
Fw_Relay_AddCounts(struct fw_relay *r)
{
    struct {
        struct fw_metric *m;
        const char *name;
        const char *help;
        int gauge;
    } rows[] = {
        {&r->n.requests, "fw_requests_total", "Requests of callers", 0},
        {&r->n.passed, "fw_requests_passed_total",
         "Requests whose answer from an upstream was passed on", 0},
        {&r->n.refused, "fw_requests_refused_total",
         "Requests refused that surely did not run", 0},
        {&r->n.failed, "fw_requests_failed_total",
         "Requests answered 502 or 504: they may have run", 0},
        {&r->n.left, "fw_requests_left_total",
         "Requests whose caller left before the answer", 0},
        {&r->n.cut, "fw_requests_cut_total",
         "Answers that broke off after they had begun", 0},
        {&r->n.repeats, "fw_repeats_total",
         "Requests sent to a further server", 0},
        {&r->n.holds, "fw_reservations_total", "Reservations asked of engines",
         0},
        {&r->n.holds_refused, "fw_reservations_refused_total",
         "Reservations that engines refused", 0},
        {&r->n.reads, "fw_prefills_total", "Prompts sent to be read", 0},
        {&r->n.open, "fw_requests_open", "Requests not answered yet", 1},
        {&r->n.queued, "fw_requests_queued",
         "Requests waiting for room at an engine", 1},
        {&r->n.members, "fw_members",
         "Instances that count, this one included", 1},
        {&r->n.version, "fw_configuration_version",
         "Version of the configuration in force", 1},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        *rows[i].m = (struct fw_metric){.name = rows[i].name,
                                        .help = rows[i].help,
                                        .is_gauge = rows[i].gauge};
        Fw_Metrics_Add(&r->metrics, rows[i].m);
    }
}
