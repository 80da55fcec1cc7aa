/*
 * Scripted runs of the relay's core. A script is a text of commands, one a
 * line; what the core must do about each stands below it, indented by two
 * spaces. See script.c for the commands.
 */
#ifndef FW_TESTS_RELAY_SCRIPT_H
#define FW_TESTS_RELAY_SCRIPT_H

/**
 * struct fw_relay_script - @name for a failure's message.
 * @text: commands and what each leads to
 */
struct fw_relay_script {
    const char *name;
    const char *text;
};

/* Plays a script and compares its output. */
void
Fw_RelayScript_Check(const struct fw_relay_script *s);

#endif
