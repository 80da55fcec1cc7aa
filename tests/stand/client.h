/* HTTP client for the stand-in on the same event loop, driven by scripts. */
#ifndef FW_TEST_STAND_CLIENT_H
#define FW_TEST_STAND_CLIENT_H

#include "stand/stand.h"

/** enum step_kind - what a step of a script does. */
enum step_kind {
    FW_SCRIPT_END,        /* terminates the array */
    FW_SCRIPT_CALL,       /* sends a request and checks the response */
    FW_SCRIPT_POLL,       /* repeats a request until the response matches */
    FW_SCRIPT_START,      /* sends a request without waiting */
    FW_SCRIPT_AWAIT,      /* checks the response to FW_SCRIPT_START */
    FW_SCRIPT_DISCONNECT, /* closes the connection of FW_SCRIPT_START */
};

/**
 * struct step - one step of a script.
 * @call: "METHOD PORT PATH"; in the path and in @body, $KV is replaced by the
 *        "kv" of the last successful prefill and $NAME by the base URL of the
 *        port with that name
 * @body: request body, or NULL
 * @status: expected HTTP status, 0 if the connection is closed instead
 * @expected: text that the response contains, or NULL; with a leading "!"
 *            text that it does not contain
 */
struct step {
    enum step_kind kind;
    const char *call;
    const char *body;
    int status;
    const char *expected;
};

/* Runs @steps, up to FW_SCRIPT_END, against a new stand-in with @opts. */
void
Fw_StandScript_Run(const struct fw_stand_opts *opts, const struct step *steps);
/* Options for tests: one server of each kind, fast engines, short timeouts. */
void
Fw_StandScript_SetDefaults(struct fw_stand_opts *opts);

#endif
