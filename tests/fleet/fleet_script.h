/* Scripts that run simulated instances, with their expected output. */
#ifndef FW_TESTS_FLEET_SCRIPT_H
#define FW_TESTS_FLEET_SCRIPT_H

/**
 * struct fleet_script - a script with one command per line.
 * @n_instances: number of instances, n1 to nN
 * @expected: output of the script
 *
 * Instances: start N, kill N, drain N, pause N MS.
 * Network: cut N M, join N M, lose PCT, double PCT (duplicates messages).
 * Log: log down, log up, record TEXT (a record in the role stream).
 * Time: run MS.
 * Limits: rate TEAM RATE BURST sets the configuration; refund N TEAM TOKENS;
 * ask N TEAM TOKENS prints the result of the request.
 * Output: view N prints the member states as seen by N; role prints who holds
 * the budget role and whether it may act.
 */
struct fleet_script {
    const char *name;
    int n_instances;
    const char *script;
    const char *expected;
};

/* Runs the script and checks its output and the limits. Leases last 20 s. */
void
Fw_FleetScript_Check(const struct fleet_script *p);

#endif
