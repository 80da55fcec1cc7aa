/* The built-in workloads and the parser of experiment files. */
#include <errno.h>
#include <string.h>

#include "bench/load/load.h"

/*
 * Models of two deployments with their numbers of failure domains, engines
 * and teams. The token rates are lower, so that a run fits one machine: with
 * these options a full decode engine emits a token of each of its 20 requests
 * every 30 ms.
 */
static const struct fw_experiment mares_do_tejo = {
    .workload = "mares-do-tejo",
    .seed = 1,
    .duration_s = 20,
    .arrivals_per_s = 14,
    .instances = 3,
    .domains = 3,
    .prefill_engines = 3,
    .decode_engines = 6,
    .service_servers = 3,
    .team = {{"coast-skippers", 8, 40000, 160000},
             {"harbour-masters", 6, 30000, 120000},
             {"grid-desk-team", 3, 15000, 60000},
             {"auction-members", 2, 12000, 60000},
             {"researchers", 1, 8000, 40000}},
    .noisy_team = -1,
    .noisy_factor = 5,
    .docs_per_team = 6,
    .doc_bytes = {4096, 16384},
    .suffix_bytes = {256, 4096},
    .output_tokens = {80, 240},
    .order_permille = 30,
    .service_get_permille = 70,
    .cancel_permille = 20,
    .deadline_permille = 50,
    .deadline_s = 20,
    .ttft_target_us = 850 * FW_MSEC,
    .itl_target_us = 43 * FW_MSEC,
    .stand_options =
        "--slots 20 --token-ms 20 --token-slot-us 500 --prefill-rate "
        "40000 --cache-tokens 40000 --link-rate 1000000000 --kv-total "
        "160000",
};

static const struct fw_experiment fraserlight = {
    .workload = "fraserlight",
    .seed = 2,
    .duration_s = 20,
    .arrivals_per_s = 26,
    .instances = 3,
    .domains = 4,
    .prefill_engines = 5,
    .decode_engines = 9,
    .service_servers = 4,
    .team = {{"contractors", 9, 100000, 400000},
             {"renovators", 7, 80000, 320000},
             {"school-crews", 3, 40000, 160000},
             {"instructors", 2, 25000, 100000},
             {"auditors", 1, 15000, 60000}},
    .noisy_team = -1,
    .noisy_factor = 5,
    .docs_per_team = 8,
    .doc_bytes = {6144, 24576},
    .suffix_bytes = {128, 1024},
    .output_tokens = {60, 200},
    .order_permille = 30,
    .service_get_permille = 100,
    .cancel_permille = 30,
    .deadline_permille = 0,
    .deadline_s = 20,
    .ttft_target_us = 850 * FW_MSEC,
    .itl_target_us = 43 * FW_MSEC,
    .stand_options =
        "--slots 20 --token-ms 20 --token-slot-us 500 --prefill-rate "
        "40000 --cache-tokens 50000 --link-rate 1000000000 --kv-total "
        "160000",
};

int
Fw_Experiment_InitBuiltin(struct fw_experiment *e, const char *workload)
{
    if (strcmp(workload, mares_do_tejo.workload) == 0) {
        *e = mares_do_tejo;
        return 0;
    }
    if (strcmp(workload, fraserlight.workload) == 0) {
        *e = fraserlight;
        return 0;
    }
    return -EINVAL;
}

/**
 * struct numeric_key - a numeric key of the group "experiment".
 * @offset: of the field in struct fw_experiment; FW_NUM_MS fields are in us
 */
struct numeric_key {
    const char *key;
    size_t offset;
    double min;
    double max;
    enum {
        FW_NUM_INT,
        FW_NUM_DOUBLE,
        FW_NUM_MS
    } type;
};

#define AT(field) offsetof(struct fw_experiment, field)

static const struct numeric_key numeric_keys[] = {
    {"seconds", AT(duration_s), 1, 3600, FW_NUM_INT},
    {"per_s", AT(arrivals_per_s), 0.1, 10000, FW_NUM_DOUBLE},
    {"instances", AT(instances), 1, FW_LOADGEN_INSTANCES_MAX, FW_NUM_INT},
    {"domains", AT(domains), 1, 16, FW_NUM_INT},
    {"prefill", AT(prefill_engines), 1, 64, FW_NUM_INT},
    {"decode", AT(decode_engines), 1, 64, FW_NUM_INT},
    {"services", AT(service_servers), 1, 64, FW_NUM_INT},
    {"noisy_times", AT(noisy_factor), 1, 100, FW_NUM_INT},
    {"docs", AT(docs_per_team), 1, 1000, FW_NUM_INT},
    {"doc_bytes_min", AT(doc_bytes[0]), 0, 1 << 20, FW_NUM_INT},
    {"doc_bytes_max", AT(doc_bytes[1]), 0, 1 << 20, FW_NUM_INT},
    {"tail_bytes_min", AT(suffix_bytes[0]), 1, 1 << 20, FW_NUM_INT},
    {"tail_bytes_max", AT(suffix_bytes[1]), 1, 1 << 20, FW_NUM_INT},
    {"out_tokens_min", AT(output_tokens[0]), 1, 4096, FW_NUM_INT},
    {"out_tokens_max", AT(output_tokens[1]), 1, 4096, FW_NUM_INT},
    {"order_permille", AT(order_permille), 0, 1000, FW_NUM_INT},
    {"reading_permille", AT(service_get_permille), 0, 1000, FW_NUM_INT},
    {"cancel_permille", AT(cancel_permille), 0, 1000, FW_NUM_INT},
    {"deadline_permille", AT(deadline_permille), 0, 1000, FW_NUM_INT},
    {"deadline_s", AT(deadline_s), 1, 3600, FW_NUM_INT},
    {"settle_s", AT(settle_s), 0, 600, FW_NUM_INT},
    {"ttft_ms", AT(ttft_target_us), 1, 1e6, FW_NUM_MS},
    {"itl_ms", AT(itl_target_us), 1, 1e6, FW_NUM_MS},
    {"seed", AT(seed), 0, 1e9, FW_NUM_INT},
};

