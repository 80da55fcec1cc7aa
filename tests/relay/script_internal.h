/* Interface between the files that run scripts; see script.c. */
#ifndef FW_TESTS_RELAY_SCRIPT_INTERNAL_H
#define FW_TESTS_RELAY_SCRIPT_INTERNAL_H

#include "relay/relay_internal.h"

#define FW_WORDS_MAX 16

/**
 * struct relay_script_run - state of a running script.
 * @out: the output so far: each command, and the actions it led to
 * @now_us: the time that the relay is given
 * @print_logs: print log lines as well
 * @claim_sent_us: when the relay last claimed the order role
 * @digest_seq: sequence number of the last digest sent to the relay
 * @word, @n: words of the current command
 */
struct relay_script_run {
    struct fw_relay *r;
    struct fw_rl_actions acts;
    struct fw_relay_opts opts;
    GString *out;
    int64_t now_us;
    int print_logs;
    int64_t claim_sent_us;
    uint64_t digest_seq;
    char *word[FW_WORDS_MAX];
    int n;
};

/* script_args.c */
/* The value of the argument KEY=VALUE, or NULL; owned by @run. */
const char *
Fw_RelayScript_GetString(const struct relay_script_run *run, const char *key);
/* The argument KEY=VALUE as a number, or @fallback. */
int64_t
Fw_RelayScript_GetNumber(const struct relay_script_run *run, const char *key,
                         int64_t fallback);
/* Returns nonzero if @word is among the command's arguments. */
int
Fw_RelayScript_HasWord(const struct relay_script_run *run, const char *word);
/* Word @i of the command as a number. Fails the test if there is none. */
uint64_t
Fw_RelayScript_GetArg(const struct relay_script_run *run, int i);

/* script_world.c: commands about everything but requests. */
void
Fw_RelayScript_DoRules(struct relay_script_run *run);
void
Fw_RelayScript_DoOptions(struct relay_script_run *run);
void
Fw_RelayScript_DoServer(struct relay_script_run *run);
void
Fw_RelayScript_DoMember(struct relay_script_run *run);
void
Fw_RelayScript_DoLimit(struct relay_script_run *run);
void
Fw_RelayScript_DoDemand(struct relay_script_run *run);
void
Fw_RelayScript_DoSpent(struct relay_script_run *run);
void
Fw_RelayScript_DoLead(struct relay_script_run *run);

#endif
