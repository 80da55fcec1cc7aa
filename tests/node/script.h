/*
 * Scripts that drive the harness, one command a line:
 *
 *   post NODE CALL ID|- PROMPT MAX [KEY]   open a completion, default key-a
 *   order NODE CALL KEY|- BODY             POST /orders of grid-desk
 *   get NODE CALL                          GET /readings of grid-desk
 *   close NODE CALL                        the caller disconnects
 *   run MS                                 simulated time passes
 *   done KIND [TOKENS]                     the oldest waiting call succeeds
 *   piece KIND INDEX TEXT                  the oldest one gets a piece
 *   fail KIND no|maybe|yes STATUS ERROR    the oldest one fails
 *   withdraw KEY                           withdraw an API key
 *   drain|kill NODE                        stop gracefully, or at once
 *   cut|heal NODE                          partition from its peers, undo
 *   held ID|-                              id that engines report as held
 *   attached                               ... with its owner connected
 *   log up|down                            the log's availability
 */
#ifndef FW_TESTS_NODE_SCRIPT_H
#define FW_TESTS_NODE_SCRIPT_H

#include "harness.h"

/**
 * struct script - a test case.
 * @name: printed on failure
 * @nodes: number of nodes
 * @lines: commands
 * @expect: the transcript; "?" matches any character, for choices of the
 *          router, and "*" any text
 */
struct script {
    const char *name;
    int nodes;
    const char *lines;
    const char *expect;
};

/* Runs @s on a new fixture; fails the test on any other transcript. */
void
Fw_Script_Check(const struct script *s);

#endif