static int
set_number(struct fw_experiment *e, const struct numeric_key *n,
           const char *text)
{
    char *field = (char *)e + n->offset;
    char *end;
    double v = g_ascii_strtod(text, &end);

    if (end == text || *end || !(v >= n->min && v <= n->max)) {
        return -EINVAL;
    }
    switch (n->type) {
    case FW_NUM_INT:
        *(int *)field = (int)v;
        break;
    case FW_NUM_DOUBLE:
        *(double *)field = v;
        break;
    case FW_NUM_MS:
        *(int64_t *)field = (int64_t)(v * FW_MSEC);
        break;
    }
    return 0;
}

static int
set_noisy(struct fw_experiment *e, const char *team)
{
    for (int i = 0; i < FW_LOADGEN_TEAMS; i++) {
        if (strcmp(e->team[i].name, team) == 0) {
            e->noisy_team = i;
            return 0;
        }
    }
    return -EINVAL;
}

static int
set_fault(struct fw_experiment *e, const char *fault)
{
    static const char *const names[] = {"none", "kill", "log-down"};

    for (int i = 0; i < (int)G_N_ELEMENTS(names); i++) {
        if (strcmp(names[i], fault) == 0) {
            e->fault = (enum fw_loadgen_fault)i;
            return 0;
        }
    }
    return -EINVAL;
}

static int
set_key(struct fw_experiment *e, const char *key, const char *text)
{
    if (strcmp(key, "workload") == 0) {
        return 0;
    }
    if (strcmp(key, "noisy") == 0) {
        return set_noisy(e, text);
    }
    if (strcmp(key, "fault") == 0) {
        return set_fault(e, text);
    }
    if (strcmp(key, "stand") == 0) {
        return g_strlcpy(e->stand_options, text, sizeof(e->stand_options)) <
                       sizeof(e->stand_options)
                   ? 0
                   : -EINVAL;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(numeric_keys); i++) {
        if (strcmp(numeric_keys[i].key, key) == 0) {
            return set_number(e, &numeric_keys[i], text);
        }
    }
    return -ENOENT;
}

static int
validate(const struct fw_experiment *e, const char *file, GString *err)
{
    if (e->doc_bytes[0] > e->doc_bytes[1] ||
        e->suffix_bytes[0] > e->suffix_bytes[1] ||
        e->output_tokens[0] > e->output_tokens[1] ||
        e->order_permille + e->service_get_permille > 1000) {
        g_string_printf(err,
                        "%s: [experiment]: a minimum exceeds its maximum, or "
                        "order_permille + reading_permille exceeds 1000",
                        file);
        return -EINVAL;
    }
    if (e->fault == FW_LOADGEN_FAULT_KILL && e->instances < 2) {
        g_string_printf(err,
                        "%s: [experiment] fault: kill needs at "
                        "least 2 instances",
                        file);
        return -EINVAL;
    }
    return 0;
}

int
Fw_Experiment_Read(struct fw_experiment *e, const char *file, GString *err)
{
    GKeyFile *kf = g_key_file_new();
    GError *gerr = NULL;
    char *name = NULL;
    char **keys = NULL;
    int rc = 0;

    if (!g_key_file_load_from_file(kf, file, G_KEY_FILE_NONE, &gerr)) {
        g_string_printf(err, "%s: %s", file, gerr->message);
        g_error_free(gerr);
        g_key_file_unref(kf);
        return -EINVAL;
    }
    name = g_key_file_get_string(kf, "experiment", "workload", NULL);
    if (!name || Fw_Experiment_InitBuiltin(e, name)) {
        g_string_printf(err,
                        "%s: [experiment] workload: must be "
                        "mares-do-tejo or fraserlight",
                        file);
        rc = -EINVAL;
    }
    keys = g_key_file_get_keys(kf, "experiment", NULL, NULL);
    for (int i = 0; !rc && keys && keys[i]; i++) {
        char *v = g_key_file_get_string(kf, "experiment", keys[i], NULL);

        rc = set_key(e, keys[i], v ? v : "");
        if (rc) {
            g_string_printf(err, "%s: [experiment] %s: %s", file, keys[i],
                            rc == -ENOENT ? "unknown key" : "bad value");
        }
        g_free(v);
    }
    rc = rc ? rc : validate(e, file, err);
    g_strfreev(keys);
    g_free(name);
    g_key_file_unref(kf);
    return rc;
}
