/*
 * Scripted tests of the relay's core. A script has one command per line,
 * each followed by the actions that the core must request, indented by two
 * spaces. script.c lists the commands.
 */
#ifndef FW_TESTS_RELAY_SCRIPT_H
#define FW_TESTS_RELAY_SCRIPT_H

/**
 * struct fw_relay_script - a scripted test.
 * @name: printed on failure
 * @text: commands and expected actions
 */
struct fw_relay_script {
    const char *name;
    const char *text;
};

/* Runs the commands of @s and fails the test if the output differs. */
void
Fw_RelayScript_Check(const struct fw_relay_script *s);

#endif
