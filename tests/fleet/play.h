/* Scripts over a few instances on fakes, with expected output. */
#ifndef FW_TESTS_FLEET_SCRIPT_H
#define FW_TESTS_FLEET_SCRIPT_H

/**
 * struct fleet_script - a script, one command a line, and what it must print.
 *
 * start|kill|drain N, pause N MS, cut|join N M, log down|up, lose PCT,
 * double PCT, list, run MS; view N prints what N believes, role what the
 * budget role's holders may do, ask N TEAM TOKENS the answer, refund N TEAM
 * TOKENS, rate TEAM RATE BURST changes the configuration.
 */
struct fleet_script {
    const char *name;
    int sites;
    const char *script;
    const char *expected;
};

/* Leases live 20 s in these runs. */
void
Fw_FleetScript_Check(const struct fleet_script *p);

#endif
