#include <string.h>

#include "relay/relay_internal.h"

static void
register_histograms(struct fw_relay *r)
{
    struct {
        struct fw_histogram *h;
        const char *name;
        const char *help;
    } times[] = {
        {&r->relay_metrics.queued_s, "fw_phase_queue_seconds",
         "From a generation's arrival until an engine has room"},
        {&r->relay_metrics.prefill_s, "fw_phase_prefill_seconds",
         "From then until its prompt is read"},
        {&r->relay_metrics.response_s, "fw_phase_first_seconds",
         "From a request's arrival until its answer begins"},
        {&r->relay_metrics.total_s, "fw_phase_whole_seconds",
         "From a request's arrival until its answer is whole"},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(times); i++) {
        times[i].h->name = times[i].name;
        times[i].h->help = times[i].help;
        Fw_Metrics_AddHistogram(&r->metrics, times[i].h);
    }
}

void
Fw_Relay_RegisterMetrics(struct fw_relay *r)
{
    struct {
        struct fw_metric *m;
        const char *name;
        const char *help;
        int gauge;
    } rows[] = {
        {&r->relay_metrics.requests, "fw_requests_total",
         "Requests of callers", 0},
        {&r->relay_metrics.forwarded, "fw_requests_passed_total",
         "Requests whose answer from an upstream was passed on", 0},
        {&r->relay_metrics.rejected, "fw_requests_refused_total",
         "Requests refused that surely did not run", 0},
        {&r->relay_metrics.failed, "fw_requests_failed_total",
         "Requests answered 502 or 504: they may have run", 0},
        {&r->relay_metrics.abandoned, "fw_requests_left_total",
         "Requests whose caller left before the answer", 0},
        {&r->relay_metrics.aborted, "fw_requests_cut_total",
         "Answers that broke off after they had begun", 0},
        {&r->relay_metrics.retries, "fw_repeats_total",
         "Requests sent to a further server", 0},
        {&r->relay_metrics.retries_denied, "fw_repeats_denied_total",
         "Retries that the budget did not allow", 0},
        {&r->relay_metrics.reservations, "fw_reservations_total",
         "Reservations asked of engines", 0},
        {&r->relay_metrics.reservations_rejected,
         "fw_reservations_refused_total", "Reservations that engines refused",
         0},
        {&r->relay_metrics.prefills, "fw_prefills_total",
         "Prompts sent to be read", 0},
        {&r->relay_metrics.open, "fw_requests_open",
         "Requests not answered yet", 1},
        {&r->relay_metrics.queued, "fw_requests_queued",
         "Requests waiting for room at an engine", 1},
        {&r->relay_metrics.members, "fw_members",
         "Instances that count, this one included", 1},
        {&r->relay_metrics.version, "fw_configuration_version",
         "Version of the configuration in force", 1},
        {&r->relay_metrics.unusable, "fw_configuration_unusable",
         "The newest configuration can't be used", 1},
        {&r->relay_metrics.rules_age_ms, "fw_configuration_age_ms",
         "Since when the configuration in force is surely the newest", 1},
        {&r->relay_metrics.servers_usable, "fw_servers_usable",
         "Servers that new requests may go to", 1},
        {&r->relay_metrics.servers_limited, "fw_servers_limited",
         "Servers that name a limit or are at rest", 1},
        {&r->relay_metrics.rules_skipped, "fw_configuration_parts_skipped",
         "Parts of the configuration in force that can't be used", 1},
        {&r->relay_metrics.tokens_reserved, "fw_engine_tokens_reserved",
         "Tokens of engine memory that this instance has reserved or in use",
         1},
        {&r->relay_metrics.handed_over, "fw_requests_handed_over_total",
         "Requests handed over to another instance", 0},
        {&r->relay_metrics.links_lost, "fw_server_links_lost",
         "1 while this instance has no links to the servers", 1},
        {&r->relay_metrics.plain_admitted, "fw_plain_admitted_total",
         "Plain requests admitted by forecast", 0},
        {&r->relay_metrics.plain_asked, "fw_plain_asked_per_second",
         "First attempts at plain services, of all instances", 1},
        {&r->relay_metrics.plain_completions, "fw_plain_completed_per_second",
         "Requests that these services are expected to complete", 1},
        {&r->relay_metrics.stage_links_lost, "fw_server_stage_links_lost",
         "Stages of services to whose servers alone the links are lost", 1},
        {&r->relay_metrics.speed_samples, "fw_speed_samples_total",
         "Requests of this instance that the servers' speeds were taken from",
         0},
        {&r->relay_metrics.servers_slow, "fw_servers_slow",
         "Servers that are slower than the mean by a quarter or more", 1},
        {&r->relay_metrics.role_held, "fw_order_role_held",
         "1 while this instance may order engines", 1},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        *rows[i].m = (struct fw_metric){.name = rows[i].name,
                                        .help = rows[i].help,
                                        .is_gauge = rows[i].gauge};
        Fw_Metrics_Add(&r->metrics, rows[i].m);
    }
    register_histograms(r);
}

void
Fw_Relay_CountRejection(struct fw_relay *r, const char *reason)
{
    char labels[sizeof(r->relay_metrics.labels[0])];
    int i;

    g_snprintf(labels, sizeof(labels), "reason=\"%s\"", reason);
    for (i = 0; i < r->relay_metrics.n_reasons; i++) {
        if (strcmp(r->relay_metrics.labels[i], labels) == 0) {
            r->relay_metrics.reasons[i].value++;
            return;
        }
    }
    if (i == FW_RL_REJECT_REASONS_MAX) {
        return; /* still counted in the total */
    }
    g_strlcpy(r->relay_metrics.labels[i], labels,
              sizeof(r->relay_metrics.labels[i]));
    r->relay_metrics.reasons[i] =
        (struct fw_metric){.name = "fw_refusals_total",
                           .help = "Answers of our own to callers, by reason",
                           .labels = r->relay_metrics.labels[i],
                           .value = 1};
    Fw_Metrics_Add(&r->metrics, &r->relay_metrics.reasons[i]);
    r->relay_metrics.n_reasons++;
}

void
Fw_Relay_UpdateGauges(struct fw_relay *r, int64_t now_us)
{
    struct fw_list *pos;
    int64_t usable = 0;
    int64_t limited = 0;
    int64_t reserved = 0;

    FW_LIST_EACH (pos, &r->servers) {
        const struct fw_rl_server *s =
            FW_LIST_ENTRY(pos, struct fw_rl_server, link);

        usable += Fw_Servers_IsUsable(s, now_us);
        limited += Fw_Admission_IsLimited(s, now_us);
        reserved += s->kv_tokens;
    }
    r->relay_metrics.open.value = g_hash_table_size(r->calls);
    r->relay_metrics.queued.value = r->queue.n;
    r->relay_metrics.rules_age_ms.value =
        Fw_Relay_UsToMs(now_us - r->rules_fresh_us);
    r->relay_metrics.servers_usable.value = usable;
    r->relay_metrics.servers_limited.value = limited;
    r->relay_metrics.rules_skipped.value = r->rules ? r->rules->n_skipped : 0;
    r->relay_metrics.tokens_reserved.value = reserved;
    Fw_PlainCalls_UpdateGauges(r, now_us);
    r->relay_metrics.role_held.value =
        r->order_lease.fence && now_us < r->order_lease.expires_us;
}
